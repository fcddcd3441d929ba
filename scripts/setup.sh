#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the demo need. Does nothing where they are already there.
set -euo pipefail
packages=(
    build-essential cmake ninja-build pkg-config ccache clang-format clang-tidy curl python3-minimal
    libasio-dev librestinio-dev libfmt-dev libhttp-parser-dev libzmq3-dev cppzmq-dev
    libprotobuf-dev protobuf-compiler libboost-dev libcurl4-openssl-dev libcli11-dev liblog4cxx-dev
    libabsl-dev nlohmann-json3-dev libxxhash-dev libssl-dev
    librapidcheck-dev libgtest-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${missing[@]}"
