#!/usr/bin/env bash
# Installs what is missing, builds with warnings as errors, checks format and lint, and runs all tests with fixed seeds.
#   --sanitize  run the tests under AddressSanitizer and UndefinedBehaviorSanitizer
#   --thread    run the tests under ThreadSanitizer
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh

build=build
options=()
checks=yes
for argument in "$@"; do
    case $argument in
    --sanitize)
        build=build-sanitize
        options=(-DCHESTNUTCOVE_SANITIZE=address,undefined -DCMAKE_BUILD_TYPE=Debug)
        checks=no
        ;;
    --thread)
        build=build-thread
        options=(-DCHESTNUTCOVE_SANITIZE=thread -DCMAKE_BUILD_TYPE=Debug)
        checks=no
        ;;
    *)
        echo "usage: scripts/test.sh [--sanitize | --thread]" >&2
        exit 2
        ;;
    esac
done

cmake -S . -B "$build" -G Ninja -DCHESTNUTCOVE_WERROR=ON "${options[@]}" >/dev/null
cmake --build "$build"

sources() {
    find src platform tests bench -name '*.h' -o -name '*.cpp' | grep -v '\.pb\.' | sort
}
if [ "$checks" = yes ]; then
    # The users' platform's names are decoded in platform/ and known nowhere else.
    platform_words='Attempt-Id|Deadline-Ms|X-Api-Key|Token-Counts|Prompt-Prefix|Response-Stamp|Not-Executed|Kv-Source|Expect-Instance|Request-Urgency|Server-Load|Instance-Id|Duty-Holder|Fencing-Token|rows-get|rows-tx|rows-feed|Server-Limit|Server-Leaving|Store-Era|path_prefix|api_keys|kv_token_bytes|CHESTNUTCOVE_BOOT'
    if grep -rnE "$platform_words" src bench; then
        echo "names of the users' platform outside platform/" >&2
        exit 1
    fi
    sources | xargs clang-format --dry-run --Werror
    sources | grep '\.cpp$' | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2>/dev/null
fi


# Tests that show a known fault run too, but don't decide the verdict; KNOWN-RED.txt says why.
known=$(sed -n 's/^test: \([^ |]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|')
cat KNOWN-RED.txt
if [ -n "$known" ]; then
    ctest --test-dir "$build" --timeout 300 -R "^($known)\$" || true
fi
ctest --test-dir "$build" --output-on-failure --timeout 300 --parallel 4 -E "^(${known:-none})\$"
