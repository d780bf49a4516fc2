# Sourced by the run.sh of each case: starts the case's program from the root of the repository.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
folder=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/src/marigold-relay ] || { echo "target/src/marigold-relay is missing: run the build of deploy/system.toml"; exit 2; }
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
exec timeout --signal=TERM 110 python3 -B "$folder/case.py"
