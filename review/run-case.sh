#!/bin/sh
# Runs review/N/case.py: run-case.sh N. Exits with 2 if the builds are missing.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:target/review:review/lib
export PYTHONPATH
python3 -c 'import harness' || {
    echo 'run the build of deploy/system.toml and review/build.sh first' >&2
    exit 2
}
exec python3 "review/$1/case.py"
