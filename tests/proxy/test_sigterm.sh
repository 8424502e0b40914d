#!/usr/bin/env bash
# Guards against requests that are aborted or lost when a node or an upstream
# is stopped with SIGTERM. Arguments: NODE UPSTREAM LOAD WORKLOAD.
set -euo pipefail
node=$1
upstream=$2
load=$3
workload=$4
pids=()
work_dir=$(mktemp -d)
base=0

# A run takes its ports from one of these blocks.
FIRST_PORT=23000
BLOCK_COUNT=30
BLOCK_PORTS=30
BLOCK_ATTEMPTS=50

stop_all() {
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    rm -rf "$work_dir"
}
trap stop_all EXIT

# Returns whether all ports used by a run are free: the upstream's at the given
# base, and those of the two nodes for callers, RPC and the local upstream from
# base + 10 and base + 20.
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
# The lock files (at most 30, empty) are not removed: a run could otherwise lock
# a removed file while another creates and locks a new one of the same name.
reserve_ports() {
    local i
    for ((i = 0; i < BLOCK_ATTEMPTS; i++)); do
        base=$((FIRST_PORT + BLOCK_PORTS * (($$ + i) % BLOCK_COUNT)))
        exec 9>"${TMPDIR:-/tmp}/baobab-test-sigterm-$base.lock"
        if flock -n 9 && are_ports_free "$base"; then
            return
        fi
    done
    fail "no free ports"
}

fail() {
    echo "FAILED: $1"
    cat "$work_dir"/*.log "$work_dir/report" 2>/dev/null || true
    exit 1
}

# Starts a program that logs to a file, and appends its pid to pids.
start() {
    local name=$1
    shift
    "$@" 2>"$work_dir/$name.log" 9>&- &
    pids+=($!)
}

# Prints a number of the report.
number() {
    awk -v name="$1" '$1 == name { print $2; exit }' "$work_dir/report"
}

# Sends requests through an entry node to a gatekeeper and its upstream, stops
# the given program (gatekeeper or upstream) with SIGTERM while some are in
# flight, and checks that none was aborted.
run_case() {
    local stopped_program=$1
    local gatekeeper_http=127.0.0.1:$((base + 10))
    local gatekeeper_local=127.0.0.1:$((base + 12))
    local entry_http=127.0.0.1:$((base + 20))
    start upstream "$upstream" --listen "127.0.0.1:$base" --service s \
        --slots 32 --announce "$gatekeeper_local" --lifetime-ms 600
    local upstream_pid=${pids[-1]}
    start gatekeeper "$node" --host gatekeeper --service s \
        --listen "$gatekeeper_http" --local "$gatekeeper_local"
    local gatekeeper_pid=${pids[-1]}
    start entry "$node" --host entry --service s --listen "$entry_http" \
        --local "127.0.0.1:$((base + 22))" --peers "$gatekeeper_http" \
        --timeout-ms 9000
    local entry_pid=${pids[-1]}
    sleep 1
    "$load" --targets "$entry_http" --workload "$workload" \
        --duration-ms 5000 >"$work_dir/report" 9>&- &
    local load_pid=$!
    # The workload's requests run for 2 s, so some are in flight.
    sleep 2.5
    local stopped_pid_name=${stopped_program}_pid
    kill -TERM "${!stopped_pid_name}"
    wait "${!stopped_pid_name}" || fail "$stopped_program exited with an error"
    wait "$load_pid" || fail "the load generator failed; see its report"
    [ "$(number ok)" -ge 5 ] || fail "fewer than 5 successful responses"
    for kind in status broken wrong unknown; do
        [ "$(number $kind)" -eq 0 ] ||
            fail "$kind after SIGTERM of $stopped_program"
    done
    echo "$stopped_program: $(number ok) answered, $(number refused) refused," \
        "0 cut"
    for pid in "$upstream_pid" "$gatekeeper_pid" "$entry_pid"; do
        kill -TERM "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    pids=()
}

reserve_ports
run_case gatekeeper
run_case upstream
