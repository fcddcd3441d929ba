# Shared by the scripts: starts processes on free loopback ports and stops everything that it started.
# shellcheck shell=bash
work=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]:-}"; do
        [ -n "$pid" ] && kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]:-}"; do
        for _ in $(seq 50); do
            [ -n "$pid" ] && kill -0 "$pid" 2>/dev/null || break
            sleep 0.1
        done
        [ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}

fail() {
    echo "failed: $*" >&2
    exit 1
}

# json FILE KEY: a top-level value of the first line of a file.
json() {
    python3 -c 'import json,sys; print(json.loads(open(sys.argv[1]).readline())[sys.argv[2]])' "$1" "$2"
}

# start NAME COMMAND...: runs a process; its first line of output is in $work/NAME.out when this returns.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids+=($!)
    for _ in $(seq 100); do
        [ -s "$work/$name.out" ] && return 0
        sleep 0.05
    done
    cat "$work/$name.err" >&2
    fail "$name did not start"
}

# make_keys: link keys of the gateways and the sidecars.
make_keys() {
    "$chestnutcove" keypair >"$work/gateway.keys"
    "$chestnutcove" keypair >"$work/sidecar.keys"
    gateway_public=$(json "$work/gateway.keys" publicKey)
    gateway_secret=$(json "$work/gateway.keys" secretKey)
    sidecar_public=$(json "$work/sidecar.keys" publicKey)
    sidecar_secret=$(json "$work/sidecar.keys" secretKey)
    operator_token="operator-token-of-this-run"
}

# start_sidecar NAME KIND ENDPOINT_PORT [MORE_ENDPOINT_SETTINGS]
start_sidecar() {
    cat >"$work/$1.json" <<EOF
{
  "name": "$1", "dataCentre": "dc-1",
  "link": { "listen": "127.0.0.1:0", "publicKey": "$sidecar_public", "secretKey": "$sidecar_secret", "gatewayKey": "$gateway_public" },
  "endpoint": { "kind": "$2", "url": "http://127.0.0.1:$3"${4:+, $4} }
}
EOF
    start "$1" "$chestnutcove" sidecar --settings "$work/$1.json"
}

# start_gateway NAME PLATFORM_PORT [MORE_SETTINGS]
start_gateway() {
    cat >"$work/$1.json" <<EOF
{
  "name": "$1", "dataCentre": "dc-1",
  "callers": { "listen": "127.0.0.1:0" },
  "operators": { "listen": "127.0.0.1:0", "token": "$operator_token" },
  "link": { "listen": "127.0.0.1:0", "publicKey": "$gateway_public", "secretKey": "$gateway_secret",
            "gatewayKey": "$gateway_public", "sidecarKey": "$sidecar_public" },
  "platform": { "url": "http://127.0.0.1:$2" },
  "keyPepper": "pepper-of-this-run-only"${3:+, $3}
}
EOF
    start "$1" "$chestnutcove" gateway --settings "$work/$1.json"
}

# operator GATEWAY ARGUMENTS...: an operator command.
operator() {
    local gateway=$1
    shift
    CHESTNUTCOVE_OPERATOR_URL="http://127.0.0.1:$(json "$work/$gateway.out" operators)" CHESTNUTCOVE_OPERATOR_TOKEN=$operator_token \
        "$chestnutcove" "$@"
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for() {
    local deadline=$(($(date +%s) + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$(date +%s)" -lt "$deadline" ] || return 1
        sleep 0.1
    done
}
