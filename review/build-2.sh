#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python on top of what the
# build line of deploy/system.toml puts into target/deps, so this compiles them
# into target/ to show that they and what they import are there.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.py review/[6-9]/*.py review/10/*.py; do
    [ -e "$source" ] || continue
    PYTHONPATH=target/deps:review/standin-2 python3 -c '
import py_compile, sys
py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)
' "$source" "target/review-2/$(echo "$source" | tr / _)c"
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/standin-2 \
    python3 -c 'import jujubebend_cluster.app, standin'
