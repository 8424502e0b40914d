# Functions that start and stop a small mesh of real processes on loopback, for
# the demo and the benchmarks to source. Signals only processes that it has
# started, by process id.
#
# Ports of node I: base + 10 * I + {0 calls, 1 announcements, 2 RPC, 3 gossip,
# 4 admin, 5 upstream}; of control host I: control base + 10 * I + {0 RPC,
# 1 gossip, 2 admin}.

MESH_BUILD=${MESH_BUILD:-build}
MESH_DIR=${MESH_DIR:-$(mktemp -d)}
MESH_NODE_BASE=${MESH_NODE_BASE:-25000}
MESH_CONTROL_BASE=${MESH_CONTROL_BASE:-24000}
# Time from the start of baobab-load to the time from which it counts planned
# times (START_DELAY_US in load/engine.c).
MESH_LOAD_START_DELAY_MS=250
MESH_PIDS=()
declare -A MESH_PID_OF

# mesh_now_ms: prints the time in ms since the epoch.
mesh_now_ms() { date +%s%3N; }

# mesh_fail MESSAGE...: prints the message to stderr and exits with 1.
mesh_fail() {
    echo "FAILED: $*" >&2
    exit 1
}

# mesh_start NAME COMMAND...: starts a process; its output goes to NAME.out
# and NAME.log in MESH_DIR.
mesh_start() {
    local name=$1
    shift
    "$@" >>"$MESH_DIR/$name.out" 2>>"$MESH_DIR/$name.log" &
    MESH_PID_OF[$name]=$!
    MESH_PIDS+=($!)
}

# mesh_signal SIGNAL NAME...: sends a signal to processes started by
# mesh_start.
mesh_signal() {
    local signal=$1 name
    shift
    for name in "$@"; do
        kill "-$signal" "${MESH_PID_OF[$name]}" 2>/dev/null || true
    done
}

# mesh_stop_all: terminates all processes, kills them after 8 s, and waits for
# them. Signals only running children of this shell, as the id of a process
# that has ended may belong to another process by now.
mesh_stop_all() {
    local pid running live=()
    running=" $(jobs -rp | tr "\n" " ") "
    for pid in "${MESH_PIDS[@]}"; do
        [[ $running != *" $pid "* ]] || live+=("$pid")
    done
    MESH_PIDS=(${live[@]+"${live[@]}"})
    for pid in "${MESH_PIDS[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -TERM "$pid" 2>/dev/null || true
    done
    local deadline=$((SECONDS + 8))
    for pid in "${MESH_PIDS[@]}"; do
        while kill -0 "$pid" 2>/dev/null && [ $SECONDS -lt $deadline ]; do
            sleep 0.05
        done
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}

# mesh_control_list: prints the value of --control for all processes, built
# from the arrays CONTROL_ZONES and CONTROL_REGIONS.
mesh_control_list() {
    local i list=
    for i in "${!CONTROL_ZONES[@]}"; do
        list+="${list:+,}control-$i/${CONTROL_ZONES[$i]}/${CONTROL_REGIONS[$i]}"
        list+="/127.0.0.1:$((MESH_CONTROL_BASE + 10 * i))"
    done
    echo "$list"
}

# mesh_start_control I [FLAG...]: starts control host I with its own folder.
mesh_start_control() {
    local i=$1 base=$((MESH_CONTROL_BASE + 10 * $1))
    shift
    mkdir -p "$MESH_DIR/control-$i/folder" "$MESH_DIR/control-$i/data"
    mesh_start "control-$i" "$MESH_BUILD/control/baobab-control" \
        --host "control-$i" --zone "${CONTROL_ZONES[$i]}" \
        --region "${CONTROL_REGIONS[$i]}" \
        --folder "$MESH_DIR/control-$i/folder" \
        --data "$MESH_DIR/control-$i/data" \
        --control "$(mesh_control_list)" \
        --rpc "127.0.0.1:$base" --gossip "127.0.0.1:$((base + 1))" \
        --admin "127.0.0.1:$((base + 2))" --seed "$((100 + i))" "$@"
}

# mesh_start_node I ZONE REGION [FLAG...]: starts node I.
mesh_start_node() {
    local i=$1 zone=$2 region=$3 base=$((MESH_NODE_BASE + 10 * $1))
    shift 3
    mesh_start "node-$i" "$MESH_BUILD/node/baobab-node" \
        --host "node-$i" --zone "$zone" --region "$region" \
        --control "$(mesh_control_list)" \
        --listen "127.0.0.1:$base" --local "127.0.0.1:$((base + 1))" \
        --rpc "127.0.0.1:$((base + 2))" \
        --gossip "127.0.0.1:$((base + 3))" \
        --admin "127.0.0.1:$((base + 4))" --seed "$((1000 + i))" "$@"
}

