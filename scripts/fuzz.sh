#!/usr/bin/env bash
# Runs the stateful tests with new seeds for a while: scripts/fuzz.sh --minutes N. Prints the failing seed.
set -euo pipefail
cd "$(dirname "$0")/.."
minutes=5
[ "${1:-}" = --minutes ] && minutes=$2
bash scripts/build.sh >/dev/null
end=$(($(date +%s) + minutes * 60))
rounds=0
while [ "$(date +%s)" -lt "$end" ]; do
    seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
    for subject in limits authority delivery usage catalogue routing; do
        if ! RC_PARAMS="seed=$seed max_success=1000 max_size=200" "build/tests/${subject}_test" --gtest_filter='-*Oracle*' >build/fuzz.log 2>&1; then
            tail -n 60 build/fuzz.log
            echo "failed: $subject with RC_PARAMS=\"seed=$seed max_success=1000 max_size=200\""
            exit 1
        fi
    done
    rounds=$((rounds + 1))
done
echo "$rounds rounds of 1000 sequences in each stateful test passed"
