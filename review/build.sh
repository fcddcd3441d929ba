#!/usr/bin/env bash
# Builds the programs that the cases start into review/bin. Needs only the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cpp; do
    program=bin/$(basename "$source" .cpp)
    "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -o "$program" "$source" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
