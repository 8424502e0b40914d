#!/usr/bin/env bash
# Guards against requests that are aborted or lost when a node or an upstream
# is stopped with SIGTERM. Arguments: NODE UPSTREAM LOAD WORKLOAD.
set -euo pipefail
node=$1
upstream=$2
load=$3
workload=$4
pids=()
work=$(mktemp -d)
base=0

stop_all() {
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop_all EXIT

# Returns whether all ports of the block at a base are free.
are_ports_free() {
    local port
    for port in "$1" $(($1 + 10)) $(($1 + 11)) $(($1 + 12)) $(($1 + 20)) \
        $(($1 + 21)) $(($1 + 22)); do
        if (exec 8<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            return 1
        fi
    done
}

# Sets base to the first port of a free block below the ephemeral ports. A lock
# file reserves the block against other runs of this test until this one ends.
# The 30 empty files are not removed, or two runs could lock different files
# of the same name.
reserve_ports() {
    local i
    for ((i = 0; i < 50; i++)); do
        base=$((23000 + 30 * (($$ + i) % 30)))
        exec 9>"${TMPDIR:-/tmp}/baobab-test-sigterm-$base.lock"
        if flock -n 9 && are_ports_free "$base"; then
            return
        fi
    done
    fail "no free ports"
}

fail() {
    echo "FAILED: $1"
    cat "$work"/*.log "$work/report" 2>/dev/null || true
    exit 1
}

# Starts a program that logs to a file, and appends its pid to pids.
start() {
    local name=$1
    shift
    "$@" 2>"$work/$name.log" 9>&- &
    pids+=($!)
}

# Prints a number of the report.
number() {
    awk -v name="$1" '$1 == name { print $2; exit }' "$work/report"
}

run_case() {
    local stopped=$1
    local gate_http=127.0.0.1:$((base + 10))
    local gate_local=127.0.0.1:$((base + 12))
    local entry_http=127.0.0.1:$((base + 20))
    start upstream "$upstream" --listen "127.0.0.1:$base" --service s \
        --slots 32 --announce "$gate_local" --lifetime-ms 600
    local upstream_pid=${pids[-1]}
    start gate "$node" --host gate --service s --listen "$gate_http" \
        --local "$gate_local"
    local gate_pid=${pids[-1]}
    start entry "$node" --host entry --service s --listen "$entry_http" \
        --local "127.0.0.1:$((base + 22))" --peers "$gate_http" \
        --timeout-ms 9000
    local entry_pid=${pids[-1]}
    sleep 1
    "$load" --targets "$entry_http" --workload "$workload" \
        --duration-ms 5000 >"$work/report" 9>&- &
    local load_pid=$!
    sleep 2.5
    local victim=${stopped}_pid
    kill -TERM "${!victim}"
    wait "${!victim}" || fail "$stopped left with an error"
    wait "$load_pid" || fail "the load generator failed; see its report"
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

reserve_ports
run_case gate
run_case upstream
