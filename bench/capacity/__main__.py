"""Run one capacity measurement, or several.

Usage::

    python -m bench.capacity peers
"""

import sys
from importlib import import_module

MEASUREMENTS = (
    "peers",
    "faults",
    "handovers",
    "endpoints",
    "control",
    "texts",
    "claims",
    "serving",
    "telemetry",
    "duties",
    "memory",
)


def main(names: list[str]) -> int:
    """Run the measurements named, in order; return an exit code."""
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown or not names:
        print(f"usage: python -m bench.capacity [{'|'.join(MEASUREMENTS)}] ...")
        return 2
    for name in names:
        import_module(f"bench.capacity.{name}").measure()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
