#!/bin/sh
# Builds every stand-in that the scripts of cases 6 to 10 start. They are Python programs (lib-2/, the case.py of each
# case, and platform/soak/standins.py and wire.py of the project) and need no build: this checks that they can be read.
# They use only the standard library of Python 3.11, which Debian 12 has.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

files = [*pathlib.Path("lib-2").glob("*.py"), *pathlib.Path(".").glob("[0-9]*/case.py"),
         *(pathlib.Path("../platform/soak") / name for name in ("standins.py", "wire.py"))]
for file in files:
    compile(file.read_text(encoding="utf-8"), str(file), "exec")
import tomllib  # noqa: E402, F401

print(f"{len(files)} files of Python {sys.version.split()[0]} can be read")
PYTHON
