#!/usr/bin/env bash
# Transfers one large response and one large request body through two nodes in
# different zones, and samples the resident memory of both nodes during the
# transfers.
#
#   bench/transfer.sh [GET_BYTES [POST_BYTES]]     default: 1 GiB and 256 MiB
#
# Checks length and content of the response and the digest of the request body,
# and that each node stays below 128 MB. Prints one JSON line per transfer.
# Exit code 0: passed, 1: failed.
set -euo pipefail
cd "$(dirname "$0")/.."
MESH_NODE_BASE=${MESH_NODE_BASE:-19000}
MESH_CONTROL_BASE=${MESH_CONTROL_BASE:-18900}
. bench/mesh-lib.sh
trap 'mesh_stop_all; rm -rf "$MESH_DIR"' EXIT

GET_BYTES=${1:-1073741824}
POST_BYTES=${2:-268435456}
RESIDENT_MAX_KIB=125000 # 128 * 10^6 bytes; /proc counts in KiB
CONTROL_ZONES=(w1)
CONTROL_REGIONS=(west)

mkdir "$MESH_DIR/source"
cat >"$MESH_DIR/source/10-all.conf" <<CONF
[region west]

[zone w1]
region=west

[zone w2]
region=west

[service s]

[route large]
path=/large
service=s
timeout-ms=120000
CONF
mesh_install_folder 0 "$MESH_DIR/source"
mesh_start_control 0
mesh_start_node 0 w1 west
mesh_start_node 1 w2 west
mesh_wait_listening
mesh_start_upstream 1 s
mesh_wait_revision 1 node-0 node-1
mesh_wait_upstreams 1

# resident NAME: prints the resident memory of a process in KiB.
resident() {
    awk '/^VmRSS:/ { print $2 }' "/proc/${MESH_PID_OF[$1]}/status"
}

# sample FILE PID: samples the memory of both nodes while process PID runs, and
# writes the maxima in KiB and the number of samples to the file.
sample() {
    local entry=0 gatekeeper=0 now samples=0
    while kill -0 "$2" 2>/dev/null; do
        now=$(resident node-0)
        [ "$now" -le $entry ] || entry=$now
        now=$(resident node-1)
        [ "$now" -le $gatekeeper ] || gatekeeper=$now
        samples=$((samples + 1))
        sleep 0.05
    done
    echo "$entry $gatekeeper $samples" >"$1"
}

# transfer NAME ROUTE BYTES: makes a call and prints its result as JSON.
transfer() {
    local pid ok entry gatekeeper samples case_failed=0 begin_ms
    echo "{\"name\": \"$1\", \"rate\": 1000, \"routes\": [$2]}" \
        >"$MESH_DIR/workload.json"
    begin_ms=$(mesh_now_ms)
    "$MESH_BUILD/load/baobab-load" \
        --targets "127.0.0.1:$MESH_NODE_BASE" \
        --workload "$MESH_DIR/workload.json" --duration-ms "$DURATION_MS" \
        --seed "$LOAD_SEED" --threads 1 --timeout-s 120 --json \
        >"$MESH_DIR/$1.json" 2>>"$MESH_DIR/load.log" &
    pid=$!
    sample "$MESH_DIR/$1.resident" $pid
    wait $pid || case_failed=1
    ok=$(sed 's/.*"ok":\([0-9]*\).*/\1/' "$MESH_DIR/$1.json")
    calls=$(sed 's/.*"calls":\([0-9]*\).*/\1/' "$MESH_DIR/$1.json")
    read -r entry gatekeeper samples <"$MESH_DIR/$1.resident"
    [ "$ok" = 1 ] && [ "$calls" = 1 ] && [ $case_failed = 0 ] &&
        [ "$entry" -lt $RESIDENT_MAX_KIB ] &&
        [ "$gatekeeper" -lt $RESIDENT_MAX_KIB ] || case_failed=1
    printf '{"bench":"transfer","kind":"%s","bytes":%d,"calls":%d,' \
        "$1" "$3" "$calls"
    printf '"whole_and_right":%d,"ms":%d,"entry_max_kb":%d,' \
        "$ok" $(($(mesh_now_ms) - begin_ms)) "$entry"
    printf '"gatekeeper_max_kb":%d,"samples":%d,"passed":%s}\n' \
        "$gatekeeper" "$samples" "$([ $case_failed = 0 ] && echo true ||
            echo false)"
    [ $case_failed = 0 ] || failed=1
}

# plan_one_call: sets LOAD_SEED and DURATION_MS so that the load generator
# plans exactly one call. Tries seeds with calls directly to the upstream.
plan_one_call() {
    local calls
    echo '{"name": "one", "rate": 1000, "routes": [{"path": "/large",
        "weight": 1, "work_us": 100}]}' >"$MESH_DIR/one.json"
    DURATION_MS=1
    for LOAD_SEED in 1 2 3 4 5 6 7 8 9 10 11 12; do
        calls=$("$MESH_BUILD/load/baobab-load" \
            --targets "127.0.0.1:$((MESH_NODE_BASE + 15))" \
            --workload "$MESH_DIR/one.json" --duration-ms $DURATION_MS \
            --seed "$LOAD_SEED" --threads 1 --json |
            sed 's/.*"calls":\([0-9]*\).*/\1/')
        [ "$calls" != 1 ] || return 0
    done
    mesh_fail "no seed results in exactly one call"
}

failed=0
plan_one_call
transfer get "{\"path\": \"/large\", \"weight\": 1, \"work_us\": 1000,
    \"answer_bytes\": $GET_BYTES}" "$GET_BYTES"
transfer post "{\"path\": \"/large\", \"method\": \"POST\", \"weight\": 1,
    \"work_us\": 1000, \"body_bytes\": $POST_BYTES}" "$POST_BYTES"
exit $failed
