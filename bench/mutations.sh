#!/usr/bin/env bash
# Applies each mutation of bench/mutations.txt to a copy of the sources and
# checks that the test named there fails. Exits with 1 if a test passes, or if
# a mutation cannot be applied or built.
set -uo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$copy"
(cd "$copy" && meson setup build --buildtype=debugoptimized -Dwerror=false \
    >/dev/null &&
    ninja -C build >/dev/null)
missed=0
while IFS= read -r line; do
    case $line in '#'* | '') continue ;; esac
    file=$(sed 's/ | .*//' <<<"$line")
    change=$(sed 's/^[^ ]* | //; s/ | [^ ]* | [^|]*$//' <<<"$line")
    test=$(sed 's/ | [^|]*$//; s/.* | //' <<<"$line")
    what=${line##* | }
    cp "$copy/$file" "$copy/saved"
    perl -0pi -e "$change" "$copy/$file"
    if cmp -s "$copy/$file" "$copy/saved"; then
        echo "not applied: $file: $what"
        missed=1
        continue
    fi
    if ! ninja -C "$copy/build" "tests/$test" >"$copy/log" 2>&1; then
        echo "does not build: $file: $what"
        grep -m1 error: "$copy/log"
        missed=1
    elif timeout 120 "$copy/build/tests/$test" >/dev/null 2>&1; then
        echo "MISSED by $test: $what"
        missed=1
    else
        echo "noticed by $test: $what"
    fi
    cp "$copy/saved" "$copy/$file"
done <bench/mutations.txt
exit "$missed"
