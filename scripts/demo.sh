#!/usr/bin/env bash
# Shows the whole path on this machine: stand-ins, two sidecars, two gateways, a streamed chat, an order, a withdrawn key.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/build.sh
chestnutcove=$PWD/build/src/chestnutcove
standin=$PWD/build/tests/standin
. scripts/lib.sh
trap stop_all EXIT

make_keys
start platform "$standin" platform
start engine "$standin" engine
start orders "$standin" service
platform_port=$(json "$work/platform.out" port)
start_sidecar chat-1 engine "$(json "$work/engine.out" port)"
start_sidecar orders-1 plain "$(json "$work/orders.out" port)"
start_gateway entry-1 "$platform_port"
start_gateway entry-2 "$platform_port"

put() {
    echo "$3" >"$work/entry.json"
    wait_for 10 operator entry-1 catalogue put "$1" "$2" "$work/entry.json" || fail "the entry $1 $2 was not accepted"
}
put customer fleece-desk '{ "rate": 2000, "burst": 4000 }'
put model chat-vi '{ "owner": "fleece-desk", "class": "urgent" }'
put service orders '{ "owner": "fleece-desk", "pathPrefix": "/orders", "safeMethods": ["GET"] }'
put endpoint chat-1 "{ \"dataCentre\": \"dc-1\", \"sidecar\": \"127.0.0.1:$(json "$work/chat-1.out" link)\", \"serves\": \"chat-vi\" }"
put endpoint orders-1 "{ \"dataCentre\": \"dc-1\", \"sidecar\": \"127.0.0.1:$(json "$work/orders-1.out" link)\", \"serves\": \"orders\", \"role\": \"plain\" }"
granted=$(operator entry-1 key grant fleece-desk --json 2>/dev/null)
key=$(python3 -c 'import json,sys; print(json.loads(sys.argv[1])["key"])' "$granted")
name=$(python3 -c 'import json,sys; print(json.loads(sys.argv[1])["name"])' "$granted")
echo "a key was granted"

callers="http://127.0.0.1:$(json "$work/entry-2.out" callers)"
chat() {
    curl -sS -N --max-time 10 "$@" -H "Authorization: Bearer $key" -H 'Content-Type: application/json' "$callers/v1/chat/completions" \
        -d '{"model":"chat-vi","stream":true,"messages":[{"role":"user","content":"Which fleece colours are in stock?"}]}'
}
served() { chat | grep -q '^data: \[DONE\]'; }
wait_for 10 served || fail "no chat was served"
echo "--- a streamed chat through entry-2"
chat | tail -n 6
echo "--- an order to a plain service"
order=$(curl -sS --max-time 10 -H "Authorization: Bearer $key" -H 'Idempotency-Key: order-4711' "$callers/orders/new" -d '{"fleece":"blue","metres":120}')
echo "$order"
grep -q '"number"' <<<"$order" || fail "the order was not served"

operator entry-1 key withdraw "$name" >/dev/null 2>&1 || fail "the key could not be withdrawn"
refused() { [ "$(chat -o /dev/null -w '%{http_code}')" = 401 ]; }
wait_for 6 refused || fail "the withdrawn key still works"
echo "--- the key was withdrawn: $(chat)"
echo "--- state of entry-2"
operator entry-2 state dump --json | python3 -c '
import json, sys
dump = json.load(sys.stdin)
for key in ("name", "ready", "catalogue", "store", "membership", "leases", "requests"):
    print(key, json.dumps(dump[key]))'
echo "done"
