#!/usr/bin/env bash
# Kills random control hosts while two operators concurrently submit different
# configurations with the same version number. Checks in the logs of all
# processes that
#   - each revision has the same content on every control host,
#   - no content was accepted as two revisions,
#   - no revision that was reported as accepted is lost at the end,
#   - no node went back to an older revision.
#
#   bench/control-kills.sh [ROUNDS] [SEED]     default: 20, 1
#
# Environment: KEEP, if set, keeps MESH_DIR.
set -euo pipefail
cd "$(dirname "$0")/.."
ROUNDS=${1:-20}
RANDOM=${2:-1}
MESH_NODE_BASE=${MESH_NODE_BASE:-29000}
MESH_CONTROL_BASE=${MESH_CONTROL_BASE:-28900}
. bench/mesh-lib.sh
trap 'mesh_stop_all; [ -n "${KEEP:-}" ] || rm -rf "$MESH_DIR"' EXIT

zones=(accra-1 accra-2 kumasi-1 kumasi-2)
regions=(accra accra kumasi kumasi)
CONTROL_ZONES=(accra-1 accra-2 kumasi-1)
CONTROL_REGIONS=(accra accra kumasi)

for i in 0 1 2; do
    mesh_install_folder "$i" examples/adinkra
    mesh_start_control "$i"
done
for i in 0 1 2 3; do
    mesh_start_node "$i" "${zones[$i]}" "${regions[$i]}"
done
mesh_wait_revision 1 node-0 node-1 node-2 node-3

# in_force I: prints the configuration in force according to control host I.
in_force() {
    timeout 2 "$MESH_BUILD/ctl/baobabctl" --json --admin \
        "127.0.0.1:$((MESH_CONTROL_BASE + 10 * $1 + 2))" in-force \
        2>/dev/null || true
}

# submit OPERATOR I ROUND: writes a configuration with a new version into the
# folder of control host I.
submit() {
    local folder="$MESH_DIR/control-$2/folder"
    sed -e "s/^version=.*/version=$(($3 + 1))/" \
        -e "1s/.*/# round $3 operator $1/" \
        examples/adinkra/00-configuration.conf >"$folder/.new"
    mv "$folder/.new" "$folder/00-configuration.conf"
}

kills=0
for ((round = 1; round <= ROUNDS; round++)); do
    a=$((RANDOM % 3))
    b=$(((a + 1 + RANDOM % 2) % 3))
    submit a "$a" "$round"
    submit b "$b" "$round"
    sleep "0.$((RANDOM % 5))$((RANDOM % 10))"
    killed_host=$((RANDOM % 3))
    mesh_signal KILL "control-$killed_host"
    wait "${MESH_PID_OF[control-$killed_host]}" 2>/dev/null || true
    kills=$((kills + 1))
    sleep "0.$((RANDOM % 6))"
    mesh_start_control "$killed_host"
    winner=
    deadline=$((SECONDS + 15))
    while [ -z "$winner" ]; do
        [ $SECONDS -lt $deadline ] ||
            mesh_fail "round $round: no configuration was accepted"
        for c in 0 1 2; do
            winner=$(in_force "$c" | grep -o "round $round operator [ab]" |
                head -n 1 || true)
            [ -z "$winner" ] || break
        done
    done
    # Both operators start the next round from the configuration in force.
    for c in 0 1 2; do submit "${winner: -1}" "$c" "$round"; done
    sleep 0.4
done
sleep 2

final=$(in_force 0 | grep -o '"revision": *[0-9]*' | head -n 1 |
    grep -o '[0-9]*$')
awk -v final="$final" -v rounds="$ROUNDS" -v kills="$kills" '
    function number_after(word,   i) {
        for (i = 1; i < NF; i++) if ($i == word) return $(i + 1) + 0
    }
    /configuration.accepted:/ {
        r = number_after("revision")
        d = $NF
        if (r in content && content[r] != d) two_contents++
        content[r] = d
        if (d in revision && revision[d] != r) twice++
        revision[d] = r
    }
    /proposal.accepted:/ {
        r = number_after("revision")
        reported[r] = 1
    }
    /configuration.in_force:/ {
        r = number_after("revision")
        if (r < last[FILENAME]) back++
        last[FILENAME] = r
    }
    END {
        for (r in reported) {
            n++
            if (!(r in content) || r + 0 > final + 0) lost++
        }
        printf "{\"rounds\":%d,\"kills\":%d,\"final_revision\":%d," \
            "\"reported_accepted\":%d,\"lost\":%d,\"two_contents\":%d," \
            "\"applied_twice\":%d,\"nodes_gone_back\":%d}\n", rounds, kills,
            final, n, lost, two_contents, twice, back
        exit lost + two_contents + twice + back > 0 || final < rounds
    }' "$MESH_DIR"/control-*.log "$MESH_DIR"/node-*.log
