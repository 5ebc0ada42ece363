"""Looks up the fields of a configuration in the models."""

from collections.abc import Iterator
from typing import Any, get_args, get_origin

from pydantic import BaseModel

from sassafrasdale.text.documents import Path
from sassafrasdale.text.models import TextModel


def sibling_fields(path: Path) -> tuple[str, ...]:
    """Return the valid names for the last part of ``path``."""
    model: type[BaseModel] | None = TextModel
    parts = iter(path[:-1])
    for part in parts:
        field = model.model_fields.get(str(part)) if model else None
        if model is None or field is None:
            return ()
        if _is_container(field.annotation):
            next(parts, None)
        model = nested_model(field.annotation)
    return tuple(model.model_fields) if model else ()


def nested_model(annotation: Any) -> type[BaseModel] | None:
    """Return the first model in an annotation such as ``dict[str, Model]``."""
    return next(_models(annotation), None)


def _models(annotation: Any) -> Iterator[type[BaseModel]]:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        yield annotation
    for inner in get_args(annotation):
        yield from _models(inner)


def _is_container(annotation: Any) -> bool:
    return get_origin(annotation) in (dict, list)
