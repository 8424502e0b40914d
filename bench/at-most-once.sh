#!/usr/bin/env bash
# Sends non-idempotent requests twice with the same idempotency key, through
# two nodes, at the same time or one after the other. Meanwhile the node of one
# gatekeeper is killed and restarted twice; after each restart, when its
# witness has lost its claims, resends keys from before the kill. Then
# compares the responses with what the upstreams ran: no key may have run
# twice, and no request with the response `ran: no` may have run. Takes at most
# 60 s with the default of 20 s of sending. Exit code 0: passed, 1: failed.
#
# Usage: bench/at-most-once.sh [BUILD [SECONDS_OF_SENDING [SEED]]]
#        default: build, 20 s, seed 11
set -euo pipefail
cd "$(dirname "$0")/.."
MESH_BUILD=${1:-build}
MESH_NODE_BASE=${MESH_NODE_BASE:-28000}
MESH_CONTROL_BASE=${MESH_CONTROL_BASE:-27000}
. bench/mesh-lib.sh
trap 'mesh_stop_all; rm -rf "$MESH_DIR"' EXIT

SENDING_S=${2:-20}
RANDOM=${3:-11}
KEYS_AT_ONCE=8
NODES=5
KILLED_NODE=2
ROUTE_TIMEOUT_MS=3000
RESPONSE_TIMEOUT_S=5
CONTROL_ZONES=(accra-1 accra-2 kumasi-1)
CONTROL_REGIONS=(accra accra kumasi)
zones=(accra-1 accra-2 kumasi-1 kumasi-2)
regions=(accra accra kumasi kumasi)
RESULTS=$MESH_DIR/results

start_node() {
    mesh_start_node "$1" "${zones[$(($1 % 4))]}" "${regions[$(($1 % 4))]}"
}

# send_request KEY ATTEMPT NODE: sends a request and appends a line to RESULTS:
# key, attempt, node, HTTP status or 0, value of Baobab-Ran or "-", reason or
# "-".
send_request() {
    local status=0 ran=- reason=- line
    if exec 8<>"/dev/tcp/127.0.0.1/$((MESH_NODE_BASE + 10 * $3))"; then
        printf '%s\r\n' "POST /orders/$1 HTTP/1.1" "Host: mesh" \
            "Idempotency-Key: $1" "X-Call-Id: $1.$2" \
            "Content-Length: 5" "Connection: close" "" >&8
        printf 'order' >&8
        while IFS= read -r -t "$RESPONSE_TIMEOUT_S" line <&8 &&
            line=${line%$'\r'} && [ -n "$line" ]; do
            case $line in
            HTTP/1.1\ *) status=${line:9:3} ;;
            [Bb]aobab-[Rr]an:*) ran=${line#*: } ;;
            [Bb]aobab-[Rr]efused:*) reason=${line#*: } ;;
            esac
        done
    fi 2>/dev/null
    echo "$1 $2 $3 $status $ran $reason" >>"$RESULTS"
}

# send_twice KEY NODE OTHER MODE: sends a key through two nodes, together or
# one after the other. Runs in a subshell.
send_twice() {
    if [ "$4" = together ]; then
        send_request "$1" 1 "$2" &
        send_request "$1" 2 "$3"
        wait
    else
        send_request "$1" 1 "$2"
        send_request "$1" 2 "$3"
    fi
}

cp -r examples/adinkra "$MESH_DIR/folder"
sed -i "s/^timeout-ms=15000\$/timeout-ms=$ROUTE_TIMEOUT_MS/" \
    "$MESH_DIR/folder/50-orders.conf"
for i in 0 1 2; do
    mesh_install_folder "$i" "$MESH_DIR/folder"
    mesh_start_control "$i"
done
names=()
for ((i = 0; i < NODES; i++)); do
    start_node "$i"
    names+=("node-$i")
done
mesh_wait_listening
for ((i = 0; i < NODES; i++)); do
    mesh_start_upstream "$i" orderbook --service-us 20000
done
mesh_wait_rosters 1 "${names[@]}"
mesh_ctl in-force | sed -n '/^rosters:/,/^$/p'

