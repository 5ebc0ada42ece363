"""Tests that the page of the text's fields says what the models say."""

from pathlib import Path

from sassafrasdale.text.fields_page import describe_scalars, format_fields

PAGE = Path(__file__).parents[2] / "docs" / "TEXT.md"


def test_page_holds_the_present_reference():
    """Print the reference with `sassafrasdale config fields` to mend the page."""
    page = PAGE.read_text(encoding="utf-8")

    assert format_fields() in page
    assert describe_scalars() in page
