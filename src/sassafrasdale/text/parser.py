"""Parses a configuration into data classes; errors report all faults at once.

Usage::

    text = parse_text(path.read_text())
"""

from collections.abc import Iterator
from functools import lru_cache
from typing import Any

from pydantic import ValidationError

from sassafrasdale.text.checks import check_references
from sassafrasdale.text.documents import Document, Path, read_document
from sassafrasdale.text.exceptions import Fault, TextError
from sassafrasdale.text.models import TextModel
from sassafrasdale.text.reference import sibling_fields
from sassafrasdale.text.structures import Text

MAX_FAULTS = 1000


@lru_cache(maxsize=1)
def parse_text(source: str) -> Text:
    """Return the configuration in ``source``.

    The last result is cached, as an entry checks an edit before it applies it, and
    parsing blocks all other work.

    :raises TextError: if it is invalid; the error has all faults.
    """
    document = read_document(source)
    if not isinstance(document.data, dict):
        raise TextError([document.fault((), "must be a mapping of fields")])
    faults = list(document.faults)
    model = _validate(document, faults)
    faults.extend(check_references(document))
    if faults or model is None:
        raise TextError(_truncate(set(faults)))
    return model.build()


def _truncate(faults: set[Fault]) -> list[Fault]:
    listed = sorted(faults)[:MAX_FAULTS]
    omitted = len(faults) - len(listed)
    if omitted:
        listed.append(
            Fault(listed[-1].line, "", f"{omitted} more faults are not listed")
        )
    return listed


def _validate(document: Document, faults: list[Fault]) -> TextModel | None:
    try:
        return TextModel.model_validate(document.data)
    except ValidationError as error:
        faults.extend(_model_faults(document, error))
        return None


def _model_faults(document: Document, error: ValidationError) -> Iterator[Fault]:
    for detail in error.errors(include_url=False, include_context=True):
        path = _field_path(document.data, detail["loc"])
        yield document.fault(path, _message(document, detail, path))


def _field_path(data: Any, location: tuple[str | int, ...]) -> Path:
    # pydantic adds the branch of a union and markers such as [key] to a location;
    # they are no fields, so they are dropped by following the location in the data.
    path: list[str | int] = []
    for part in location:
        match data:
            case dict() if part in data:
                data = data[part]
                path.append(part)
            case list() if isinstance(part, int) and part < len(data):
                data = data[part]
                path.append(part)
            case dict() if isinstance(part, str) and part.isidentifier():
                data = None
                path.append(part)
    return tuple(path)


def _message(document: Document, detail: Any, path: Path) -> str:
    match detail["type"]:
        case "extra_forbidden":
            hint = document.hint(str(path[-1]), sibling_fields(path))
            return f"is not a known field{hint}"
        case "missing":
            return "is missing"
        case "string_pattern_mismatch":
            return f"{detail['input']!r} does not match {detail['ctx']['pattern']}"
        case "value_error":
            return str(detail["ctx"]["error"])
        case _:
            return detail["msg"].removeprefix("Input ")
