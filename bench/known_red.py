"""Print the tests that are known to fail, and check their list.

Usage::

    python -m bench.known_red
"""

import sys
from pathlib import Path

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


def known_red() -> list[str]:
    """Return the listed lines: test, cause and issue, separated by `` | ``."""
    if not LIST.exists():
        return []
    lines = LIST.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.strip()]


def known_red_tests() -> frozenset[str]:
    """Return the node ids of the listed tests."""
    return frozenset(line.split("|")[0].strip() for line in known_red())


def main() -> int:
    """Print the list; fail if it is longer than allowed."""
    lines = known_red()
    for line in lines:
        print(f"KNOWN RED: {line}")
    return 1 if len(lines) > MAX_KNOWN_RED else 0


if __name__ == "__main__":
    sys.exit(main())
