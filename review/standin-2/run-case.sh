#!/bin/sh
# Runs the case in the folder $1. TROUBLE=0 leaves the disruption out.
# KEEP_LOGS=FOLDER keeps the logs of the daemons.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
case=$(cd "$1" && pwd) || exit 2
[ -d "$root/target/deps/jujubebend_cluster" ] || {
    echo 'target/deps is missing: run the build line of deploy/system.toml' >&2
    exit 2
}
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$root/target/deps:$root/review/standin-2"
# A case that cannot be loaded would exit with 1, as one that finds something.
python3 -c 'import runpy, sys; runpy.run_path(sys.argv[1])' "$case/case.py" ||
    exit 2
exec python3 "$case/case.py"
