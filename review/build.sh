#!/bin/sh
# Builds the stand-ins of the cases: the project's own emulator of the platform.
# Run it from anywhere after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -R packages/jujubebend-standin/src/jujubebend_standin target/review/
python3 -m compileall -q target/review review/lib
