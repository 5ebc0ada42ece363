"""Measure reclaims and print the tables of docs/RECLAIMS.md.

Usage::

    python -m bench.reclaims streams notices
"""

import sys
from importlib import import_module

MEASUREMENTS = ("streams", "notices")


def main(names: list[str]) -> int:
    """Run the measurements named, in order; return an exit code."""
    if not names or not set(names) <= set(MEASUREMENTS):
        print(f"usage: python -m bench.reclaims [{'|'.join(MEASUREMENTS)}] ...")
        return 2
    for name in names:
        import_module(f"bench.reclaims.{name}").measure()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
