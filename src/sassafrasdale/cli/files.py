"""Configuration files of operators, and the revision that they are based on."""

import re
import sys
from dataclasses import dataclass
from pathlib import Path

from sassafrasdale.cli.exceptions import UsageError
from sassafrasdale.text.documents import MAX_BYTES

STANDARD_INPUT = "-"
_REVISION_LINE = re.compile(r"# revision (\d{1,12})")


@dataclass(frozen=True, slots=True)
class TextFile:
    """A configuration file of an operator.

    :param name: name of the file, for messages.
    :param text: its content.
    """

    name: str
    text: str

    @property
    def revision(self) -> int | None:
        """Revision given in the first line, or None."""
        match = _REVISION_LINE.fullmatch(self.text.partition("\n")[0].strip())
        return int(match[1]) if match else None

    @property
    def without_revision(self) -> str:
        """The content, with an empty first line in place of the revision.

        The line is kept, so that the line numbers of faults match the file.
        """
        if self.revision is None:
            return self.text
        return "\n" + self.text.partition("\n")[2]


def add_revision_line(revision: int, text: str) -> str:
    """Return ``text`` with a first line that gives its revision."""
    body = text.removeprefix("\n")
    return f"# revision {revision}\n{body}"


def read_text_file(name: str) -> TextFile:
    """Return the file called ``name``; ``-`` is standard input.

    :raises UsageError: if it cannot be read.
    """
    try:
        raw = _read(name)
        return TextFile(name, raw.decode())
    except OSError as error:
        raise UsageError(f"{name}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise UsageError(f"{name}: is not UTF-8 text") from error


def write_text_file(name: str, text: str) -> None:
    """Write a new file.

    :raises UsageError: if it exists or cannot be written.
    """
    try:
        with Path(name).open("x", encoding="utf-8") as file:
            file.write(text)
    except OSError as error:
        raise UsageError(f"{name}: {error.strerror}") from error


def _read(name: str) -> bytes:
    # One byte above the limit is enough for the checks to reject the file.
    if name == STANDARD_INPUT:
        return sys.stdin.buffer.read(MAX_BYTES + 1)
    with Path(name).open("rb") as file:
        return file.read(MAX_BYTES + 1)
