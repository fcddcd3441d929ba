#!/usr/bin/env bash
# Measures on this machine: load through two gateways beside the engine directly, and control cost against the number of gateways.
#   scripts/measure.sh load [TRACE]     scripts/measure.sh control
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/build.sh >/dev/null
chestnutcove=$PWD/build/src/chestnutcove
standin=$PWD/build/tests/standin
. scripts/lib.sh
trap stop_all EXIT
make_keys
mode=${1:-load}
trace=${2:-bench/traces/throughput.load.json}

put() {
    echo "$3" >"$work/entry.json"
    wait_for 20 operator entry-1 catalogue put "$1" "$2" "$work/entry.json" || fail "the entry $1 $2 was not accepted"
}
# engines COUNT: stand-in engines with their sidecars, fast enough not to be the limit.
engines() {
    for i in $(seq "$1"); do
        start "engine-$i" "$standin" engine --slots 512 --prefill 10000000 --decode "${decode:-2000}"
        start_sidecar "chat-$i" engine "$(json "$work/engine-$i.out" port)" '"slots": 512, "prefillTokensPerSecond": 1000000, "decodeTokensPerSecond": 2000'
    done
}
fill() {
    put customer desk '{ "rate": 100000000, "burst": 100000000 }'
    put model chat '{ "owner": "desk", "maxOutputTokens": 100000 }'
    for i in $(seq "$1"); do
        put endpoint "chat-$i" "{ \"dataCentre\": \"dc-1\", \"sidecar\": \"127.0.0.1:$(json "$work/chat-$i.out" link)\", \"serves\": \"chat\" }"
    done
    key=$(operator entry-1 key grant desk --json 2>/dev/null | python3 -c 'import json,sys; print(json.load(sys.stdin)["key"])')
}
# cpu_ms PID: processor time so far.
cpu_ms() {
    python3 -c 'import sys; f=open("/proc/%s/stat"%sys.argv[1]).read().rsplit(")",1)[1].split(); print((int(f[11])+int(f[12]))*10)' "$1"
}
rss_mb() {
    awk '/VmRSS/ {print int($2/1024)}' "/proc/$1/status"
}
# pid_of FILE: the process that was started with these settings.
pid_of() {
    for pid in "${pids[@]}"; do
        tr '\0' ' ' <"/proc/$pid/cmdline" | grep -q "$work/$1.json" && echo "$pid" && return
    done
}

if [ "$mode" = load ]; then
    start platform "$standin" platform
    engines 2
    start_gateway entry-1 "$(json "$work/platform.out" port)"
    start_gateway entry-2 "$(json "$work/platform.out" port)"
    fill 2
    sleep 5
    echo "--- directly at an engine"
    build/bench/chestnutcove-load --trace "$trace" --url "http://127.0.0.1:$(json "$work/engine-1.out" port)" --url "http://127.0.0.1:$(json "$work/engine-2.out" port)"
    gateway=$(pid_of entry-1)
    sidecar=$(pid_of chat-1)
    before=$(cpu_ms "$gateway")
    before_sidecar=$(cpu_ms "$sidecar")
    echo "--- through two gateways"
    build/bench/chestnutcove-load --trace "$trace" --key "desk=$key" --url "http://127.0.0.1:$(json "$work/entry-1.out" callers)" \
        --url "http://127.0.0.1:$(json "$work/entry-2.out" callers)"
    echo "gateway cpu ms: $(($(cpu_ms "$gateway") - before)), sidecar cpu ms: $(($(cpu_ms "$sidecar") - before_sidecar)), gateway MB: $(rss_mb "$gateway"), sidecar MB: $(rss_mb "$sidecar")"
    exit 0
fi

for count in 1 2 4 8 16; do
    start platform "$standin" platform
    engines 1
    for i in $(seq "$count"); do
        start_gateway "entry-$i" "$(json "$work/platform.out" port)"
    done
    fill 1
    sleep 8
    gateway=$(pid_of entry-1)
    sidecar=$(pid_of chat-1)
    state() { curl -s "http://127.0.0.1:$(json "$work/platform.out" port)/admin/state" | python3 -c 'import json,sys; d=json.load(sys.stdin); print(d["reads"], d["writes"])'; }
    read -r reads writes < <(state)
    cpu=$(cpu_ms "$gateway")
    cpu_sidecar=$(cpu_ms "$sidecar")
    io=$(awk -F'[: ]+' '/lo:/ {print $3}' /proc/net/dev)
    sleep 20
    read -r reads_after writes_after < <(state)
    io_after=$(awk -F'[: ]+' '/lo:/ {print $3}' /proc/net/dev)
    python3 - "$count" "$((reads_after - reads))" "$((writes_after - writes))" "$(($(cpu_ms "$gateway") - cpu))" "$(($(cpu_ms "$sidecar") - cpu_sidecar))" "$((io_after - io))" "$(rss_mb "$gateway")" "$(rss_mb "$sidecar")" <<'EOF'
import sys
n, reads, writes, cpu, side, io, rss, rss_side = map(float, sys.argv[1:])
print(f"gateways {n:.0f}: per gateway {reads/n/20:.2f} reads/s {writes/n/20:.2f} writes/s, gateway {cpu/200:.2f} % of a core {rss:.0f} MB, "
      f"sidecar {side/200:.2f} % {rss_side:.0f} MB, all loopback {io/20/1024:.1f} KB/s")
EOF
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    sleep 2
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    pids=()
    rm -f "$work"/*.out
done
