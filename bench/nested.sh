#!/usr/bin/env bash
# Sends nested calls of depth 14: a chain of 14 services, each with one
# upstream of 4 slots, where each node is both entry and gatekeeper. The load
# exceeds the capacity of the chain. Most calls run the whole chain, some a
# part of it.
#
#   bench/nested.sh [SECONDS [SEED]]     default: 10 s, seed 1
#
# Checks that every call ends within its deadline plus 2 s, no upstream has
# work 1 s after the load, and calls succeed in every second of the load.
# Prints one JSON line, with refusals by reason. Exit code 0: passed, 1:
# failed.
#
# Environment: RATE (default 100), calls per second; RESULTS, the folder that
# keeps the report and the record of all calls.
set -euo pipefail
cd "$(dirname "$0")/.."
MESH_NODE_BASE=${MESH_NODE_BASE:-19000}
MESH_CONTROL_BASE=${MESH_CONTROL_BASE:-18900}
. bench/mesh-lib.sh
trap 'mesh_stop_all; rm -rf "$MESH_DIR"' EXIT

LOAD_S=${1:-10}
SEED=${2:-1}
DEPTH=14
SLOTS=4
WORK_US=5000
DEADLINE_MS=2000
# A chain occupies a slot of the first service for 14 * 5 ms plus the hops, so
# 4 slots run at most 57 chains per second.
RATE=${RATE:-100}
CONTROL_ZONES=(w1)
CONTROL_REGIONS=(west)
RESULTS=${RESULTS:-$(mktemp -d)}
mkdir -p "$RESULTS"

# write_folder FOLDER: writes a configuration with services s0 to s13, each of
# which calls the next.
write_folder() {
    local i
    mkdir "$1"
    {
        printf '[region west]\n\n[zone w1]\nregion=west\n'
        printf '\n[zone w2]\nregion=west\n'
        for ((i = 0; i < DEPTH; i++)); do
            printf '\n[service s%d]\nslow-start-ms=0\n' $i
            [ $i = $((DEPTH - 1)) ] || printf 'calls=s%d\n' $((i + 1))
            printf '\n[route r%d]\npath=/r%d\nservice=s%d\n' $i $i $i
            printf 'timeout-ms=%d\n' $DEADLINE_MS
        done
    } >"$1/10-chain.conf"
}

# call_path FIRST: prints the paths of the nested calls of service FIRST.
call_path() {
    local i path=
    for ((i = $1 + 1; i < DEPTH; i++)); do
        path+="${path:+;}/r$i"
    done
    echo "$path"
}

write_folder "$MESH_DIR/source"
mesh_install_folder 0 "$MESH_DIR/source"
mesh_start_control 0
names=()
targets=
for ((i = 0; i < DEPTH; i++)); do
    mesh_start_node $i "w$((i % 2 + 1))" west
    names+=("node-$i")
    targets+="${targets:+,}127.0.0.1:$((MESH_NODE_BASE + 10 * i))"
done
mesh_wait_listening
for ((i = 0; i < DEPTH; i++)); do
    mesh_start_upstream $i "s$i" --slots $SLOTS \
        --node "127.0.0.1:$((MESH_NODE_BASE + 10 * i))"
done
mesh_wait_revision 1 "${names[@]}"
mesh_wait_upstreams

cat >"$MESH_DIR/workload.json" <<JSON
{"name": "nested", "rate": $RATE, "routes": [
 {"path": "/r0", "weight": 8, "work_us": $WORK_US,
  "deadline_ms": $DEADLINE_MS, "call_path": "$(call_path 0)"},
 {"path": "/r7", "weight": 1, "work_us": $WORK_US,
  "deadline_ms": $DEADLINE_MS, "call_path": "$(call_path 7)"},
 {"path": "/r13", "weight": 1, "work_us": $WORK_US,
  "deadline_ms": $DEADLINE_MS}]}
JSON
failed=0
"$MESH_BUILD/load/baobab-load" --targets "$targets" \
    --workload "$MESH_DIR/workload.json" --duration-ms $((LOAD_S * 1000)) \
    --seed "$SEED" --threads 400 --timeout-s 20 --json \
    --record "$RESULTS/nested.jsonl" >"$RESULTS/nested.json" || failed=1
sleep 1

busy=0
whole=0
for ((i = 0; i < DEPTH; i++)); do
    line=$(mesh_http_get $((MESH_NODE_BASE + 10 * i + 5)) /v1/ran | sed -n 1p)
    n=$(sed 's/.*"busy":\([0-9]*\),"waiting":\([0-9]*\).*/\1 \2/' \
        <<<"$line")
    busy=$((busy + ${n% *} + ${n#* }))
done
# Successful calls in the worst second and in total.
read -r worst whole < <(sed 's/.*"ok_by_100_ms":\[\([0-9,]*\)\].*/\1/' \
    "$RESULTS/nested.json" | tr ',' '\n' | awk '
    { sum += $1; all += $1 }
    NR % 10 == 0 { if (NR == 10 || sum < worst) worst = sum; sum = 0 }
    END { print worst + 0, all + 0 }')
# Columns of the record file: 6 result, 14 latency_us.
read -r calls slowest broken <<<"$(sed 's/[{}"]//g' "$RESULTS/nested.jsonl" |
    awk -F '[,:]' '{ calls++; if ($14 > slowest) slowest = $14 }
    $6 == "broken" || $6 == "wrong" { broken++ }
    END { printf "%d %d %d", calls, slowest / 1000, broken }')"
planned=$(sed 's/.*"calls":\([0-9]*\).*/\1/' "$RESULTS/nested.json")
[ $failed = 0 ] && [ "$busy" = 0 ] && [ "$worst" -gt 0 ] &&
    [ "$broken" = 0 ] && [ "$calls" = "$planned" ] &&
    [ "$slowest" -le $((DEADLINE_MS + 2000)) ] || failed=1
printf '{"bench":"nested","seed":%d,"seconds":%d,"calls":%d,"ended":%d,' \
    "$SEED" "$LOAD_S" "$planned" "$calls"
printf '"ok":%d,"ok_in_worst_second":%d,"slowest_ms":%d,' "$whole" "$worst" \
    "$slowest"
printf '"broken_or_wrong":%d,"still_at_work":%d,%s,%s,"passed":%s}\n' \
    "$broken" "$busy" \
    "$(grep -o '"ends":{[^}]*}' "$RESULTS/nested.json")" \
    "$(grep -o '"refusals":{[^}]*}' "$RESULTS/nested.json")" \
    "$([ $failed = 0 ] && echo true || echo false)"
exit $failed
