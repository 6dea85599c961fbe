"""Decode the JSON of the store's answers so that an undecodable value costs only its own row.

Other writers may store any JSON, and decoders reject some of it: numbers of thousands of digits,
very deep nesting. If an answer cannot be decoded as a whole, its parts are decoded one by one, and
a part that cannot be decoded is replaced by UNDECODABLE.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterator
from functools import singledispatch
from typing import Any, Final

import orjson


class Undecodable:
    """Stand in for a value that cannot be decoded; it satisfies no schema."""

    def __repr__(self) -> str:
        """Return the text for log lines."""
        return "<undecodable>"


UNDECODABLE: Final = Undecodable()
SPLIT_LEVELS: Final = 5
"""Levels at which an answer is split: the answer, its rows, a row, a changed object, and its
metadata or spec. A row whose spec cannot be decoded keeps its name."""
MAX_DEPTH: Final = 64
"""Nesting of a value that is encoded; encoders give up at a few hundred levels."""
STRING: Final = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)
TOKEN: Final = re.compile(STRING.pattern + rb"|[\[{]+|[\]}]+|[,\"]", re.DOTALL)
"""A string, a run of opening or of closing brackets, a comma, or the quote of an endless string."""
QUOTE: Final = b'"'
OPENING: Final = b"[{"
CLOSING: Final = b"]}"
TOKENS_PER_PAUSE: Final = 5_000
"""Tokens between two pauses: a few milliseconds of processor time."""


def decode_answer(raw: bytes, pause: Callable[[], None] = lambda: None) -> Any:
    """Decode an answer; raise ValueError if its outermost value is invalid.

    Invalid UTF-8 is replaced, so that one such object does not hide all others of a list. `pause`
    is called now and then while an answer is decoded in parts, which may take seconds.
    """
    return _decode(raw.strip(), SPLIT_LEVELS, pause)


def encode_value(value: Any) -> str:
    """Encode a decoded value; what no encoder or peer accepts in it becomes null."""
    try:
        return orjson.dumps(value).decode()
    except TypeError:
        return orjson.dumps(_prune(value, MAX_DEPTH)).decode()


@singledispatch
def _prune(value: Any, depth: int) -> Any:
    """Return a value without the parts that cannot be encoded."""
    try:
        orjson.dumps(value)
    except TypeError:
        return None
    return value


@_prune.register
def _(value: list, depth: int) -> Any:  # type: ignore[type-arg]
    return [_prune(item, depth - 1) for item in value] if depth else None


@_prune.register
def _(value: dict, depth: int) -> Any:  # type: ignore[type-arg]
    kept = {key: item for key, item in value.items() if _prune(key, depth) is not None}
    return {key: _prune(item, depth - 1) for key, item in kept.items()} if depth else None


def _decode(raw: bytes, levels: int, pause: Callable[[], None]) -> Any:
    """Decode a value, part by part if it cannot be decoded as a whole."""
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError:
        pass
    try:
        return json.loads(raw.decode("utf-8", "replace"))
    except (RecursionError, ValueError) as fault:
        if not levels or raw[:1] + raw[-1:] not in (b"[]", b"{}"):
            raise ValueError("the value is not JSON") from fault
    parts = _split(raw, pause)
    if raw[:1] == b"[":
        return [_decode_part(part, levels, pause) for part in parts]
    return dict(_decode_field(part, levels, pause) for part in parts)


def _decode_part(raw: bytes, levels: int, pause: Callable[[], None]) -> Any:
    """Decode a part of a value, or return UNDECODABLE."""
    try:
        return _decode(raw, levels - 1, pause)
    except ValueError:
        return UNDECODABLE


def _decode_field(raw: bytes, levels: int, pause: Callable[[], None]) -> tuple[str, Any]:
    """Decode the name and the value of an object's field."""
    name = STRING.match(raw)
    if name is None or raw[name.end() :].lstrip()[:1] != b":":
        raise ValueError("a field of an object has no name")
    value = raw[name.end() :].lstrip()[1:].strip()
    key = str(json.loads(name.group().decode("utf-8", "replace")))
    return key, _decode_part(value, levels, pause)


def _split(raw: bytes, pause: Callable[[], None]) -> Iterator[bytes]:
    """Yield the comma-separated parts of an array or an object; raise ValueError if unbalanced."""
    depth = 0
    start = 1
    for number, token in enumerate(TOKEN.finditer(raw), start=1):
        kind = raw[token.start() : token.start() + 1]
        if kind in OPENING:
            depth += token.end() - token.start()
        elif kind in CLOSING:
            depth -= token.end() - token.start()
            if depth <= 0 and token.end() != len(raw):
                raise ValueError("the brackets do not match")
        elif kind == QUOTE and token.end() - token.start() == 1:
            raise ValueError("a string has no end")
        elif kind == b"," and depth == 1:
            yield raw[start : token.start()].strip()
            start = token.end()
        if number % TOKENS_PER_PAUSE == 0:
            pause()
    if depth:
        raise ValueError("the brackets do not match")
    last = raw[start:-1].strip()
    if last or start > 1:
        yield last
