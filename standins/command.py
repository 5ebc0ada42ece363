"""Command line that the stand-ins share."""

import argparse
import json
import os
import sys
import threading


def argument_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that every stand-in takes.

    :param description: docstring of the module; its first line is shown.
    """
    parser = argparse.ArgumentParser(description=description.splitlines()[0])
    parser.add_argument(
        "--until-stdin-closes",
        action="store_true",
        help="end when standard input closes, and so with the process that started it",
    )
    return parser


def announce(arguments: argparse.Namespace, **addresses: str) -> None:
    """Print the bound addresses as one JSON line, for whoever started us."""
    print(json.dumps(addresses), flush=True)
    if arguments.until_stdin_closes:
        threading.Thread(target=_end_with_stdin, daemon=True).start()


def _end_with_stdin() -> None:
    sys.stdin.buffer.read()
    os._exit(0)
