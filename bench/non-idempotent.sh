#!/usr/bin/env bash
# Sends non-idempotent requests, half of them with an Idempotency-Key, through
# 8 nodes in 2 regions. Meanwhile nodes are killed and restarted, nodes are
# stopped and continued (their connections become silent), and some upstreams
# respond late. Upstreams are never killed, as they keep their history in
# memory.
#
#   bench/non-idempotent.sh [REQUESTS [SEED]]     default: 5000, seed 1
#
# Checks that no request ran twice; none with the response `ran: no` ran; each
# `unknown` has a gatekeeper that was killed or stopped meanwhile, or a
# deadline that has passed; each broken call has an entry node that was killed.
# Prints two lines of JSON results and one with the verdict. Exit code 0:
# passed, 1: failed.
#
# Environment: RATE (default 400), calls per second; RESULTS, the folder that
# keeps the records. In it, injected-faults lists the kills and stops, and
# faults lists the violated checks.
set -euo pipefail
cd "$(dirname "$0")/.."
MESH_NODE_BASE=${MESH_NODE_BASE:-19000}
MESH_CONTROL_BASE=${MESH_CONTROL_BASE:-18900}
. bench/mesh-lib.sh
trap 'mesh_stop_all; rm -rf "$MESH_DIR"' EXIT

REQUESTS=${1:-5000}
SEED=${2:-1}
RANDOM=$SEED
RATE=${RATE:-400}
RESULTS=${RESULTS:-$(mktemp -d)}
NODES=8
DEADLINE_MS=3000
# Time after the end of an injected fault in which calls may still be affected:
# calls in progress finish, and peers reconnect to a restarted node.
MARGIN_MS=1500
# The load generator starts up to CLOCK_SLACK_MS later than the time that this
# script records.
CLOCK_SLACK_MS=150
# The load generator detects that a killed node has closed a connection only at
# the next use of the connection, at most 5 s after the last one.
BROKEN_MARGIN_MS=6000
STOP_MAX_MS=3000 # maximum time for which a node is stopped
CONTROL_ZONES=(w1 w2 e1)
CONTROL_REGIONS=(west west east)
zones=(w1 w2 e1 e2)
regions=(west west east east)
mkdir -p "$RESULTS"

start_node() {
    mesh_start_node "$1" "${zones[$(($1 % 4))]}" "${regions[$(($1 % 4))]}"
}

# write_folder FOLDER: writes a configuration with one service. Its retention
# is short, so that restarted witnesses grant claims again within the run.
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
retention-s=10
slow-start-ms=0

[route work]
path=/work
methods=POST
service=s
idempotent=false
timeout-ms=$DEADLINE_MS
CONF
}

# inject_faults: until the load has ended, alternately kills and stops one node
# at a time, and appends a line to the list of injected faults: node, kind,
# start and end time in ms.
inject_faults() {
    local node kind from
    while kill -0 "$load_pid" 2>/dev/null; do
        node=$((RANDOM % NODES))
        kind=$(((kills + stops) % 2))
        from=$(mesh_now_ms)
        if [ $kind = 0 ]; then
            mesh_signal KILL "node-$node"
            wait "${MESH_PID_OF[node-$node]}" 2>/dev/null || true
            sleep "0.$((200 + RANDOM % 700))"
            start_node $node
            echo "$node kill $from $(mesh_now_ms)" >>"$RESULTS/injected-faults"
            kills=$((kills + 1))
        else
            mesh_signal STOP "node-$node"
            sleep "$((1 + RANDOM % 2)).$((100 + RANDOM % 800))"
            mesh_signal CONT "node-$node"
            echo "$node stop $from $(mesh_now_ms)" >>"$RESULTS/injected-faults"
            stops=$((stops + 1))
        fi
        sleep "0.$((RANDOM % 700 + 200))"
    done
}

write_folder "$MESH_DIR/source"
for i in 0 1 2; do
    mesh_install_folder $i "$MESH_DIR/source"
    mesh_start_control $i
done
names=()
targets=
for ((i = 0; i < NODES; i++)); do
    start_node $i
    names+=("node-$i")
    targets+="${targets:+,}127.0.0.1:$((MESH_NODE_BASE + 10 * i))"
done
mesh_wait_listening
for ((i = 0; i < NODES; i++)); do
    # Two upstreams respond later than the check for silent connections.
    slow=()
    [ $((i % 4)) != 1 ] ||
        slow=(--slow-period-ms 5000 --slow-ms 700 --slow-factor 120)
    mesh_start_upstream $i s --slots 6 --connections 130 --seed $i \
        ${slow[@]+"${slow[@]}"}
done
mesh_wait_rosters 1 "${names[@]}"

cat >"$MESH_DIR/workload.json" <<JSON
{"name": "non-idempotent", "rate": $RATE, "routes": [
 {"path": "/work/plain", "method": "POST", "weight": 1, "work_us": 10000,
  "body_bytes": 300, "deadline_ms": $DEADLINE_MS},
 {"path": "/work/keyed", "method": "POST", "weight": 1, "work_us": 10000,
  "body_bytes": 300, "deadline_ms": $DEADLINE_MS, "keyed": true}]}
JSON
: >"$RESULTS/injected-faults"
rm -f "$RESULTS/faults"
kills=0
stops=0
start_ms=$(mesh_now_ms)
"$MESH_BUILD/load/baobab-load" --targets "$targets" \
    --workload "$MESH_DIR/workload.json" --threads 300 --timeout-s 20 \
    --duration-ms $((REQUESTS * 1000 / RATE)) --seed "$SEED" --json \
    --record "$RESULTS/calls.jsonl" >"$RESULTS/load.json" \
    2>"$MESH_DIR/load.log" &
