"""YAML documents as plain data, with the line number of each field."""

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from difflib import get_close_matches
from functools import lru_cache
from json import dumps
from typing import Any

from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.events import (
    AliasEvent,
    DocumentEndEvent,
    DocumentStartEvent,
    MappingEndEvent,
    MappingStartEvent,
    ScalarEvent,
    SequenceEndEvent,
    SequenceStartEvent,
    StreamEndEvent,
    StreamStartEvent,
)
from ruamel.yaml.nodes import ScalarNode

from sassafrasdale.text.exceptions import Fault, TextError

MAX_BYTES = 512 * 1024
# Two copies, one for the history, must fit into a transaction of 1.5 MiB.
MAX_STORED_BYTES = 700 * 1024
MAX_DEPTH = 12
MAX_NODES = 50_000
MAX_SCALAR_LENGTH = 1024
MAX_HINTS = 50

Path = tuple[str | int, ...]

# Replaces an invalid key in a path, so that the values below it are still checked.
INVALID_KEY = "?"

_TYPED_TAGS = frozenset(
    f"tag:yaml.org,2002:{name}" for name in ("int", "float", "bool", "null")
)

# The library resolves plain scalars and converts them, without a document.
_SAFE_YAML = YAML(typ="safe", pure=True)
_RESOLVER = _SAFE_YAML.resolver
_CONSTRUCT_OBJECT = _SAFE_YAML.constructor.construct_object


