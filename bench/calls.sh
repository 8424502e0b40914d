#!/usr/bin/env bash
# Measures the load decisions (admission, routing, hedging) against a baseline
# (round robin, no admission by slots, no hedges); both retry alike.
#
#   bench/calls.sh [SCENARIO...]     default: all
#
# Scenarios: crest (a load peak of twice the capacity for 5 s), long (5% of the
# requests take 50 times longer, 80% load), slow (one upstream in four is 10
# times slower for 2 s at a time), link (bytes on the link between the
# regions), drain (an upstream leaves).
#
# Environment: RUNS (default 3) is the number of runs of crest, long and slow,
# each with another seed and against the baseline; link and drain run once,
# without a baseline. RESULTS is the folder that keeps the reports. QUEUE (64
# requests), SLOW_START_MS (0) and LONG_PERCENT (50) set the limits of the
# service; THREADS (400) is the maximum of concurrent calls.
set -euo pipefail
cd "$(dirname "$0")/.."
RUNS=${RUNS:-3}
RESULTS=${RESULTS:-$(mktemp -d)}
MESH_NODE_BASE=${MESH_NODE_BASE:-22000}
MESH_CONTROL_BASE=${MESH_CONTROL_BASE:-21900}
. bench/mesh-lib.sh
trap 'mesh_stop_all; rm -rf "$MESH_DIR"' EXIT
scenarios=("$@")
[ ${#scenarios[@]} -gt 0 ] || scenarios=(crest long slow link drain)

# One service with four upstreams of 6 slots, as in the Adinkra example.
WORK_US=20000
SLOTS=6
UPSTREAMS=4
CAPACITY=$((UPSTREAMS * SLOTS * 1000000 / WORK_US))

# stop_mesh: stops all processes of the last run and removes their files.
stop_mesh() {
    mesh_stop_all
    MESH_PIDS=()
    rm -rf "${MESH_DIR:?}"/*
}

# write_folder FOLDER HEDGE_LIMIT: writes a configuration with a route for
# short and one for long work.
write_folder() {
    mkdir -p "$1"
    cat >"$1/10-all.conf" <<CONF
[region west]

[region east]

[zone w1]
region=west

[zone w2]
region=west

[zone e1]
region=east

[zone e2]
region=east

[service s]
queue-length=${QUEUE:-64}
slow-start-ms=${SLOW_START_MS:-0}
long-work-percent=${LONG_PERCENT:-50}

[route short]
path=/short
methods=GET;HEAD
service=s
timeout-ms=4000
hedge-limit=$2

[route long]
path=/long
methods=GET;HEAD
service=s
class=long
timeout-ms=20000
CONF
}

# start_mesh KIND ZONE...: starts one control host and, in each given zone, a
# node with an upstream. KIND is product or baseline. UPSTREAM_FLAGS_I adds
# flags for upstream I. Sets targets, the value of --targets, and nodes, the
# names of the nodes.
start_mesh() {
    local kind=$1 i=0 zone flags hedges=1 extra
    shift
    CONTROL_ZONES=(w1)
    CONTROL_REGIONS=(west)
    flags=()
    if [ "$kind" = baseline ]; then
        flags=(--routing-policy round_robin --ignore-slots)
        hedges=0
    fi
    write_folder "$MESH_DIR/source" $hedges
    mesh_install_folder 0 "$MESH_DIR/source"
    mesh_start_control 0
    targets=
    nodes=()
    for zone in "$@"; do
        mesh_start_node $i "$zone" "$([ "${zone:0:1}" = w ] && echo west ||
            echo east)" ${flags[@]+"${flags[@]}"}
        targets+="${targets:+,}127.0.0.1:$((MESH_NODE_BASE + 10 * i))"
        nodes+=("node-$i")
        i=$((i + 1))
    done
    mesh_wait_listening
    for ((i = 0; i < ${#nodes[@]}; i++)); do
        extra=UPSTREAM_FLAGS_$i
        # shellcheck disable=SC2086
        mesh_start_upstream $i s --slots $SLOTS --connections 130 \
            ${!extra:-}
    done
    mesh_wait_revision 1 "${nodes[@]}"
    mesh_wait_upstreams
}

# write_workload FILE RATE LONG_PERMILLE [RATE_CHANGES]: writes a workload with
# one route.
write_workload() {
    cat >"$1" <<JSON
{"name": "bench", "rate": $2, "long_permille": $3, "long_factor": 50,
 "swing_period_ms": 60000, "swings": [${4:-{\"at_ms\": 0, \"factor\": 1.0\}}],
 "routes": [{"path": "/short", "weight": 1, "work_us": $WORK_US,
  "deadline_ms": 1000, "answer_bytes": 500}]}
JSON
}

# send_load NAME WORKLOAD DURATION_MS SEED: runs the load and writes the JSON
# report to RESULTS/NAME.json.
send_load() {
    "$MESH_BUILD/load/baobab-load" --targets "$targets" --workload "$2" \
        --duration-ms "$3" --seed "$4" --threads "${THREADS:-400}" --json \
        >"$RESULTS/$1.json" 2>>"$MESH_DIR/load.log"
}

# report_number NAME PATTERN: prints the first number after a pattern in a
# report.
report_number() {
    grep -o "$2[0-9.]*" "$RESULTS/$1.json" | head -n 1 | grep -o '[0-9.]*$'
}

# count_ok FROM TO NAME: prints the number of successful calls in the 100 ms
# intervals FROM to TO - 1.
count_ok() {
    sed 's/.*"ok_by_100_ms":\[\([0-9,]*\)\].*/\1/' "$RESULTS/$3.json" |
        tr ',' '\n' | sed -n "$(($1 + 1)),$2p" |
        awk '{ s += $1 } END { print s + 0 }'
}

run_crest() {
    local run kind name
    for ((run = 1; run <= RUNS; run++)); do
        for kind in baseline product; do
            start_mesh $kind w1 w1 w2 w2
            name=crest-$kind-$run
            write_workload "$MESH_DIR/w.json" "$CAPACITY" 0 \
                '{"at_ms":0,"factor":0.6},{"at_ms":5000,"factor":2.0},{"at_ms":10000,"factor":0.6}'
            send_load "$name" "$MESH_DIR/w.json" 16000 $run
            awk -v kind=$kind -v run=$run -v c="$CAPACITY" \
                -v peak="$(count_ok 50 100 "$name")" \
                -v after="$(count_ok 110 160 "$name")" \
                -v refusals="$(grep -o '"refusals":{[^}]*}' \
                    "$RESULTS/$name.json" | tr '"' "'")" \
                'BEGIN { printf "{\"scenario\":\"crest\",\"kind\":\"%s\"," \
                "\"run\":%d,\"goodput_percent_of_capacity\":%.1f," \
                "\"after_crest_percent_of_demand\":%.1f,\"%s\"}\n", kind, run,
                100 * peak / (c * 5), 100 * after / (c * 0.6 * 5), refusals }'
            stop_mesh
        done
    done
}

# write_long_workload FILE RATE LONG_WEIGHT: writes a workload with short
# requests and, if LONG_WEIGHT is above 0, requests of 50 times the work on a
# route with class=long.
write_long_workload() {
    local long=
    [ "$3" = 0 ] ||
        long=", {\"path\": \"/long\", \"weight\": $3, \"long\": true, \"answer_bytes\": 500,
            \"work_us\": $((WORK_US * 50)), \"deadline_ms\": 15000}"
    cat >"$1" <<JSON
{"name": "long", "rate": $2, "routes": [{"path": "/short", "weight": 95,
 "work_us": $WORK_US, "deadline_ms": 4000, "answer_bytes": 500}$long]}
JSON
}

run_long() {
    local run kind name weight rate
    for ((run = 1; run <= RUNS; run++)); do
        for kind in baseline product; do
            for weight in 0 5; do
                start_mesh $kind w1 w1 w2 w2
                name=long-$kind-$weight-$run
                # With 5% of the requests 50 times longer, the mean work is
                # 3.45 times that without. The rate of short requests is the
                # same in both runs.
                rate=$((CAPACITY * 80 / 345))
                [ $weight = 5 ] || rate=$((rate * 95 / 100))
                write_long_workload "$MESH_DIR/w.json" $rate $weight
                send_load "$name" "$MESH_DIR/w.json" 15000 $run
                stop_mesh
            done
            awk -v kind=$kind -v run=$run \
                -v a="$(report_short_p99 long-$kind-0-$run)" \
                -v b="$(report_short_p99 long-$kind-5-$run)" \
                -v ends="$(grep -o '"ends":{[^}]*}' \
                    "$RESULTS/long-$kind-5-$run.json" | tr '"' "'")" \
                'BEGIN { printf "{\"scenario\":\"long\",\"kind\":\"%s\"," \
                "\"run\":%d,\"short_p99_without_us\":%d," \
                "\"short_p99_with_us\":%d,\"ratio\":%.2f,\"%s\"}\n", kind,
                run, a, b, b / a, ends }'
        done
    done
}

