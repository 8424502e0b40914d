#!/usr/bin/env bash
# Runs the soak with COUNT seeds from FIRST on, one after the other, and prints
# the last line of each and what was broken.
#
#   tests/soak/run-seeds.sh FIRST COUNT [flags of the soak]
#
# Exit code 0: all promises were kept, 1: some were broken.
set -euo pipefail
first=$1
count=$2
shift 2
build=${SOAK_BUILD:-build}
result=0
for ((seed = first; seed < first + count; seed++)); do
    "$build/tests/soak/soak" --programs="$build" --seed="$seed" "$@" |
        sed 1d || result=1
done
exit $result
