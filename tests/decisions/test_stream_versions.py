"""Which endpoints a stream that has begun may go on at."""

from sassafrasdale.decisions.stream_versions import (
    StreamBinding,
    may_continue,
    merge_bindings,
    only_version,
)

BINDING = StreamBinding("models", "v1")


def test_a_stream_goes_on_at_the_version_that_began_it():
    assert may_continue(BINDING, "models", "v1")
    assert not may_continue(BINDING, "models", "v2")
    assert not may_continue(BINDING, "models-next", "v1")


def test_an_unknown_version_equals_no_other():
    """Guards against two endpoints of unknown versions that write one stream."""
    assert not may_continue(StreamBinding("models", ""), "models", "")
    assert not may_continue(StreamBinding("models", ""), "models", "v1")
    assert not may_continue(BINDING, "models", "")


def test_bindings_that_differ_are_known_as_none():
    assert merge_bindings(BINDING, BINDING) == BINDING
    other = StreamBinding("models", "v2")
    assert merge_bindings(BINDING, other) == StreamBinding("models", "")


def test_the_version_is_known_where_there_was_only_one():
    assert only_version({"v1"}) == "v1"
    assert only_version({"v1", "v2"}) == ""
    assert only_version(()) == ""
