"""YAML documents as plain data that remembers on which line each field is."""

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
# Two copies, one for the history, must go into a transaction of 1.5 MiB.
MAX_STORED_BYTES = 700 * 1024
MAX_DEPTH = 12
MAX_NODES = 50_000
MAX_SCALAR = 1024
MAX_HINTS = 50

Path = tuple[str | int, ...]

# Stands in a path for a key that cannot be kept, so that what is below it is read.
ODD_KEY = "?"

_TYPED_TAGS = frozenset(
    f"tag:yaml.org,2002:{name}" for name in ("int", "float", "bool", "null")
)

# Words are resolved and turned into values by the library, apart from any text.
_PLAIN_YAML = YAML(typ="safe", pure=True)
_RESOLVER = _PLAIN_YAML.resolver
_CONSTRUCT = _PLAIN_YAML.constructor.construct_object


@dataclass(slots=True)
class Document:
    """Plain data out of a YAML text.

    :param data: dicts, lists, strings, numbers, booleans and None.
    :param lines: line of each field by its path, counted from 1.
    :param faults: what was found while reading, such as duplicate keys.
    :param hints: how many hints were asked for.
    """

    data: Any = None
    lines: dict[Path, int] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    hints: int = 0

    def line_of(self, path: Path) -> int:
        """Return the line of a field, or of the nearest field around it."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)

    def fault(self, path: Path, message: str) -> Fault:
        """Return a fault at the line of ``path``."""
        return Fault(self.line_of(path), format_path(path), message)

    def hint(self, name: str, known: Collection[str]) -> str:
        """Return a hint at the known name that is nearest to ``name``, if one is.

        Comparing names is slow. A text with thousands of wrong ones would take
        seconds to refuse, in which the entry answers nobody; so hints are few.
        """
        self.hints += 1
        if self.hints > MAX_HINTS:
            return ""
        close = get_close_matches(name, known, 1)
        return f"; did you mean {close[0]}?" if close else ""


def format_path(path: Path) -> str:
    """Return ``path`` as an operator reads it: ``services.a.pools[0].count``."""
    written = ""
    for part in path:
        match part:
            case int():
                written += f"[{part}]"
            case str():
                written += f".{part}" if written else part
    return written


def read_document(source: str) -> Document:
    """Return the data of a YAML text.

    :raises TextError: if it is not YAML or exceeds a bound of this module.
    """
    _check_size(source)
    # The scanner in C, where it is installed, is thirty times as fast; the one in
    # Python gives the same events.
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
    # The store keeps the text within JSON, where a letter outside ASCII takes up to
    # six bytes and a quote two; a text within the first limit may be refused there.
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
    """Builds plain data from a stream of events, within the module's bounds.

    Composing nodes first would recurse as deep as the text nests and copy what its
    aliases stand for; a stream of events shows both before anything is built.

    :param events: events of one YAML document.
    """

    def __init__(self, events: Iterator[Any]) -> None:
        self._events = events
        self._nodes = 0
        self._document = Document()

    def build(self) -> Document:
        """Return the document that the events hold."""
        self._expect(StreamStartEvent)
        if not isinstance(self._next(), DocumentStartEvent):
            raise TextError([Fault(1, "", "is empty")])
        self._document.data = self._build(self._next(), ())
        self._expect(DocumentEndEvent)
        after = self._next()
        if not isinstance(after, StreamEndEvent):
            raise _bound_error(after, "has more than one document")
        return self._document

    def _next(self) -> Any:
        return next(self._events)

    def _expect(self, kind: type) -> None:
        event = self._next()
        if not isinstance(event, kind):
            raise _bound_error(event, "is not one YAML document")

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
            raise _bound_error(event, "anchors and aliases are not accepted")
        if event.tag not in (None, "!"):
            raise _bound_error(event, f"the tag {event.tag} is not accepted")
        if depth > MAX_DEPTH:
            raise _bound_error(event, f"is nested deeper than {MAX_DEPTH} levels")
        if self._nodes > MAX_NODES:
            raise _bound_error(event, f"has more than {MAX_NODES} values")

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
            self._build(event, (*path, ODD_KEY))
            self._build(self._next(), (*path, ODD_KEY))
            return
        self._check(event, len(path))
        inner = (*path, event.value)
        value_event = self._next()
        if event.value in mapping:
            first = self._document.lines[inner]
            self._add_fault(event, inner, f"stands twice, first on line {first}")
            self._build(value_event, (*path, ODD_KEY))
            return
        self._document.lines[inner] = _line(event)
        mapping[event.value] = self._build(value_event, inner)

    def _build_scalar(self, event: ScalarEvent, path: Path) -> Any:
        if len(event.value) > MAX_SCALAR:
            self._add_fault(event, path, f"is longer than {MAX_SCALAR} characters")
            return None
        if event.implicit[0]:
            return _plain_value(event.value)
        return event.value

    def _add_fault(self, event: Any, path: Path, message: str) -> None:
        self._document.faults.append(Fault(_line(event), format_path(path), message))


def _line(event: Any) -> int:
    return event.start_mark.line + 1


def _bound_error(event: Any, message: str) -> TextError:
    return TextError([Fault(_line(event), "", message)])


@lru_cache(maxsize=4096)
def _plain_value(written: str) -> Any:
    """Return what a word without quotes stands for in YAML 1.2."""
    tag = _RESOLVER.resolve(ScalarNode, written, (True, False))
    if str(tag) not in _TYPED_TAGS:
        return written
    return _CONSTRUCT(ScalarNode(tag, written))
