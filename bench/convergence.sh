#!/usr/bin/env bash
# Measures the time until a changed file is in force on every node, without and
# with faults, and the cost of control traffic.
#
#   bench/convergence.sh [NODES] [CHANGES] [FAULT...]     default: 32, 20, none
#
# Faults: leader (SIGKILL the leading control host), relay (SIGKILL node-0,
# which may be a relay of its zone), stop (SIGSTOP a control host), restart
# (kill and restart all nodes). Prints one JSON line per measurement; exits
# with 1 if a node did not converge.
#
# Environment: SETTLE_S (default 15), time before the first measurement; REST_S
# (20), duration of the measurement of an idle mesh; IDLE_S (10), duration of
# the measurement of idle traffic, which is subtracted from the traffic of the
# changes; KEEP, if set, keeps MESH_DIR.
set -euo pipefail
cd "$(dirname "$0")/.."
NODES=${1:-32}
CHANGES=${2:-20}
shift $(($# < 2 ? $# : 2))
SAMPLE_NODES=$((NODES < 8 ? NODES : 8)) # nodes whose control bytes are read
FAULTS=("$@")
REST_S=${REST_S:-20}
MESH_NODE_BASE=${MESH_NODE_BASE:-26000}
MESH_CONTROL_BASE=${MESH_CONTROL_BASE:-25900}
. bench/mesh-lib.sh
trap 'mesh_stop_all; [ -n "${KEEP:-}" ] || rm -rf "$MESH_DIR"' EXIT

zones=(accra-1 accra-2 kumasi-1 kumasi-2)
regions=(accra accra kumasi kumasi)
CONTROL_ZONES=(accra-1 accra-2 kumasi-1)
CONTROL_REGIONS=(accra accra kumasi)
nodes=()
for ((i = 0; i < NODES; i++)); do nodes+=("node-$i"); done
folder="$MESH_DIR/control-0/folder"
version=1

start_node() {
    mesh_start_node "$1" "${zones[$(($1 % 4))]}" "${regions[$(($1 % 4))]}"
}

# submit_change: raises the version in the folder and sets changed_ms.
submit_change() {
    version=$((version + 1))
    sed "s/^version=.*/version=$version/" "$folder/00-configuration.conf" \
        >"$folder/.new"
    changed_ms=$(mesh_now_ms)
    mv "$folder/.new" "$folder/00-configuration.conf"
}

# print_delays REVISION SINCE_MS: prints, for each node that has the revision
# or a later one in force, the delay in ms until the first such log line. The
# run must not cross midnight UTC, as dates are ignored.
print_delays() {
    local day_ms=$(($2 % 86400000))
    for name in "${nodes[@]}"; do
        awk -v want="$1" -v since="$day_ms" '/configuration.in_force/ {
            for (i = 1; i < NF; i++)
                if ($i == "revision" && $(i + 1) + 0 >= want) {
                    split(substr($1, 12, 12), t, ":")
                    printf "%d\n", (t[1] * 3600 + t[2] * 60 + t[3]) * 1000 \
                        - since
                    exit } }' "$MESH_DIR/$name.log"
    done
}

# wait_in_force REVISION LIMIT_S: waits until every node has logged that the
# revision or a later one is in force. Returns 1 after LIMIT_S seconds.
wait_in_force() {
    local deadline=$((SECONDS + $2))
    until [ "$(print_delays "$1" 0 | wc -l)" = "$NODES" ]; do
        [ $SECONDS -lt $deadline ] || return 1
        sleep 0.2
    done
}

# get_revision: prints the revision in force according to the first control
# host that responds, or 0.
get_revision() {
    local a line
    for a in 0 1 2; do
        line=$(MESH_ADMIN=$a timeout 2 "$MESH_BUILD/ctl/baobabctl" --admin \
            "127.0.0.1:$((MESH_CONTROL_BASE + 10 * a + 2))" in-force \
            2>/dev/null | head -n 1 || true)
        case $line in
        revision*) echo "$line" | sed 's/revision \([0-9]*\).*/\1/'; return ;;
        esac
    done
    echo 0
}

# print_summary NAME: prints quantiles of the delays on stdin as JSON.
print_summary() {
    sort -n | awk -v name="$1" -v nodes="$NODES" '{ v[NR] = $1 }
        END { printf "{\"measure\":\"%s\",\"nodes\":%d,\"samples\":%d," \
            "\"p50_ms\":%d,\"p99_ms\":%d,\"max_ms\":%d}\n", name, nodes, NR, \
            v[int((NR + 1) / 2)], v[int(NR * 0.99 + 0.5)], v[NR] }'
}