: >"$RESULTS"
begin_ms=$(mesh_now_ms)
kills=0
is_down=0
keys=0
keys_before=0
resent=0
while :; do
    elapsed_ms=$(($(mesh_now_ms) - begin_ms))
    [ $elapsed_ms -lt $((SENDING_S * 1000)) ] || break
    # Kill the node in the second and fourth fifth of the time and restart it
    # one tenth later, before its peers have declared it dead.
    fifth=$((elapsed_ms * 5 / (SENDING_S * 1000)))
    tenth=$((elapsed_ms * 10 / (SENDING_S * 1000)))
    pids=()
    for ((i = 0; i < KEYS_AT_ONCE; i++)); do
        node=$((RANDOM % NODES))
        other=$(((node + 1 + RANDOM % (NODES - 1)) % NODES))
        # 0: resend a key from before the last kill; 1 and 3: send a new key
        # twice, one after the other; 2: send it twice together. Until the
        # first kill and while the node is down, 0 does the same as 2.
        mode=$((RANDOM % 4))
        if [ $mode = 0 ] && [ $kills -gt 0 ] && [ $is_down = 0 ]; then
            resent=$((resent + 1))
            # Attempts 1 and 2 are those of send_twice.
            send_request "key-$((RANDOM % keys_before))" $((resent + 2)) \
                "$node" &
        else
            send_twice "key-$keys" "$node" "$other" \
                "$([ $((mode % 2)) = 0 ] && echo together || echo after)" &
            keys=$((keys + 1))
        fi
        pids+=($!)
    done
    if [ $is_down = 0 ] && [ $kills -lt 2 ] &&
        [ $fifth -ge $((2 * kills + 1)) ]; then
        mesh_signal KILL "node-$KILLED_NODE"
        is_down=1
        kills=$((kills + 1))
        keys_before=$keys
    elif [ $is_down = 1 ] && [ $tenth -ge $((4 * kills - 1)) ]; then
        start_node "$KILLED_NODE"
        is_down=0
    fi
    wait "${pids[@]}"
done 2>"$MESH_DIR/shell.log" # the shell reports the killed node there

: >"$MESH_DIR/ran"
for ((i = 0; i < NODES; i++)); do
    mesh_http_get $((MESH_NODE_BASE + 10 * i + 5)) /v1/ran >"$MESH_DIR/ran-$i"
    grep -q '"dropped":0,' "$MESH_DIR/ran-$i" ||
        mesh_fail "upstream $i has dropped records"
    sed -n 's/.*"call":"\(key-[0-9]*\.[0-9]*\)".*/\1/p' "$MESH_DIR/ran-$i" \
        >>"$MESH_DIR/ran"
done

# Keys that ran twice, and requests with the response `ran: no` that ran.
sed 's/\.[0-9]*$//' "$MESH_DIR/ran" | sort | uniq -d >"$MESH_DIR/twice"
awk '$5 == "no" { print $1 "." $2 }' "$RESULTS" | sort >"$MESH_DIR/said-no"
sort -u "$MESH_DIR/ran" | comm -12 - "$MESH_DIR/said-no" >"$MESH_DIR/false-no"

count_results() { awk "$1" "$RESULTS" | wc -l; }
keys_ok=$(awk '$4 == 200 { print $1 }' "$RESULTS" | sort -u | wc -l)
ran=$(wc -l <"$MESH_DIR/ran")
twice=$(wc -l <"$MESH_DIR/twice")
false_no=$(wc -l <"$MESH_DIR/false-no")
echo "keys $keys, sendings $(wc -l <"$RESULTS")," \
    "of them $resent after a restart, kills $kills"
echo "answered 200 $(count_results '$4 == 200')," \
    "ran: no $(count_results '$5 == "no"')," \
    "ran: unknown $(count_results '$5 == "unknown"')," \
    "without answer $(count_results '$4 == 0')," \
    "others $(count_results '$4 != 200 && $4 != 0 && $5 == "-"')"
awk '$6 != "-" { print $6 }' "$RESULTS" | sort | uniq -c
echo "keys with an answer $keys_ok, runs $ran"
echo "keys that ran twice: $twice; sendings said not run that ran: $false_no"
head -n 5 "$MESH_DIR/twice" "$MESH_DIR/false-no"
[ "$kills" = 2 ] || mesh_fail "the node was killed $kills times, not twice"
# With one of five gatekeepers down, most keys still have two witnesses.
[ $((keys_ok * 2)) -ge "$keys" ] ||
    mesh_fail "most keys got no response with status 200"
[ "$twice" = 0 ] || mesh_fail "$twice keys ran twice"
[ "$false_no" = 0 ] || mesh_fail "$false_no requests with ran: no have run"
echo "At most once: passed"
