#!/usr/bin/env bash
# Runs clang-tidy on all source files except generated ones, with one process
# per core.
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.c' | grep -v '^generated/' |
    xargs -r -P "$(nproc)" -n 4 clang-tidy --quiet -p "$build" 2>/dev/null
echo "lint: clean"
