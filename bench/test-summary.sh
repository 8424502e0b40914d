#!/usr/bin/env bash
# Prints one closing line with the number of test programs of all builds that
# passed and failed, from meson's logs.
set -euo pipefail
cd "$(dirname "$0")/.."
passed=0
failed=0
for log in build/meson-logs/testlog.json build-*/meson-logs/testlog.json; do
    [ -f "$log" ] || continue
    ok=$(grep -c '"result": "OK"' "$log" || true)
    all=$(grep -c '"result": "' "$log" || true)
    passed=$((passed + ok))
    failed=$((failed + all - ok))
done
echo "$passed passed, $failed failed"