load_pid=$!
inject_faults 2>"$MESH_DIR/shell.log" # the shell reports killed nodes there
failed=0
wait $load_pid || failed=1
sleep 3.5 # longer than a deadline, so that all requests have ended

: >"$RESULTS/ran"
for ((i = 0; i < NODES; i++)); do
    mesh_http_get $((MESH_NODE_BASE + 10 * i + 5)) /v1/ran >"$RESULTS/ran-$i"
    sed -n 1p "$RESULTS/ran-$i" | grep -q '"dropped":0,"busy":0,' ||
        mesh_fail "upstream $i has dropped records or still runs requests"
    sed -n "s/.*\"call\":\"\([^\"]*\)\".*/\1 $i/p" "$RESULTS/ran-$i" \
        >>"$RESULTS/ran"
done

# Lines of id, entry node, result, reason, ran, start and end time in ms.
# Columns of the record file: 2 id, 6 result, 8 reason, 10 ran, 12 at_us,
# 14 latency_us.
sed 's/[{}"]//g' "$RESULTS/calls.jsonl" | awk -F '[,:]' \
    -v start=$((start_ms + MESH_LOAD_START_DELAY_MS)) \
    -v nodes=$NODES '{ split($2, id, "-")
        from = start + $12 / 1000
        printf "%s %d %s %s %s %.0f %.0f\n", $2, id[2] % nodes, $6, $8, $10,
            from, from + $14 / 1000 }' >"$RESULTS/calls"

awk -v margin=$MARGIN_MS -v slack=$CLOCK_SLACK_MS -v stop_max=$STOP_MAX_MS \
    -v broken_margin=$BROKEN_MARGIN_MS \
    -v deadline=$DEADLINE_MS -v out="$RESULTS/faults" '
BEGIN { count = 0 }
# Returns whether a node, or any node if is_any, had an injected fault of the
# wanted kind that overlaps from..to or ended at most margin ms before from.
function had_fault(node, is_any, wanted, from, to, margin,    i) {
    for (i = 0; i < count; i++)
        if ((is_any || at[i] == node) && kind[i] ~ wanted &&
            begin[i] <= to + slack &&
            end[i] + margin >= from)
            return 1
    return 0
}
FILENAME ~ /injected-faults$/ {
    at[count] = $1; kind[count] = $2; begin[count] = $3;
    end[count++] = $4; next }
FILENAME ~ /ran$/ { runs[$1]++; host[$1] = $2; next }
{
    calls++
    ends[$3]++
    ran = ($1 in runs)
    if (runs[$1] > 1) { twice++; print "twice " $0 >out }
    if ($3 == "ok" && !ran) { lost++; print "ok-not-run " $0 >out }
    if ($5 == "no" && ran) { false_no++; print "false-no " $0 >out }
    if ($3 == "wrong" || $3 == "status") print "end " $0 >out
    if ($5 == "no") no++
    if ($3 == "refused") reasons[$4 "/" $5]++
    if ($3 == "refused" && $5 == "unknown") {
        unknown++
        unknown_ran += ran
        # Only a kill closes connections and ends an incarnation.
        wanted = $4 ~ /restarted|lost/ ? "kill" : "kill|stop"
        # A stopped entry node detects a kill late.
        late = had_fault($2, 0, "stop", $6, $7, 0) ? stop_max : 0
        if ($4 ~ /^deadline/ && $7 - $6 >= deadline - 100) passed++
        else if (!had_fault(host[$1], !ran, wanted, $6, $7,
            margin + late)) {
            unexplained++; print "unexplained " host[$1] " " $0 >out }
    }
    if ($3 == "broken" && !had_fault($2, 0, "kill", $6, $7,
        broken_margin)) {
        broken_unexplained++; print "broken " $0 >out }
}
END {
    for (r in reasons)
        list = list (list == "" ? "" : ",") "\"" r "\":" reasons[r]
    printf "{\"calls\":%d,\"ok\":%d,\"refused\":%d,\"broken\":%d," \
        "\"wrong\":%d,\"status\":%d,\"ran_no\":%d,\"unknown\":%d," \
        "\"unknown_that_ran\":%d,\"unknown_deadline_passed\":%d," \
        "\"refusals\":{%s}}\n", calls, ends["ok"], ends["refused"],
        ends["broken"], ends["wrong"], ends["status"], no, unknown,
        unknown_ran, passed, list
    printf "{\"ran_twice\":%d,\"said_no_but_ran\":%d,\"ok_but_not_run\":%d," \
        "\"unknown_unexplained\":%d,\"broken_unexplained\":%d}\n", twice,
        false_no, lost, unexplained, broken_unexplained
    violations = twice + false_no + lost + unexplained + broken_unexplained
    exit (violations + ends["wrong"] > 0 || ends["ok"] * 2 < calls)
}' "$RESULTS/injected-faults" "$RESULTS/ran" "$RESULTS/calls" || failed=1
[ ! -s "$RESULTS/faults" ] || head -n 10 "$RESULTS/faults" >&2
printf '{"bench":"non-idempotent","seed":%d,"kills":%d,"stops":%d,%s}\n' \
    "$SEED" $kills $stops "\"passed\":$([ $failed = 0 ] && echo true ||
        echo false)"
exit $failed
