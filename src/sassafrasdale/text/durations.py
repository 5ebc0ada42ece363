"""Durations as operators write them, such as ``250ms`` or ``1.5s``."""

import re
from datetime import timedelta
from typing import Annotated

from pydantic import BeforeValidator

UNITS = {
    "us": timedelta(microseconds=1),
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "m": timedelta(minutes=1),
    "h": timedelta(hours=1),
}
MAX_DURATION = timedelta(hours=24)
_PATTERN = re.compile(r"(\d{1,9}(?:\.\d{1,6})?) ?(us|ms|s|m|h)")


def parse_duration(value: object) -> timedelta:
    """Return the duration that ``value`` denotes.

    Usage::

        parse_duration("250ms")

    :raises ValueError: if it is not a number with a unit, or exceeds 24 h.
    """
    if isinstance(value, timedelta):
        return value
    match = _PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError("write a number with one of the units us, ms, s, m, h")
    duration = float(match[1]) * UNITS[match[2]]
    if duration > MAX_DURATION:
        raise ValueError("must be at most 24h")
    return duration


def format_duration(duration: timedelta) -> str:
    """Return ``duration`` in the largest unit in which it is a whole number."""
    for name, unit in reversed(UNITS.items()):
        if duration % unit == timedelta():
            return f"{duration // unit}{name}"
    raise AssertionError("a timedelta is a whole number of microseconds")


def _positive(value: object) -> timedelta:
    duration = parse_duration(value)
    if not duration:
        raise ValueError("must be above 0")
    return duration


Duration = Annotated[timedelta, BeforeValidator(parse_duration)]
PositiveDuration = Annotated[timedelta, BeforeValidator(_positive)]
