#!/usr/bin/env bash
# Guards against requests that are cut or lost when a node or an upstream is
# told to stop by SIGTERM: NODE UPSTREAM LOAD WORKLOAD.
set -euo pipefail
node=$1
upstream=$2
load=$3
workload=$4
pids=()
work=$(mktemp -d)

stop_all() {
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop_all EXIT

fail() {
    echo "FAILED: $1"
    cat "$work"/*.log "$work/report" 2>/dev/null || true
    exit 1
}

# Starts a program with its log; the pid is the last of pids.
start() {
    local name=$1
    shift
    "$@" 2>"$work/$name.log" &
    pids+=($!)
}

# Reads a number from the report.
number() {
    awk -v name="$1" '$1 == name { print $2; exit }' "$work/report"
}

run_case() {
    local stopped=$1
    start upstream "$upstream" --listen 127.0.0.1:23100 --service s \
        --slots 32 --announce 127.0.0.1:23112 --lifetime-ms 600
    local upstream_pid=${pids[-1]}
    start gate "$node" --host gate --service s --listen 127.0.0.1:23110 \
        --local 127.0.0.1:23112
    local gate_pid=${pids[-1]}
    start entry "$node" --host entry --service s --listen 127.0.0.1:23120 \
        --local 127.0.0.1:23122 --peers 127.0.0.1:23110 --timeout-ms 9000
    local entry_pid=${pids[-1]}
    sleep 1
    "$load" --targets 127.0.0.1:23120 --workload "$workload" \
        --duration-ms 5000 >"$work/report" &
    local load_pid=$!
    sleep 2.5
    local victim=${stopped}_pid
    kill -TERM "${!victim}"
    wait "${!victim}" || fail "$stopped left with an error"
    wait "$load_pid" || fail "the load met a wrong answer"
    [ "$(number ok)" -ge 5 ] || fail "too few answers"
    for kind in status broken wrong unknown; do
        [ "$(number $kind)" -eq 0 ] || fail "$kind after SIGTERM of $stopped"
    done
    echo "$stopped: $(number ok) answered, $(number refused) refused, 0 cut"
    for pid in "$upstream_pid" "$gate_pid" "$entry_pid"; do
        kill -TERM "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    pids=()
}

run_case gate
run_case upstream
