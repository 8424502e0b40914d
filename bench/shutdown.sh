#!/usr/bin/env bash
# Stops the node of a gatekeeper, an entry node and an upstream with SIGTERM,
# each while requests of 2 s are in flight through it, and counts the requests
# that fail.
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
# The load generator starts up to CLOCK_SLACK_MS later than the time that this
# script records.
CLOCK_SLACK_MS=100
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
    mesh_wait_listening
    mesh_start_upstream 1 s --slots 30
    mesh_start_upstream 2 s --slots 30
    mesh_wait_revision 1 node-0 node-1 node-2
    mesh_wait_upstreams
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

# run_case NAME PROCESS: runs the case in which a process gets SIGTERM.
run_case() {
    local load_pid exit_code=0 case_failed=0 busy term_ms begin_ms pid line
    local calls ok refused cut
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
    sleep 1.25 # MESH_LOAD_START_DELAY_MS, then 1 s
    busy=$(in_flight)
    pid=${MESH_PID_OF[$2]}
    mesh_signal TERM "$2"
    term_ms=$(($(mesh_now_ms) - begin_ms - MESH_LOAD_START_DELAY_MS))
    wait "$pid" || exit_code=$?
    wait $load_pid || case_failed=1
    # Planned times count from MESH_LOAD_START_DELAY_MS after the start of the
    # load generator, which starts up to CLOCK_SLACK_MS after begin_ms. Columns
    # of the record file: 6 result, 10 ran, 12 at_us.
    line=$(sed 's/[{}"]//g' "$MESH_DIR/calls.jsonl" | awk -F '[,:]' \
        -v term=$((term_ms - CLOCK_SLACK_MS)) '
        { calls++ }
        $6 == "ok" { ok++; next }
        $6 == "refused" && $10 == "no" && $12 / 1000 >= term {
            refused++; next }
        { cut++ }
        END { printf "%d %d %d %d", calls, ok, refused, cut }')
    read -r calls ok refused cut <<<"$line"
    [ "$cut" = 0 ] && [ $exit_code = 0 ] && [ "$busy" -gt 0 ] ||
        case_failed=1
    printf '{"bench":"shutdown","case":"%s","seed":%d,"in_flight":%d,' \
        "$1" "$SEED" "$busy"
    printf '"calls":%d,"ok":%d,"refused_later":%d,"cut":%d,' \
        "$calls" "$ok" "$refused" "$cut"
    printf '"exit_code":%d,"ms_to_exit_and_answers":%d,"passed":%s}\n' \
        $exit_code $(($(mesh_now_ms) - begin_ms - MESH_LOAD_START_DELAY_MS -
            term_ms)) \
        "$([ $case_failed = 0 ] && echo true || echo false)"
    if [ $case_failed != 0 ]; then
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