# cpu_ticks PID: prints the user and system time of a process in clock ticks.
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
# rss_kib PID: prints the resident memory of a process in KiB.
rss_kib() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
# control_bytes PORT: prints the control bytes in and out of one process.
control_bytes() {
    mesh_http_get "$1" /metrics |
        awk '/^baobab_mesh_bytes_total/ { s += $2 } END { printf "%d\n", s }'
}

# link_bytes: prints the control bytes that all processes have sent over the
# link between the regions. For the agreement of the control hosts, the calling
# side counts both directions.
link_bytes() {
    local i port
    {
        for ((i = 0; i < NODES; i++)); do
            mesh_http_get $((MESH_NODE_BASE + 10 * i + 4)) /metrics
        done
        for i in 0 1 2; do
            mesh_http_get $((MESH_CONTROL_BASE + 10 * i + 2)) /metrics
        done
    } | awk '/^baobab_mesh_other_region_bytes_total{direction="out"}/ ||
        /^baobab_agree_other_region_bytes_total/ { s += $2 }
        END { printf "%d\n", s }'
}

# mean_node_bytes: prints the mean control bytes in and out of a node, over the
# first SAMPLE_NODES nodes.
mean_node_bytes() {
    local i s=0
    for ((i = 0; i < SAMPLE_NODES; i++)); do
        s=$((s + $(control_bytes $((MESH_NODE_BASE + 10 * i + 4)))))
    done
    echo $((s / SAMPLE_NODES))
}

# measure_costs LABEL SECONDS: measures for SECONDS and prints processor time,
# memory and control bytes of the nodes, and processor time and memory of
# control-0, as JSON.
measure_costs() {
    local i pid sum=0 max=0 rss=0 t bytes=0 b max_b=0
    local -a before after
    for ((i = 0; i < NODES; i++)); do
        before[i]=$(cpu_ticks "${MESH_PID_OF[node-$i]}")
    done
    local -a bytes0
    for ((i = 0; i < SAMPLE_NODES; i++)); do
        bytes0[i]=$(control_bytes $((MESH_NODE_BASE + 10 * i + 4)))
    done
    local c0 c1
    c0=$(cpu_ticks "${MESH_PID_OF[control-0]}")
    sleep "$2"
    for ((i = 0; i < NODES; i++)); do
        t=$(($(cpu_ticks "${MESH_PID_OF[node-$i]}") - before[i]))
        sum=$((sum + t))
        [ $t -gt $max ] && max=$t
        t=$(rss_kib "${MESH_PID_OF[node-$i]}")
        [ "$t" -gt $rss ] && rss=$t
    done
    for ((i = 0; i < SAMPLE_NODES; i++)); do
        b=$(($(control_bytes $((MESH_NODE_BASE + 10 * i + 4))) - bytes0[i]))
        bytes=$((bytes + b))
        [ $b -gt $max_b ] && max_b=$b
    done
    c1=$(cpu_ticks "${MESH_PID_OF[control-0]}")
    awk -v l="$1" -v n="$NODES" -v s="$2" -v sum=$sum -v max=$max -v rss=$rss \
        -v bytes=$bytes -v mb=$max_b -v sample=$SAMPLE_NODES -v c=$((c1 - c0)) \
        -v hz="$(getconf CLK_TCK)" -v crss="$(rss_kib "${MESH_PID_OF[control-0]}")" \
        'BEGIN { printf "{\"measure\":\"%s\",\"nodes\":%d,\"seconds\":%d," \
        "\"node_core_percent_mean\":%.2f,\"node_core_percent_max\":%.2f," \
        "\"node_rss_max_mb\":%.1f,\"node_bytes_per_s_mean\":%.0f," \
        "\"node_bytes_per_s_max\":%.0f,\"control_core_percent\":%.2f," \
        "\"control_rss_mb\":%.1f}\n", l, n, s, 100 * sum / hz / s / n, \
        100 * max / hz / s, rss / 1024, bytes / s / sample, mb / s, \
        100 * c / hz / s, crss / 1024 }'
}

for i in 0 1 2; do
    mesh_install_folder "$i" examples/adinkra
    mesh_start_control "$i"
