#!/bin/sh
# Builds the stand-ins that the scripts start: Python only, on the libraries that
# the build of the deploy file has put under target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -m compileall -q -f standins review/lib
for number in 1 2 3; do
    if [ -d "review/$number" ]; then
        python3 -m compileall -q -f "review/$number"
    fi
done
PYTHONPATH=target/deps:.:review python3 -c "import lib.fleet"
