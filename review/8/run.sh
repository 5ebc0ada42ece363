#!/bin/sh
# Run the case with its disruption, or without it where TROUBLE is 0.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
export PYTHONPATH="$root/target/deps:$root:$root/review/lib-2"
python3 -c "import harness" || exit 2
exec python3 "$here/case.py" "$here"
