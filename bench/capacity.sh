#!/usr/bin/env bash
# Measures the cost of the control plane at several mesh sizes and rewrites the
# tables of measurements and extrapolations in docs/CAPACITY.md.
#
#   bench/capacity.sh [SIZES...]       default: 8 16 32 64 128
#
# With RESULTS=FILE, uses the output of earlier runs of convergence.sh in that
# file instead of measuring.
#
# Environment: CHANGES (default 10), number of changes per mesh size; REST_S
# (15) and SETTLE_S (20), as in convergence.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(8 16 32 64 128)
lines=${RESULTS:-}
if [ -z "$lines" ]; then
    lines=$(mktemp)
    for n in "${sizes[@]}"; do
        REST_S=${REST_S:-15} SETTLE_S=${SETTLE_S:-20} \
            bench/convergence.sh "$n" "${CHANGES:-10}" 2>/dev/null |
            tee -a "$lines" >&2
    done
fi

# fit() fits a straight line to the measurements of a value by least squares,
# against the nodes per zone (nodes / 4) or all nodes. It prints slope,
# intercept, largest deviation of a measurement from the line, the value at the
# target size, and its limit.
table=$(awk -v date="$(date -u +%F)" \
    -v target_zone_nodes=75 -v target_nodes=450 '
function get(key,   m) {
    if (match($0, "\"" key "\":-?[0-9.]+")) {
        m = substr($0, RSTART, RLENGTH)
        sub(/.*:/, "", m)
        return m + 0
    }
    return 0
}
function add(name, x, y) {
    n[name]++; sx[name] += x; sy[name] += y
    sxx[name] += x * x; sxy[name] += x * y
    xs[name, n[name]] = x; ys[name, n[name]] = y
}
function fit(name, target, unit, limit,   d, a, b, i, e, worst) {
    d = n[name] * sxx[name] - sx[name] * sx[name]
    b = d == 0 ? 0 : (n[name] * sxy[name] - sx[name] * sy[name]) / d
    a = (sy[name] - b * sx[name]) / n[name]
    for (i = 1; i <= n[name]; i++) {
        e = ys[name, i] - a - b * xs[name, i]
        if (e < 0) e = -e
        if (e > worst) worst = e
    }
    printf "| %s | %.4g | %.4g | %.4g | %.4g | %s | %s |\n", name, b, a, \
        worst, a + b * target, unit, limit
}
/"measure":"rest"/ {
    nodes = get("nodes"); zone = nodes / 4
    add("node: core at rest, per zone member", zone, \
        get("node_core_percent_mean"))
    add("node: resident memory, per node of the mesh", nodes, \
        get("node_rss_max_mb"))
    add("node: control bytes at rest, per zone member", zone, \
        get("node_bytes_per_s_mean"))
    add("control host: core at rest, per node of the mesh", nodes, \
        get("control_core_percent"))
    add("control host: resident memory, per node of the mesh", nodes, \
        get("control_rss_mb"))
    rows = rows sprintf("| %d | %.2f | %.2f | %.1f | %.0f | %.2f | %.1f |", \
        nodes, get("node_core_percent_mean"), get("node_core_percent_max"), \
        get("node_rss_max_mb"), get("node_bytes_per_s_mean"), \
        get("control_core_percent"), get("control_rss_mb"))
}
/"measure":"change",/ {
    nodes = get("nodes")
    add("change in force everywhere, p99, per node of the mesh", nodes, \
        get("p99_ms"))
    rows = rows sprintf(" %d | %d |", get("p50_ms"), get("p99_ms"))
}
/"measure":"change-cost"/ {
    nodes = get("nodes")
    add("paid link: bytes per change, per node of the mesh", nodes, \
        get("link_bytes_per_change"))
    add("paid link: bytes per second at rest, per node of the mesh", nodes, \
        get("link_bytes_per_s_idle"))
    add("node: bytes per change, per zone member", nodes / 4, \
        get("node_bytes_per_change"))
    rows = rows sprintf(" %.0f | %.0f | %.0f |\n", \
        get("link_bytes_per_s_idle"), get("link_bytes_per_change"), \
        get("node_bytes_per_change"))
}
END {
    print "Measured on " date " with `bench/capacity.sh`: 4 zones, 3 control"
    print "hosts, one process each, all on one machine.\n"
    print "| nodes | node core % | highest | node MB | node B/s |" \
        " control core % | control MB | change p50 ms | p99 ms |" \
        " link B/s at rest | link B/change | node B/change |"
    print "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |" \
        " --- | --- |"
    printf "%s", rows
    print "\n| figure and what it grows with | slope | intercept |" \
        " largest deviation | at the target | unit | bound |"
    print "| --- | --- | --- | --- | --- | --- | --- |"
    fit("node: core at rest, per zone member", target_zone_nodes, \
        "% of a core", "1.5")
    fit("node: resident memory, per node of the mesh", target_nodes, \
        "MB", "128")
    fit("node: control bytes at rest, per zone member", target_zone_nodes, \
        "B/s", "15000")
    fit("node: bytes per change, per zone member", target_zone_nodes, "B", "-")
    fit("control host: core at rest, per node of the mesh", target_nodes, \
        "% of a core", "-")
    fit("control host: resident memory, per node of the mesh", target_nodes, \
        "MB", "-")
    fit("paid link: bytes per second at rest, per node of the mesh", \
        target_nodes, "B/s", "-")
    fit("paid link: bytes per change, per node of the mesh", target_nodes, \
        "B", "-")
    fit("change in force everywhere, p99, per node of the mesh", target_nodes, \
        "ms", "4000")
}' "$lines")
awk -v table="$table" '
    /<!-- measured: begin -->/ { print; print ""; print table; print ""
        skip = 1 }
    /<!-- measured: end -->/ { skip = 0 }
    !skip' docs/CAPACITY.md >docs/CAPACITY.md.new
mv docs/CAPACITY.md.new docs/CAPACITY.md
echo "docs/CAPACITY.md rewritten"
