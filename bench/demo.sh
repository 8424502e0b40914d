#!/usr/bin/env bash
# Starts a small mesh of two regions with two zones each, sends calls through
# it, changes its configuration, submits an invalid file, drains an upstream,
# and stops everything. Exit code 0: every step worked.
set -euo pipefail
cd "$(dirname "$0")/.."
MESH_BUILD=${1:-build}
. bench/mesh-lib.sh
trap 'mesh_stop_all; rm -rf "$MESH_DIR"' EXIT

SECONDS_OF_LOAD=14
RATE=150
zones=(accra-1 accra-2 kumasi-1 kumasi-2)
regions=(accra accra kumasi kumasi)
services=(proofdesk presslink photovault orderbook)
CONTROL_ZONES=(accra-1 accra-2 kumasi-1)
CONTROL_REGIONS=(accra accra kumasi)
nodes=(node-0 node-1 node-2 node-3 node-4 node-5 node-6 node-7)

# wait_holders COUNT: waits until control-1 reports that many holders of the
# configuration in force.
wait_holders() {
    local deadline=$((SECONDS + 10))
    until MESH_ADMIN=1 mesh_ctl in-force >"$MESH_DIR/in-force.txt" &&
        grep -q "^holders: $1\$" "$MESH_DIR/in-force.txt"; do
        [ $SECONDS -lt $deadline ] ||
            mesh_fail "control-1 does not report $1 holders"
        sleep 0.05
    done
}

echo "1. Starting 3 control hosts, 8 nodes and 8 upstreams in 2 regions"
for i in 0 1 2; do
    mesh_install_folder "$i" examples/adinkra
    mesh_start_control "$i"
done
for i in 0 1 2 3 4 5 6 7; do
    mesh_start_node "$i" "${zones[$((i % 4))]}" "${regions[$((i % 4))]}"
done
mesh_wait_listening
# Two upstreams of each service, one in each region.
for i in 0 1 2 3 4 5 6 7; do
    mesh_start_upstream "$i" "${services[$(((i + i / 4) % 4))]}"
done
mesh_wait_revision 1 "${nodes[@]}"
# Requests with an idempotency key need the witnesses of their service.
mesh_wait_rosters "${#services[@]}" "${nodes[@]}"
revision=$(mesh_current_revision)
mesh_ctl members
mesh_ctl in-force | sed -n '/^rosters:/,/^$/p'

echo
echo "2. Sending the Adinkra workload, $RATE calls a second for" \
    "$SECONDS_OF_LOAD s, through all nodes"
targets=
for i in 0 1 2 3 4 5 6 7; do
    targets+="${targets:+,}127.0.0.1:$((MESH_NODE_BASE + 10 * i))"
done
"$MESH_BUILD/load/baobab-load" --targets "$targets" \
    --workload bench/workloads/adinkra.json --rate "$RATE" \
    --duration-ms $((SECONDS_OF_LOAD * 1000)) --seed 7 \
    --record "$MESH_DIR/calls.jsonl" \
    >"$MESH_DIR/load.txt" 2>"$MESH_DIR/load.log" &
load_pid=$!
sleep 2

echo
echo "3. Changing a file in the folder of control-0"
folder="$MESH_DIR/control-0/folder"
sed 's/^version=1$/version=2/' "$folder/00-configuration.conf" \
    >"$folder/.new"
sed 's/^queue-length=64$/queue-length=48/' "$folder/20-services.conf" \
    >"$folder/.services"
mv "$folder/.services" "$folder/20-services.conf"
start_ms=$(mesh_now_ms)
mv "$folder/.new" "$folder/00-configuration.conf"
mesh_wait_revision $((revision + 1)) "${nodes[@]}"
echo "   revision $((revision + 1)) in force on all 8 nodes after" \
    "$((MESH_LAST_MS - start_ms)) ms"
wait_holders 8
echo "   control-1, which received the acknowledgements of the nodes, shows:"
MESH_ADMIN=1 mesh_ctl in-force >"$MESH_DIR/in-force.txt"
sed -n 1,14p "$MESH_DIR/in-force.txt"

echo
echo "4. Submitting an invalid file during the calls"
printf '[route broken]\npath=/broken\nservice=nowhere\n' >"$folder/.bad"
sed -e 's/^version=2$/version=3/' \
    -e 's/;50-orders.conf$/;50-orders.conf;60-bad.conf/' \
    "$folder/00-configuration.conf" >"$folder/.new"
mv "$folder/.bad" "$folder/60-bad.conf"
mv "$folder/.new" "$folder/00-configuration.conf"
sleep 1
if "$MESH_BUILD/ctl/baobabctl" check "$folder"; then
    mesh_fail "the invalid folder passed the check"
fi
mesh_ctl status >"$MESH_DIR/status.txt" || true
cat "$MESH_DIR/status.txt"
mesh_ctl in-force >"$MESH_DIR/in-force.txt"
grep -q "^revision $((revision + 1))," "$MESH_DIR/in-force.txt" ||
    mesh_fail "revision $((revision + 1)) is no longer in force"

echo
echo "5. Draining node-4 by a file in the folder"
# count_started: prints the number of requests that the upstream of node-4 has
# started.
count_started() {
    mesh_http_get $((MESH_NODE_BASE + 45)) /v1/ran |
        grep -o '"id"' | wc -l
}
printf '[drain node-4]\n' >"$folder/.drain"
sed -e 's/^version=3$/version=4/' -e 's/60-bad.conf/60-drain.conf/' \
    "$folder/00-configuration.conf" >"$folder/.new"
rm "$folder/60-bad.conf"
mv "$folder/.drain" "$folder/60-drain.conf"
mv "$folder/.new" "$folder/00-configuration.conf"
mesh_wait_revision $((revision + 2)) "${nodes[@]}"
sleep 0.5
before=$(count_started)
sleep 2
after=$(count_started)
echo "   requests started at the drained upstream: $before, 2 s later: $after"
[ "$before" -gt 0 ] || mesh_fail "the upstream had no work before"
[ "$before" = "$after" ] || mesh_fail "the drained upstream got new work"

wait "$load_pid" || true
echo
echo "6. Result of the load"
cat "$MESH_DIR/load.txt"
failed=$(grep -vc '"end":"ok"' "$MESH_DIR/calls.jsonl" || true)
[ "$failed" = 0 ] || mesh_fail "$failed calls failed during the demo"
echo "Demo finished: $(wc -l <"$MESH_DIR/calls.jsonl") calls, none failed."
