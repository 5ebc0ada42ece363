"""The commands ``sassafrasdale config ...``."""

import getpass
import re
from datetime import timedelta
from typing import Annotated
from urllib.parse import unquote
from uuid import uuid4

from cyclopts import App, Parameter

from sassafrasdale.cli.edits import Edit, EditSender
from sassafrasdale.cli.entries import Entries, SystemPacer, connect
from sassafrasdale.cli.exceptions import FaultsError, RefusedError, UsageError
from sassafrasdale.cli.exits import Exit
from sassafrasdale.cli.files import add_revision_line, read_text_file, write_text_file
from sassafrasdale.cli.tables import format_table
from sassafrasdale.text.differences import format_difference
from sassafrasdale.text.durations import parse_duration

app = App(name="config", help="Check, read and change the operators' text.")

File = Annotated[
    str, Parameter(help="A text; - is standard input.", allow_leading_hyphen=True)
]
EDIT_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")


@app.command
def check(
    file: File,
    /,
    *,
    remote: Annotated[
        bool,
        Parameter(help="Let an entry check it instead of this command.", negative=""),
    ] = False,
    entry: Entries = None,
) -> int:
    """Check a text in full without changing anything.

    Ends with 0 if it has no fault, else with 1 and every fault as
    file:line: field: message.
    """
    source = read_text_file(file)
    text = source.without_revision
    faults = connect(entry).check(text) if remote else _local_faults(text)
    if faults:
        raise FaultsError(file, faults)
    print(f"{file}: no faults")
    return Exit.OK


def _local_faults(text: str) -> tuple:
    from sassafrasdale.text.exceptions import TextError
    from sassafrasdale.text.parser import parse_text

    try:
        parse_text(text)
    except TextError as error:
        return error.faults
    return ()


@app.command
def fields() -> int:
    """Print the reference of every field of the text, as Markdown."""
    from sassafrasdale.text.fields_page import describe_scalars, format_fields

    print(describe_scalars(), format_fields(), sep="\n\n", end="")
    return Exit.OK


@app.command
def show(
    *,
    revision: Annotated[
        int | None, Parameter(help="An earlier revision instead.")
    ] = None,
    entry: Entries = None,
) -> int:
    """Print the text in force, or an earlier revision of it."""
    configuration = connect(entry).text(revision)
    if not configuration.revision:
        raise RefusedError("no text was ever accepted")
    print(configuration.text.removeprefix("\n"), end="")
    return Exit.OK


@app.command
def diff(file: File, /, *, entry: Entries = None) -> int:
    """Print how a text differs from the one in force."""
    source = read_text_file(file)
    current = connect(entry).text()
    difference = format_difference(
        current.text.removeprefix("\n"),
        source.without_revision.removeprefix("\n"),
        f"revision {current.revision}",
        file,
    )
    if difference:
        print(difference)
    return Exit.OK


@app.command
def edit(
    *, out: Annotated[str, Parameter(help="New file.")], entry: Entries = None
) -> int:
    """Write the text in force to a new file, to be edited and put.

    The first line of the file names the revision, so that `put` knows what the
    edit was made from. No editor is started.
    """
    current = connect(entry).text()
    write_text_file(out, add_revision_line(current.revision, current.text))
    print(f"{out}: revision {current.revision}; edit it, then: ")
    print(f"  sassafrasdale config check {out}")
    print(f"  sassafrasdale config put {out}")
    return Exit.OK


@app.command
def put(
    file: File,
    /,
    *,
    if_match: Annotated[
        int | None,
        Parameter(
            help="Revision that the text was made from, 0 for the first text; the "
            "file's first line if absent."
        ),
    ] = None,
    author: Annotated[
        str | None,
        Parameter(help="Who makes the edit; the user's name if absent."),
    ] = None,
    edit_id: Annotated[
        str | None, Parameter(help="Id of an earlier attempt at the same edit.")
    ] = None,
    wait: Annotated[
        str, Parameter(help="How long to try while the outcome is open.")
    ] = "30s",
    entry: Entries = None,
) -> int:
    """Put a text in force, in place of the revision that it was made from.

    Ends with 0 if it took effect, 1 if it has faults, 3 if another edit was
    accepted first, 4 if no entry was reached and 5 if it is not known whether it
    took effect. Repeating the command with the same edit id is safe.
    """
    source = read_text_file(file)
    base_revision = source.revision if if_match is None else if_match
    if base_revision is None or base_revision < 0:
        raise UsageError(
            f"{file} names no revision in its first line; give one by --if-match"
        )
    if edit_id and not EDIT_ID.fullmatch(edit_id):
        raise UsageError("--edit-id: must be 1 to 128 of A-Za-z0-9._:-")
    timeout = _duration("--wait", wait)
    change = Edit(
        name=file,
        text=source.without_revision,
        base_revision=base_revision,
        edit_id=edit_id or str(uuid4()),
        author=author or _user_name(),
    )
    revision = EditSender(connect(entry), SystemPacer(), timeout).send(change)
    print(f"revision {revision} is accepted (edit {change.edit_id})")
    return Exit.OK


def _duration(flag: str, value: str) -> timedelta:
    try:
        return parse_duration(value)
    except ValueError as error:
        raise UsageError(f"{flag}: {error}") from error


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


@app.command
def history(
    *,
    limit: Annotated[int, Parameter(help="How many to list.")] = 20,
    entry: Entries = None,
) -> int:
    """List the accepted edits, the newest first."""
    edits = connect(entry).history().edits
    newest = sorted(edits, key=lambda edit: edit.revision, reverse=True)[:limit]
    rows = [
        (
            edit.revision,
            edit.accepted_at.isoformat(timespec="seconds"),
            unquote(edit.author) or "-",
            edit.edit_id,
        )
        for edit in newest
    ]
    print(format_table(("revision", "accepted at", "author", "edit"), rows))
    return Exit.OK
