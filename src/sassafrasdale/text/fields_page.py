"""Generates the reference of all fields from the JSON schema of the models."""

from collections.abc import Iterator, Mapping
from typing import Any

from sassafrasdale.text.durations import MAX_DURATION, format_duration
from sassafrasdale.text.models import NAME, TextModel

Schema = Mapping[str, Any]

_TABLE_HEADER = "| field | value | default | meaning |\n| --- | --- | --- | --- |"
_REFERENCE_PREFIX = "#/$defs/"
_ZERO_DURATION = "PT0S"
_TITLES = {
    "TextModel": "The text",
    "ZoneModel": "Availability zone",
    "ServiceModel": "Service",
    "ObjectiveModel": "Objective",
    "WeightsModel": "Weights",
    "RuleModel": "Rule",
    "EndpointPoolModel": "Endpoint pool",
    "CustomerModel": "Customer",
}


def format_fields() -> str:
    """Return a Markdown table for each model of the configuration."""
    schema = TextModel.model_json_schema()
    parts = {"TextModel": schema, **schema["$defs"]}
    tables = [
        f"### {title}\n\n{_TABLE_HEADER}\n" + "\n".join(_rows(parts[name], parts))
        for name, title in _TITLES.items()
    ]
    return "\n\n".join(tables) + "\n"


def _rows(part: Schema, parts: Mapping[str, Schema]) -> Iterator[str]:
    required = set(part["required"]) if "required" in part else set()
    for name, field in part["properties"].items():
        default = "required" if name in required else _default(field)
        kind = _kind(field, parts)
        yield f"| `{name}` | {kind} | {default} | {field['description']} |"


def _default(field: Schema) -> str:
    match field.get("default"):
        case None | []:
            return "none"
        case str(duration) if duration == _ZERO_DURATION:
            return "0"
        case dict(values):
            return ", ".join(f"`{name}: {value:g}`" for name, value in values.items())
        case bool(value):
            return str(value).lower()
        case value:
            return f"{value:g}"


def _kind(field: Schema, parts: Mapping[str, Schema]) -> str:
    match field:
        case {"$ref": reference}:
            return _referenced(reference.removeprefix(_REFERENCE_PREFIX), parts)
        case {"anyOf": options}:
            kinds = (_kind(o, parts) for o in options if o.get("type") != "null")
            return " or ".join(kinds)
        case {"type": "array", "items": items}:
            return f"list of {_kind(items, parts)}{_counts(field, 'Items')}"
        case {"type": "object", "patternProperties": values}:
            inner = _kind(next(iter(values.values())), parts)
            return f"{inner} by name{_counts(field, 'Properties')}"
        case {"type": "integer" | "number" as kind}:
            return f"{kind}{_range(field)}"
        case {"format": "duration"}:
            return "duration"
        case {"pattern": pattern} if pattern == NAME:
            return "name"
        case {"enum": values}:
            return " or ".join(f"`{value}`" for value in values)
        case {"pattern": pattern, "maxLength": max_length}:
            return f"text as `{pattern}`, at most {max_length} characters"
    return str(field["type"])


def _referenced(name: str, parts: Mapping[str, Schema]) -> str:
    if name in _TITLES:
        title = _TITLES[name]
        return f"[{title.lower()}](#{title.lower().replace(' ', '-')})"
    return " or ".join(f"`{value}`" for value in parts[name]["enum"])


def _range(field: Schema) -> str:
    bounds = []
    for key, words in (
        ("exclusiveMinimum", "above"),
        ("minimum", "from"),
        ("exclusiveMaximum", "below"),
        ("maximum", "to"),
    ):
        if key in field:
            bounds.append(f"{words} {field[key]}")
    return f", {' '.join(bounds)}" if bounds else ""


def _counts(field: Schema, what: str) -> str:
    minimum = field.get(f"min{what}", 0)
    maximum = field.get(f"max{what}")
    if maximum is None:
        return f", at least {minimum}" if minimum else ""
    return f", {minimum} to {maximum}"


def describe_scalars() -> str:
    """Return the definitions of name and duration for the tables."""
    max_duration = format_duration(MAX_DURATION)
    return (
        f"A name matches `{NAME}`. A duration is a number with one of the units us, "
        f"ms, s, m and h, such as `1.5ms`, of at most {max_duration}."
    )