@dataclass(slots=True)
class Document:
    """Plain data read from a YAML document.

    :param data: dicts, lists, strings, numbers, booleans and None.
    :param lines: line of each field by its path, counted from 1.
    :param faults: faults found while reading, such as duplicate keys.
    :param hints: number of hints requested so far.
    """

    data: Any = None
    lines: dict[Path, int] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    hints: int = 0

    def line_of(self, path: Path) -> int:
        """Return the line of a field, or of its nearest parent that has one."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)

    def fault(self, path: Path, message: str) -> Fault:
        """Return a fault at the line of ``path``."""
        return Fault(self.line_of(path), format_path(path), message)

    def hint(self, name: str, known: Collection[str]) -> str:
        """Return a hint with the known name closest to ``name``, or an empty string.

        Comparing names is slow: to reject a document with thousands of wrong ones
        would take seconds, in which the entry serves no requests. So the number of
        hints is limited.
        """
        self.hints += 1
        if self.hints > MAX_HINTS:
            return ""
        close = get_close_matches(name, known, 1)
        return f"; did you mean {close[0]}?" if close else ""


def format_path(path: Path) -> str:
    """Return ``path`` formatted as in ``services.a.pools[0].count``."""
    formatted = ""
    for part in path:
        match part:
            case int():
                formatted += f"[{part}]"
            case str():
                formatted += f".{part}" if formatted else part
    return formatted


def read_document(source: str) -> Document:
    """Return the data of a YAML document.

    :raises TextError: if it is not YAML or exceeds a limit of this module.
    """
    _check_size(source)
    # The C scanner, where it is installed, is thirty times as fast as the one in
    # Python; both produce the same events.
    yaml = YAML(typ="safe")
    try:
        return _Builder(yaml.parse(source)).build()
    except MarkedYAMLError as error:
        raise TextError([_syntax_fault(error)]) from error
    except (YAMLError, UnicodeError) as error:
        raise TextError([Fault(0, "", f"is not YAML: {error}")]) from error


def _check_size(source: str) -> None:
    if len(source.encode(errors="replace")) > MAX_BYTES:
        raise TextError([Fault(0, "", f"is longer than {MAX_BYTES} bytes")])
    # The text is stored as a JSON string, where a character outside ASCII takes up to
    # six bytes and a quote two; the store may refuse a text within the first limit.
    stored = len(dumps(source))
    if stored > MAX_STORED_BYTES:
        message = f"takes {stored} bytes as it is stored, above {MAX_STORED_BYTES}"
        raise TextError([Fault(0, "", message)])


def _syntax_fault(error: MarkedYAMLError) -> Fault:
    mark = error.problem_mark or error.context_mark
    line = mark.line + 1 if mark else 0
    message = f"is not YAML: {error.problem}"
    if error.context and error.context_mark:
        message += f", {error.context} begun on line {error.context_mark.line + 1}"
    return Fault(line, "", message)


class _Builder:
    """Builds plain data from a stream of events, within the module's limits.

    Composing nodes first would recurse as deep as the document is nested and copy
    the values of its aliases; in a stream of events both are visible before anything
    is built.

    :param events: events of one YAML document.
    """

    def __init__(self, events: Iterator[Any]) -> None:
        self._events = events
        self._nodes = 0
        self._document = Document()

    def build(self) -> Document:
        """Return the document that the events describe."""
        self._expect(StreamStartEvent)
        if not isinstance(self._next(), DocumentStartEvent):
            raise TextError([Fault(1, "", "is empty")])
        self._document.data = self._build(self._next(), ())
        self._expect(DocumentEndEvent)
        after = self._next()
        if not isinstance(after, StreamEndEvent):
            raise _error_at(after, "has more than one document")
        return self._document

    def _next(self) -> Any:
        return next(self._events)

    def _expect(self, kind: type) -> None:
        event = self._next()
        if not isinstance(event, kind):
            raise _error_at(event, "is not one YAML document")

    def _build(self, event: Any, path: Path) -> Any:
        self._check(event, len(path))
        self._document.lines.setdefault(path, _line(event))
        match event:
            case MappingStartEvent():
                return self._build_mapping(path)
            case SequenceStartEvent():
                return self._build_sequence(path)
            case _:
                return self._build_scalar(event, path)

    def _check(self, event: Any, depth: int) -> None:
        self._nodes += 1
        if isinstance(event, AliasEvent) or event.anchor:
            raise _error_at(event, "anchors and aliases are not accepted")
        if event.tag not in (None, "!"):
            raise _error_at(event, f"the tag {event.tag} is not accepted")
        if depth > MAX_DEPTH:
            raise _error_at(event, f"is nested deeper than {MAX_DEPTH} levels")
        if self._nodes > MAX_NODES:
            raise _error_at(event, f"has more than {MAX_NODES} values")

    def _build_sequence(self, path: Path) -> list[Any]:
        items: list[Any] = []
        while not isinstance(event := self._next(), SequenceEndEvent):
            items.append(self._build(event, (*path, len(items))))
        return items

    def _build_mapping(self, path: Path) -> dict[str, Any]:
        mapping: dict[str, Any] = {}
        while not isinstance(event := self._next(), MappingEndEvent):
            self._build_entry(event, mapping, path)
        return mapping

    def _build_entry(self, event: Any, mapping: dict[str, Any], path: Path) -> None:
        if not isinstance(event, ScalarEvent):
            self._add_fault(event, path, "a key must be a word")
            self._build(event, (*path, INVALID_KEY))
            self._build(self._next(), (*path, INVALID_KEY))
            return
        self._check(event, len(path))
        inner = (*path, event.value)
        value_event = self._next()
        if event.value in mapping:
            first = self._document.lines[inner]
            self._add_fault(event, inner, f"stands twice, first on line {first}")
            self._build(value_event, (*path, INVALID_KEY))
            return
        self._document.lines[inner] = _line(event)
        mapping[event.value] = self._build(value_event, inner)

    def _build_scalar(self, event: ScalarEvent, path: Path) -> Any:
        if len(event.value) > MAX_SCALAR_LENGTH:
            self._add_fault(
                event, path, f"is longer than {MAX_SCALAR_LENGTH} characters"
            )
            return None
        if event.implicit[0]:
            return _plain_value(event.value)
        return event.value

    def _add_fault(self, event: Any, path: Path, message: str) -> None:
        self._document.faults.append(Fault(_line(event), format_path(path), message))


def _line(event: Any) -> int:
    return event.start_mark.line + 1


def _error_at(event: Any, message: str) -> TextError:
    return TextError([Fault(_line(event), "", message)])


@lru_cache(maxsize=4096)
def _plain_value(scalar: str) -> Any:
    """Return the value of an unquoted scalar in YAML 1.2."""
    tag = _RESOLVER.resolve(ScalarNode, scalar, (True, False))
    if str(tag) not in _TYPED_TAGS:
        return scalar
    return _CONSTRUCT_OBJECT(ScalarNode(tag, scalar))
