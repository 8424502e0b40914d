#!/usr/bin/env bash
# Measures the latency that two node hops add, by pairs of proxied and direct
# calls. Prints each run, then minimum, median and maximum of the added p50,
# p90 and p99 in microseconds.
#
#   bench/hop.sh [BUILD [RUNS [DURATION_MS]]]     default: build, 5, 10000
set -euo pipefail
build=${1:-build}
runs=${2:-5}
duration_ms=${3:-10000}
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    wait
    rm -rf "$work"
}
trap stop_all EXIT

"$build/upstream/baobab-upstream" --listen 127.0.0.1:23200 --service s \
    --slots 64 --connections 400 --announce 127.0.0.1:23212 2>"$work/u" &
pids+=($!)
"$build/tests/proxy/proxy-node" --service s --listen 127.0.0.1:23210 \
    --local 127.0.0.1:23212 2>"$work/g" &
pids+=($!)
"$build/tests/proxy/proxy-node" --service s --listen 127.0.0.1:23220 \
    --local 127.0.0.1:23222 --peers 127.0.0.1:23210 2>"$work/e" &
pids+=($!)
sleep 2
for rate in 55 800; do
    echo "rate $rate per second, $(date -u +%FT%TZ), load $(cut -d' ' -f1 /proc/loadavg)"
    : >"$work/added"
    for run in $(seq "$runs"); do
        "$build/load/baobab-load" --targets 127.0.0.1:23220 \
            --paired 127.0.0.1:23200 --workload bench/workloads/hop.json \
            --rate "$rate" --duration-ms "$duration_ms" --threads 32 \
            --seed "$run" >"$work/report"
        awk -v run="$run" '
            $1 == "wrong" || $1 == "broken" || $1 == "refused" { bad += $2 }
            $1 == "direct" { d = $3 " " $4 " " $5 }
            $1 == "proxied" { p = $3 " " $4 " " $5 }
            $1 == "added" { a = $2 " " $3 " " $4 }
            END { printf "run %d: direct %s, proxied %s, added %s, failed %d\n",
                  run, d, p, a, bad }' "$work/report"
        awk '$1 == "added" { print $2, $3, $4 }' "$work/report" >>"$work/added"
    done
    for column in 1 2 3; do
        name=$(echo p50 p90 p99 | cut -d' ' -f$column)
        cut -d' ' -f$column "$work/added" | sort -n | awk -v name="$name" '
            { v[NR] = $1 }
            END { printf "added %s: min %d, median %d, max %d us\n", name,
                  v[1], v[int((NR + 1) / 2)], v[NR] }'
    done
done
