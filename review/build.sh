#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs without a build step, among them the project's own
# stand-in of the platform's store (platform/soak), so this checks that the interpreter is there and can read them.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing (scripts/common.sh installs it)"; exit 1; }
python3 -B - platform/soak/standins.py platform/soak/wire.py review/lib/fleet.py review/[1-5]/case.py <<'P'
import os, sys
for path in sys.argv[1:]:
    if os.path.exists(path):
        compile(open(path, encoding="utf-8").read(), path, "exec")
P