done
for ((i = 0; i < NODES; i++)); do start_node "$i"; done
wait_in_force 1 30 || mesh_fail "not every node has the first revision in force"
sleep 2
sleep "${SETTLE_S:-15}"
measure_costs rest "$REST_S"

link_start=$(link_bytes)
bytes_start=$(mean_node_bytes)
clock_start=$(mesh_now_ms)
sleep "${IDLE_S:-10}"
link_idle=$(link_bytes)
bytes_idle=$(mean_node_bytes)
clock_idle=$(mesh_now_ms)
for ((c = 0; c < CHANGES; c++)); do
    before=$(get_revision)
    submit_change
    wait_in_force $((before + 1)) 10 || mesh_fail "change $c did not converge"
    print_delays $((before + 1)) "$changed_ms" >>"$MESH_DIR/delays"
done
if [ "$CHANGES" -gt 0 ]; then
    print_summary change <"$MESH_DIR/delays"
    # The cost of the changes without the traffic of an idle mesh.
    awk -v n="$NODES" -v c="$CHANGES" -v l0="$link_start" -v l1="$link_idle" \
        -v l2="$(link_bytes)" -v b0="$bytes_start" -v b1="$bytes_idle" \
        -v b2="$(mean_node_bytes)" -v t0="$clock_start" -v t1="$clock_idle" \
        -v t2="$(mesh_now_ms)" 'BEGIN {
            lr = (l1 - l0) / (t1 - t0); br = (b1 - b0) / (t1 - t0)
            printf "{\"measure\":\"change-cost\",\"nodes\":%d," \
                "\"link_bytes_per_s_idle\":%.0f," \
                "\"link_bytes_per_change\":%.0f," \
                "\"node_bytes_per_change\":%.0f}\n", n, lr * 1000,
                (l2 - l1 - lr * (t2 - t1)) / c,
                (b2 - b1 - br * (t2 - t1)) / c }'
fi

# find_leader: prints the index of the leading control host.
find_leader() {
    local a
    for a in 0 1 2; do
        if MESH_ADMIN=$a mesh_ctl status 2>/dev/null |
            grep -q "^leader control-$a,"; then
            echo "$a"
            return
        fi
    done
}

for fault in "${FAULTS[@]}"; do
    before=$(get_revision)
    case $fault in
    leader)
        faulty_host=$(find_leader)
        # If control-0 is killed, nothing watches its folder: make later
        # changes in the folder of control-1.
        if [ "$faulty_host" = 0 ]; then
            folder="$MESH_DIR/control-1/folder"
            cp "$MESH_DIR"/control-0/folder/*.conf "$folder/"
            sleep 1
        fi
        mesh_signal KILL "control-$faulty_host"
        ;;
    relay) mesh_signal KILL node-0 ;;
    stop)
        # folder is .../control-I/folder: stop the control host after I.
        faulty_host=$(((${folder: -8:1} + 1) % 3))
        mesh_signal STOP "control-$faulty_host"
        ;;
    restart)
        killed_ms=$(mesh_now_ms)
        for name in "${nodes[@]}"; do mesh_signal KILL "$name"; done
        # The ports are free only when the processes have ended.
        for name in "${nodes[@]}"; do
            wait "${MESH_PID_OF[$name]}" 2>/dev/null || true
        done
        for ((i = 0; i < NODES; i++)); do
            : >"$MESH_DIR/node-$i.log"
            start_node "$i"
        done
        ;;
    esac
    if [ "$fault" = restart ]; then
        wait_in_force "$before" 15 ||
            mesh_fail "nodes did not catch up after their restart"
        print_delays "$before" "$killed_ms" | print_summary restart-current
    fi
    if [ "$fault" = relay ]; then
        saved=("${nodes[@]}")
        nodes=("${nodes[@]:1}")
        NODES=$((NODES - 1))
    fi
    submit_change
    wait_in_force $((before + 1)) 15 || mesh_fail "no convergence after $fault"
    print_delays $((before + 1)) "$changed_ms" | print_summary "after-$fault"
    case $fault in
    leader) mesh_start_control "$faulty_host"; sleep 3 ;;
    stop) mesh_signal CONT "control-$faulty_host"; sleep 2 ;;
    relay)
        nodes=("${saved[@]}")
        NODES=$((NODES + 1))
        start_node 0
        wait_in_force $((before + 1)) 10 ||
            mesh_fail "the node did not catch up after $fault"
        ;;
    esac
done