# mesh_start_upstream I SERVICE [FLAG...]: starts the simulated upstream of
# node I.
mesh_start_upstream() {
    local i=$1 service=$2 base=$((MESH_NODE_BASE + 10 * $1))
    shift 2
    mesh_start "upstream-$i" "$MESH_BUILD/upstream/baobab-upstream" \
        --host "node-$i" --service "$service" \
        --listen "127.0.0.1:$((base + 5))" \
        --announce "127.0.0.1:$((base + 1))" "$@"
}

# mesh_ctl COMMAND...: runs baobabctl against control host MESH_ADMIN (default
# 0).
mesh_ctl() {
    "$MESH_BUILD/ctl/baobabctl" \
        --admin "127.0.0.1:$((MESH_CONTROL_BASE + 10 * ${MESH_ADMIN:-0} + 2))" \
        "$@"
}

# mesh_install_folder I SOURCE: copies files into the folder of control host I,
# each by a rename, so that the control host never reads a partly written file.
mesh_install_folder() {
    local target="$MESH_DIR/control-$1/folder" file
    mkdir -p "$target"
    for file in "$2"/*; do
        cp "$file" "$target/.$(basename "$file").tmp"
        mv "$target/.$(basename "$file").tmp" "$target/$(basename "$file")"
    done
}

# mesh_wait_revision REVISION NAME...: waits until each node has logged that
# the revision, or a later one, is in force. Sets MESH_LAST_MS to the time of
# the last of these log lines, in ms since the epoch. Exits with 1 after
# MESH_WAIT_S seconds (default 20).
mesh_wait_revision() {
    local revision=$1 name timestamp deadline=$((SECONDS + ${MESH_WAIT_S:-20}))
    shift
    MESH_LAST_MS=0
    for name in "$@"; do
        while :; do
            timestamp=$(awk -v want="$revision" '/configuration.in_force/ {
                for (i = 1; i <= NF; i++)
                    if ($i == "revision" && $(i + 1) + 0 >= want) {
                        print $1; exit } }' "$MESH_DIR/$name.log" 2>/dev/null)
            [ -n "$timestamp" ] && break
            [ $SECONDS -lt $deadline ] ||
                mesh_fail "revision $revision is not in force on $name"
            sleep 0.05
        done
        timestamp=$(date -d "$timestamp" +%s%3N)
        [ "$timestamp" -gt "$MESH_LAST_MS" ] && MESH_LAST_MS=$timestamp
    done
    return 0
}

# mesh_wait_listening: gives nodes that were just started the time to listen
# for announcements.
mesh_wait_listening() { sleep 0.3; }

# mesh_wait_upstreams [SECONDS]: gives all nodes the time to learn which
# upstreams are ready (default 1.5 s).
mesh_wait_upstreams() { sleep "${1:-1.5}"; }

# mesh_current_revision: prints the revision in force at control host
# MESH_ADMIN.
mesh_current_revision() {
    mesh_ctl in-force | sed -n 's/^revision \([0-9]*\),.*/\1/p'
}

# mesh_wait_rosters COUNT NAME...: waits until that many services have a roster
# of witnesses and each node has it in force. Exits with 1 after MESH_WAIT_S
# seconds (default 20).
mesh_wait_rosters() {
    local count=$1 deadline=$((SECONDS + ${MESH_WAIT_S:-20}))
    shift
    until mesh_ctl in-force 2>/dev/null | grep -q "^rosters: $count\$"; do
        [ $SECONDS -lt $deadline ] ||
            mesh_fail "the configuration in force does not have $count rosters"
        sleep 0.1
    done
    mesh_wait_revision "$(mesh_current_revision)" "$@"
}

# mesh_http_get PORT PATH: prints the body of the HTTP response from 127.0.0.1.
mesh_http_get() {
    local line
    exec 9<>"/dev/tcp/127.0.0.1/$1" || return 1
    printf 'GET %s HTTP/1.1\r\nHost: mesh\r\nConnection: close\r\n\r\n' \
        "$2" >&9
    while IFS= read -r line <&9 && [ "${line%$'\r'}" != "" ]; do :; done
    cat <&9
    exec 9<&- 9>&-
}
