"""Tests of reading YAML with the lines of its fields."""

import io
from contextlib import suppress
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from ruamel.yaml import YAML

from sassafrasdale.text.documents import _Builder, format_path, read_document
from sassafrasdale.text.exceptions import TextError

EXAMPLES = sorted((Path(__file__).parents[2] / "examples").glob("*.yaml"))


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.name)
def test_c_and_python_scanners_give_the_same_document(path):
    source = path.read_text(encoding="utf-8")

    by_c = read_document(source)
    by_python = _Builder(YAML(typ="safe", pure=True).parse(source)).build()

    assert by_c == by_python
    assert by_c.lines[("customers", "cube-labs" if "auth" in path.name else "planners")]


@pytest.mark.parametrize(
    ("scalar", "value"),
    [
        ("1", 1),
        ("-7", -7),
        ("1.5", 1.5),
        ("true", True),
        ("yes", "yes"),
        ("on", "on"),
        ("~", None),
        ("", None),
        ("2026-12-02", "2026-12-02"),
        ("12:30", "12:30"),
        ("'1'", "1"),
        ('"true"', "true"),
        ("<<", "<<"),
    ],
)
def test_scalars_are_resolved_as_in_yaml_1_2(scalar, value):
    read = read_document(f"a: {scalar}\n").data["a"]

    assert (read, type(read)) == (value, type(value))


def test_lines_are_the_lines_of_the_keys():
    document = read_document("# text\na:\n  b: 1\n  c:\n    - 1\n\n    - d: 2\n")

    assert document.line_of(("a", "c")) == 4
    assert document.line_of(("a", "c", 1, "d")) == 7
    assert document.line_of(("a", "c", 1, "missing")) == 7
    assert format_path(("a", "c", 1, "d")) == "a.c[1].d"


WORDS = st.text(st.characters(codec="utf-8", categories=("L", "N")), max_size=8)
SCALARS = st.none() | st.booleans() | st.integers() | WORDS
DATA = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(WORDS.filter(bool), inner, max_size=4)
    ),
    max_leaves=12,
)


@given(st.dictionaries(WORDS.filter(bool), DATA, max_size=4))
def test_dumped_data_is_read_back(data):
    stream = io.StringIO()
    dumper = YAML(typ="safe", pure=True)
    dumper.dump(data, stream)

    document = read_document(stream.getvalue())

    assert document.data == data
    assert not document.faults


@given(st.text(max_size=200))
def test_any_text_is_read_or_rejected(source):
    with suppress(TextError):
        read_document(source)
