#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: Python programs, with those of the project's soak test in platform/soak.
# Nothing has to be compiled; checks that all of them can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
sys.dont_write_bytecode = True
sys.path[:0] = ["review/lib-3", "platform/soak"]
import fleet, setting, standins, wire
CHECK
for file in review/1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
