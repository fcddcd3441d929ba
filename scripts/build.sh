#!/usr/bin/env bash
# Installs what is missing and builds everything.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja "$@" >"/dev/null"
cmake --build "$build"
