#!/usr/bin/env bash
# Builds the programs that the cases 6 to 10 start, their stand-ins in them, into review/bin-2. Needs only the packages of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
pids=()
for source in standins-2/*.cpp; do
    program=bin-2/$(basename "$source" .cpp)
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "$program" "$source" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
