"""Convert dataclasses to JSON values and back, by their type hints."""

from __future__ import annotations

import dataclasses
import types
import typing
from typing import Any


def to_fields(value: Any) -> Any:
    """Convert a dataclass to JSON values; infinity becomes null."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: to_fields(getattr(value, field.name)) for field in dataclasses.fields(value)
        }
    if isinstance(value, tuple | list):
        return [to_fields(item) for item in value]
    if isinstance(value, float) and value == float("inf"):
        return None
    return value


def from_fields(hint: Any, raw: Any) -> Any:
    """Convert JSON values to the type of a hint; null becomes infinity where it hints a float."""
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        hints = typing.get_type_hints(hint)
        return hint(**{name: from_fields(hints[name], item) for name, item in raw.items()})
    origin = typing.get_origin(hint)
    if origin is tuple:
        items = typing.get_args(hint)
        if len(items) == 2 and items[1] is Ellipsis:
            return tuple(from_fields(items[0], item) for item in raw)
        return tuple(from_fields(kind, item) for kind, item in zip(items, raw, strict=True))
    if origin in (types.UnionType, typing.Union):
        if raw is None:
            return None
        inner = next(member for member in typing.get_args(hint) if member is not types.NoneType)
        return from_fields(inner, raw)
    if hint is float:
        return float("inf") if raw is None else float(raw)
    return raw
