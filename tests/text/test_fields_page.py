"""Tests that the page with the fields of the configuration matches the models."""

from pathlib import Path

from sassafrasdale.text.fields_page import describe_scalars, format_fields

PAGE = Path(__file__).parents[2] / "docs" / "TEXT.md"


def test_page_has_the_current_reference():
    """On failure, update the page with the output of `sassafrasdale config fields`."""
    page = PAGE.read_text(encoding="utf-8")

    assert format_fields() in page
    assert describe_scalars() in page
