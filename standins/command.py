"""Command-line options that the stand-ins share."""

import argparse
import json
import os
import sys
import threading


def argument_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that all stand-ins have.

    :param description: docstring of the module; its first line is the description.
    """
    parser = argparse.ArgumentParser(description=description.splitlines()[0])
    parser.add_argument(
        "--until-stdin-closes",
        action="store_true",
        help="end when standard input closes, and so with the process that started it",
    )
    return parser


def announce(arguments: argparse.Namespace, **addresses: str) -> None:
    """Print the bound addresses as one JSON line, for the parent process."""
    print(json.dumps(addresses), flush=True)
    if arguments.until_stdin_closes:
        threading.Thread(target=_exit_when_stdin_closes, daemon=True).start()


def _exit_when_stdin_closes() -> None:
    sys.stdin.buffer.read()
    os._exit(0)
