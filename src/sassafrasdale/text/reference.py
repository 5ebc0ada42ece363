"""The fields that a text may have, read off the models."""

from collections.abc import Iterator
from typing import Any, get_args, get_origin

from pydantic import BaseModel

from sassafrasdale.text.documents import Path
from sassafrasdale.text.models import TextModel


def fields_around(path: Path) -> tuple[str, ...]:
    """Return the names that could stand in the place of the last of ``path``."""
    model: type[BaseModel] | None = TextModel
    parts = iter(path[:-1])
    for part in parts:
        known = model.model_fields.get(str(part)) if model else None
        if model is None or known is None:
            return ()
        if _is_container(known.annotation):
            next(parts, None)
        model = nested_model(known.annotation)
    return tuple(model.model_fields) if model else ()


def nested_model(annotation: Any) -> type[BaseModel] | None:
    """Return the model within an annotation such as ``dict[str, Model]``."""
    return next(_models(annotation), None)


def _models(annotation: Any) -> Iterator[type[BaseModel]]:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        yield annotation
    for inner in get_args(annotation):
        yield from _models(inner)


def _is_container(annotation: Any) -> bool:
    return get_origin(annotation) in (dict, list)