# report_short_p99 NAME: prints the p99 of short calls in a report, in us.
report_short_p99() {
    grep -o '"short":{[^}]*}' "$RESULTS/$1.json" |
        grep -o '"p99_us":[0-9.]*' | grep -o '[0-9.]*$'
}

run_slow() {
    local run kind name slow_period_ms
    for ((run = 1; run <= RUNS; run++)); do
        for kind in baseline product; do
            for slow_period_ms in 0 5000; do
                UPSTREAM_FLAGS_1=
                [ $slow_period_ms = 0 ] ||
                    UPSTREAM_FLAGS_1="--slow-period-ms $slow_period_ms \
                    --slow-ms 2000 --slow-factor 10"
                start_mesh $kind w1 w1 w2 w2
                name=slow-$kind-$slow_period_ms-$run
                write_workload "$MESH_DIR/w.json" $((CAPACITY / 2)) 0
                send_load "$name" "$MESH_DIR/w.json" 15000 $run
                count_upstream_runs >"$RESULTS/$name.runs"
                stop_mesh
            done
            UPSTREAM_FLAGS_1=
            awk -v kind=$kind -v run=$run \
                -v a="$(report_short_p99 slow-$kind-0-$run)" \
                -v b="$(report_short_p99 slow-$kind-5000-$run)" \
                -v runs="$(cat "$RESULTS/slow-$kind-5000-$run.runs")" \
                -v calls="$(report_number slow-$kind-5000-$run '"calls":')" \
                'BEGIN { printf "{\"scenario\":\"slow\",\"kind\":\"%s\"," \
                "\"run\":%d,\"p99_without_us\":%d,\"p99_with_us\":%d," \
                "\"ratio\":%.2f,\"extra_calls_percent\":%.1f}\n", kind, run, a,
                b, b / a, 100 * (runs - calls) / calls }'
        done
    done
}

