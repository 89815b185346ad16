#!/bin/sh
# Runs review/N/case.py: run-case.sh N
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:target/review:review/lib
export PYTHONPATH
exec python3 "review/$1/case.py"
