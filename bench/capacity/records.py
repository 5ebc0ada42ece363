"""Accepted edits for the measurements."""

from datetime import UTC, datetime

from sassafrasdale.coordination.texts import TextRecord

ACCEPTED_AT = datetime(2026, 1, 1, tzinfo=UTC)


def record_of(revision: int, text: str) -> TextRecord:
    """Return ``text`` as an accepted edit."""
    return TextRecord(revision, f"edit-{revision}", "bench", ACCEPTED_AT, text)
