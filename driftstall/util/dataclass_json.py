"""Turn data classes into JSON fields and back, by their type hints."""

from __future__ import annotations

import dataclasses
import types
import typing
from typing import Any


def to_fields(value: Any) -> Any:
    """Return a data class as plain JSON values; infinity becomes null."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {one.name: to_fields(getattr(value, one.name)) for one in dataclasses.fields(value)}
    if isinstance(value, tuple | list):
        return [to_fields(one) for one in value]
    if isinstance(value, float) and value == float("inf"):
        return None
    return value


def from_fields(hint: Any, raw: Any) -> Any:
    """Return the value of a type hint from plain JSON values."""
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        hints = typing.get_type_hints(hint)
        return hint(**{name: from_fields(hints[name], one) for name, one in raw.items()})
    origin = typing.get_origin(hint)
    if origin is tuple:
        items = typing.get_args(hint)
        if len(items) == 2 and items[1] is Ellipsis:
            return tuple(from_fields(items[0], one) for one in raw)
        return tuple(from_fields(kind, one) for kind, one in zip(items, raw, strict=True))
    if origin in (types.UnionType, typing.Union):
        if raw is None:
            return None
        inner = next(one for one in typing.get_args(hint) if one is not types.NoneType)
        return from_fields(inner, raw)
    if hint is float:
        return float("inf") if raw is None else float(raw)
    return raw
