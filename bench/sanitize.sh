#!/usr/bin/env bash
# Builds and runs the unit tests with a sanitizer. Uses clang, as its thread
# sanitizer works on the kernels of the CI hosts.
#
#   bench/sanitize.sh SANITIZER BUILD_FOLDER
set -euo pipefail
sanitizer=$1
build=$2
cd "$(dirname "$0")/.."
if [ ! -f "$build/build.ninja" ]; then
    CC=clang meson setup "$build" --buildtype=debugoptimized \
        -Db_sanitize="$sanitizer" -Db_lundef=false >/dev/null
fi
ninja -C "$build" >/dev/null
export ASAN_OPTIONS=detect_leaks=1
export TSAN_OPTIONS=halt_on_error=1
# GLib is not instrumented: the sanitizers see neither the single blocks of its
# slice allocator nor the locks that pass a block from one thread to another.
export G_SLICE=always-malloc
meson test -C "$build" --no-suite system --print-errorlogs
