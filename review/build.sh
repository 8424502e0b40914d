#!/usr/bin/env bash
# Builds the stand-ins of the cases. All of them are Python programs without
# further libraries, so there is only to check that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "lib"); import mesh; mesh.run_lines()'
for case in [0-9]/case.py; do
    PYTHONDONTWRITEBYTECODE=1 python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case"
done
