"""Prints each translation unit of the project with a key over it, the project headers it includes, and the rules."""

import hashlib
import json
import shlex
import subprocess
import sys
from pathlib import Path

root = Path(__file__).resolve().parents[1]
build = Path(sys.argv[1]).resolve()
rules = (root / ".clang-tidy").read_bytes()
units = {}
for entry in json.loads((build / "compile_commands.json").read_text()):
    words = shlex.split(entry["command"])
    units[words[words.index("-o") + 1]] = Path(entry["file"])

dependencies = {}
current = None
for line in subprocess.run(["ninja", "-C", str(build), "-t", "deps"], capture_output=True, text=True, check=True).stdout.splitlines():
    if line and not line.startswith(" "):
        current = line.split(":")[0]
    elif line.strip() and current:
        path = (build / line.strip()).resolve()
        if path.is_relative_to(root):
            dependencies.setdefault(current, set()).add(path)

for output, source in sorted(units.items(), key=lambda item: str(item[1])):
    if not source.is_relative_to(root) or source.is_relative_to(build) or not source.exists():
        continue
    digest = hashlib.sha256(rules)
    for path in sorted(dependencies.get(output, set()) | {source}):
        if path.exists():
            digest.update(str(path.relative_to(root)).encode() + path.read_bytes())
    print(source, digest.hexdigest()[:32])