# count_upstream_runs: prints the number of requests that all upstreams
# started.
count_upstream_runs() {
    local i sum=0 n
    for ((i = 0; i < ${#nodes[@]}; i++)); do
        n=$(mesh_http_get $((MESH_NODE_BASE + 10 * i + 5)) /v1/ran |
            sed -n '1s/.*"runs":\([0-9]*\).*/\1/p')
        sum=$((sum + n))
    done
    echo $sum
}

run_link() {
    local name=link-product
    start_mesh product w1 w2 e1 e2
    write_workload "$MESH_DIR/w.json" $((CAPACITY / 2)) 0
    send_load $name "$MESH_DIR/w.json" 10000 1
    printf '{"scenario":"link","calls":%d,"link_bytes":%s}\n' \
        "$(report_number $name '"calls":')" "$(for i in 0 1 2 3; do
            mesh_http_get $((MESH_NODE_BASE + 10 * i + 4)) /metrics
        done | awk '/^baobab_link_bytes_total/ { s += $2 }
            END { print s + 0 }')"
    stop_mesh
}

run_drain() {
    local name=drain-product before after pid
    start_mesh product w1 w1 w2 w2
    write_workload "$MESH_DIR/w.json" $((CAPACITY / 2)) 0
    send_load $name "$MESH_DIR/w.json" 8000 1 &
    pid=$!
    sleep 3
    mesh_signal TERM upstream-1
    sleep 1
    wait $pid
    printf '{"scenario":"drain","calls":%d,"ok":%d,"broken":%d,"refused":%d}\n' \
        "$(report_number $name '"calls":')" \
        "$(report_number $name '"ok":')" \
        "$(report_number $name '"broken":')" \
        "$(report_number $name '"refused":')"
    stop_mesh
}

for scenario in "${scenarios[@]}"; do
    "run_$scenario"
done
