"""Prints each translation unit of the project with a hash of it, of its project headers and of the clang-tidy rules."""

import hashlib
import json
import shlex
import subprocess
import sys
from pathlib import Path

root = Path(__file__).resolve().parents[1]
build = Path(sys.argv[1]).resolve()
rules = (root / ".clang-tidy").read_bytes()
sources_by_output = {}
for entry in json.loads((build / "compile_commands.json").read_text()):
    arguments = shlex.split(entry["command"])
    sources_by_output[arguments[arguments.index("-o") + 1]] = Path(entry["file"])

dependencies = {}
current = None
for line in subprocess.run(["ninja", "-C", str(build), "-t", "deps"], capture_output=True, text=True, check=True).stdout.splitlines():
    if line and not line.startswith(" "):
        current = line.split(":")[0]
    elif line.strip() and current:
        path = (build / line.strip()).resolve()
        if path.is_relative_to(root):
            dependencies.setdefault(current, set()).add(path)

for output, source in sorted(sources_by_output.items(), key=lambda item: str(item[1])):
    if not source.is_relative_to(root) or source.is_relative_to(build) or not source.exists():
        continue
    digest = hashlib.sha256(rules)
    for path in sorted(dependencies.get(output, set()) | {source}):
        if path.exists():
            digest.update(str(path.relative_to(root)).encode() + path.read_bytes())
    print(source, digest.hexdigest()[:32])
