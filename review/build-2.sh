#!/bin/sh
# Build what the scripts of this review start, after the build of the deploy file: the
# stand-ins, which are Python modules. Checks that they can be imported.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/lib-2
PYTHONPATH="target/deps:.:review/lib-2" python3 -c "import harness"
