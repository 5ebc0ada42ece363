"""Fixtures shared by the tests of the command line."""

import re
import socket
import sys
from contextlib import ExitStack
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import pytest

from sassafrasdale.cli import config
from sassafrasdale.cli.main import main
from tests.cli.scripted import ScriptedEntry, serve

EXAMPLES = Path(__file__).parents[2] / "examples"


@dataclass(frozen=True)
class Result:
    """Exit code and output of a command."""

    code: int
    out: str
    err: str


class FastPacer:
    """Simulated time that advances only by sleeping."""

    def __init__(self) -> None:
        self._elapsed = timedelta()

    def elapsed(self) -> timedelta:
        return self._elapsed

    def sleep(self, pause: timedelta) -> None:
        self._elapsed += pause


@pytest.fixture
def run(monkeypatch, capsys):
    """Run the command line with arguments and return its result."""
    monkeypatch.delenv("SASSAFRASDALE_ENTRY", raising=False)
    monkeypatch.setattr(config, "SystemPacer", FastPacer)
    monkeypatch.setattr(config, "_user_name", lambda: "operator")
    monkeypatch.setenv("COLUMNS", "80")

    def run(*arguments: str) -> Result:
        monkeypatch.setattr(sys, "argv", ["sassafrasdale", *arguments])
        with pytest.raises(SystemExit) as caught:
            main()
        printed = capsys.readouterr()
        out, err = (re.sub(r"[ \t]+$", "", t, flags=re.M) for t in printed)
        return Result(int(caught.value.code or 0), out, err)

    return run


@pytest.fixture
def entry():
    """Start scripted entries: ``entry(response, ...)``."""
    with ExitStack() as stack:

        def start(*responses) -> ScriptedEntry:
            return stack.enter_context(serve(ScriptedEntry(*responses)))

        yield start


@pytest.fixture
def unused_address():
    """Return an address on which no process listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{sock.getsockname()[1]}"


@pytest.fixture
def text_file(tmp_path, monkeypatch):
    """Write an example based on revision 6 to ``text.yaml``."""
    monkeypatch.chdir(tmp_path)
    example = (EXAMPLES / "authority.yaml").read_text(encoding="utf-8")
    path = tmp_path / "text.yaml"
    path.write_text(f"# revision 6\n{example}", encoding="utf-8")
    return path
