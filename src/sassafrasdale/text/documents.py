"""YAML documents as plain data that remembers on which line each field is."""

from dataclasses import dataclass, field
from typing import Any

from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.events import (
    AliasEvent,
    CollectionEndEvent,
    CollectionStartEvent,
    NodeEvent,
)
from ruamel.yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from sassafrasdale.text.exceptions import Fault, TextError

MAX_BYTES = 512 * 1024
MAX_DEPTH = 12
MAX_NODES = 50_000
MAX_SCALAR = 1024

Path = tuple[str | int, ...]

_TYPED_TAGS = frozenset(
    f"tag:yaml.org,2002:{name}" for name in ("int", "float", "bool", "null")
)


@dataclass(slots=True)
class Document:
    """Plain data out of a YAML text.

    :param data: dicts, lists, strings, numbers, booleans and None.
    :param lines: line of each field by its path, counted from 1.
    :param faults: what was found while reading, such as duplicate keys.
    """

    data: Any = None
    lines: dict[Path, int] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)

    def line_of(self, path: Path) -> int:
        """Return the line of a field, or of the nearest field around it."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)

    def fault(self, path: Path, message: str) -> Fault:
        """Return a fault at the line of ``path``."""
        return Fault(self.line_of(path), format_path(path), message)


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
    if len(source.encode()) > MAX_BYTES:
        raise TextError([Fault(0, "", f"is longer than {MAX_BYTES} bytes")])
    try:
        _check_bounds(source)
        yaml = YAML(typ="safe", pure=True)
        root = yaml.compose(source)
    except MarkedYAMLError as error:
        raise TextError([_syntax_fault(error)]) from error
    except YAMLError as error:
        raise TextError([Fault(0, "", f"is not YAML: {error}")]) from error
    if root is None:
        raise TextError([Fault(1, "", "is empty")])
    return _Builder(yaml).build(root)


def _syntax_fault(error: MarkedYAMLError) -> Fault:
    mark = error.problem_mark or error.context_mark
    line = mark.line + 1 if mark else 0
    message = f"is not YAML: {error.problem}"
    if error.context and error.context_mark:
        message += f", {error.context} begun on line {error.context_mark.line + 1}"
    return Fault(line, "", message)


def _check_bounds(source: str) -> None:
    # Composing recurses, so deep nesting would end in a RecursionError, and
    # aliases to aliases would grow into gigabytes. Both show while the text is
    # still a stream of events, before anything is built from it.
    depth = nodes = 0
    for event in YAML(typ="safe", pure=True).parse(source):
        depth += isinstance(event, CollectionStartEvent)
        depth -= isinstance(event, CollectionEndEvent)
        nodes += isinstance(event, NodeEvent)
        if problem := _bound_problem(event, depth, nodes):
            raise TextError([Fault(event.start_mark.line + 1, "", problem)])


def _bound_problem(event: Any, depth: int, nodes: int) -> str | None:
    if isinstance(event, AliasEvent) or getattr(event, "anchor", None):
        return "anchors and aliases are not accepted"
    if isinstance(event, NodeEvent) and event.tag not in (None, "!"):
        return f"the tag {event.tag} is not accepted"
    if depth > MAX_DEPTH:
        return f"is nested deeper than {MAX_DEPTH} levels"
    if nodes > MAX_NODES:
        return f"has more than {MAX_NODES} values"
    return None


class _Builder:
    """Builds plain data from composed nodes.

    :param yaml: the reader that composed them.
    """

    def __init__(self, yaml: YAML) -> None:
        self._construct = yaml.constructor.construct_object
        self._document = Document()

    def build(self, root: Node) -> Document:
        """Return the document whose outermost node is ``root``."""
        self._document.data = self._build(root, ())
        return self._document

    def _build(self, node: Node, path: Path) -> Any:
        self._document.lines.setdefault(path, node.start_mark.line + 1)
        match node:
            case MappingNode():
                return self._build_mapping(node, path)
            case SequenceNode():
                return self._build_sequence(node, path)
            case _:
                return self._build_scalar(node, path)

    def _build_sequence(self, node: SequenceNode, path: Path) -> list[Any]:
        return [
            self._build(item, (*path, index)) for index, item in enumerate(node.value)
        ]

    def _build_mapping(self, node: MappingNode, path: Path) -> dict[str, Any]:
        mapping: dict[str, Any] = {}
        for key_node, value_node in node.value:
            line = key_node.start_mark.line + 1
            if not isinstance(key_node, ScalarNode):
                self._add_fault(line, path, "a key must be a word")
                continue
            inner = (*path, key_node.value)
            if key_node.value in mapping:
                first = self._document.lines[inner]
                self._add_fault(line, inner, f"stands twice, first on line {first}")
                continue
            self._document.lines[inner] = line
            mapping[key_node.value] = self._build(value_node, inner)
        return mapping

    def _build_scalar(self, node: ScalarNode, path: Path) -> Any:
        line = node.start_mark.line + 1
        if len(node.value) > MAX_SCALAR:
            self._add_fault(line, path, f"is longer than {MAX_SCALAR} characters")
            return None
        if node.tag in _TYPED_TAGS:
            return self._construct(node)
        return node.value

    def _add_fault(self, line: int, path: Path, message: str) -> None:
        self._document.faults.append(Fault(line, format_path(path), message))
