#!/usr/bin/env bash
# Stops the node of a gatekeeper, an entry node and an upstream with SIGTERM,
# each while requests of 2 s are in flight through it, and counts the failed
# ones.
#
#   bench/shutdown.sh [SEED]
#
# In each case, requests are sent for 1.5 s, and SIGTERM after 1 s. Checks that
# the process exits with code 0 and had requests in flight; that requests sent
# before SIGTERM succeed; and that later ones succeed or are refused with
# `ran: no`. Prints one JSON line per case. Exit code 0: passed, 1: failed.
set -euo pipefail
cd "$(dirname "$0")/.."
MESH_NODE_BASE=${MESH_NODE_BASE:-19000}
MESH_CONTROL_BASE=${MESH_CONTROL_BASE:-18900}
. bench/mesh-lib.sh
trap 'mesh_stop_all; rm -rf "$MESH_DIR"' EXIT

SEED=${1:-1}
RATE=10
CONTROL_ZONES=(w1)
CONTROL_REGIONS=(west)

# start_mesh: starts an entry node without an upstream and two gatekeepers.
start_mesh() {
    mkdir "$MESH_DIR/source"
    cat >"$MESH_DIR/source/10-all.conf" <<CONF
[region west]

[zone w1]
region=west

[zone w2]
region=west

[service s]
slow-start-ms=0

[route work]
path=/work
service=s
idempotent=false
timeout-ms=8000
CONF
    mesh_install_folder 0 "$MESH_DIR/source"
    mesh_start_control 0
    mesh_start_node 0 w1 west
    mesh_start_node 1 w1 west
    mesh_start_node 2 w2 west
    sleep 0.3
    mesh_start_upstream 1 s --slots 30
    mesh_start_upstream 2 s --slots 30
    mesh_wait_revision 1 node-0 node-1 node-2
    sleep 1.5
}

# stop_mesh: stops all processes and removes their files.
stop_mesh() {
    mesh_stop_all
    MESH_PIDS=()
    rm -rf "${MESH_DIR:?}"/*
}

# in_flight: prints the number of requests that run at the upstreams.
in_flight() {
    local i n sum=0
    for i in 1 2; do
        n=$(mesh_http_get $((MESH_NODE_BASE + 10 * i + 5)) /v1/ran |
            sed -n '1s/.*"busy":\([0-9]*\).*/\1/p')
        sum=$((sum + ${n:-0}))
    done
    echo $sum
}

# run_case NAME VICTIM: runs the case in which VICTIM gets SIGTERM.
run_case() {
    local load_pid victim_code=0 wrong=0 busy term_ms begin_ms pid line
    start_mesh
    cat >"$MESH_DIR/workload.json" <<JSON
{"name": "shutdown", "rate": $RATE, "routes": [{"path": "/work",
 "method": "POST", "body_bytes": 100, "weight": 1, "work_us": 2000000}]}
JSON
    begin_ms=$(mesh_now_ms)
    "$MESH_BUILD/load/baobab-load" --targets "127.0.0.1:$MESH_NODE_BASE" \
        --workload "$MESH_DIR/workload.json" --duration-ms 1500 \
        --seed "$SEED" --threads 64 --json \
        --record "$MESH_DIR/calls.jsonl" >"$MESH_DIR/load.json" &
    load_pid=$!
    sleep 1.25 # the first call is due after 0.25 s
    busy=$(in_flight)
    pid=${MESH_PID_OF[$2]}
    mesh_signal TERM "$2"
    term_ms=$(($(mesh_now_ms) - begin_ms - 250))
    wait "$pid" || victim_code=$?
    wait $load_pid || wrong=1
    # Planned times count from the start of the load generator, which is up to
    # 100 ms later than begin_ms.
    line=$(sed 's/[{}"]//g' "$MESH_DIR/calls.jsonl" | awk -F '[,:]' \
        -v term=$((term_ms - 100)) '
        { calls++ }
        $6 == "ok" { ok++; next }
        $6 == "refused" && $10 == "no" && $12 / 1000 >= term {
            refused++; next }
        { cut++ }
        END { printf "%d %d %d %d", calls, ok, refused, cut }')
    # shellcheck disable=SC2086
    set -- "$1" "$2" $line
    [ "$6" = 0 ] && [ $victim_code = 0 ] && [ "$busy" -gt 0 ] || wrong=1
    printf '{"bench":"shutdown","case":"%s","seed":%d,"in_flight":%d,' \
        "$1" "$SEED" "$busy"
    printf '"calls":%d,"ok":%d,"refused_later":%d,"cut":%d,' \
        "$3" "$4" "$5" "$6"
    printf '"exit_code":%d,"ms_to_exit_and_answers":%d,"passed":%s}\n' \
        $victim_code $(($(mesh_now_ms) - begin_ms - 250 - term_ms)) \
        "$([ $wrong = 0 ] && echo true || echo false)"
    if [ $wrong != 0 ]; then
        grep -v '"end":"ok"' "$MESH_DIR/calls.jsonl" >&2 || true
        failed=1
    fi
    stop_mesh
}

failed=0
run_case gatekeeper node-1
run_case entry node-0
run_case upstream upstream-1
exit $failed
