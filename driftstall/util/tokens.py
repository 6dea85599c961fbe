"""Estimate prompt lengths in tokens, and hash the prefixes of a prompt."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import xxhash

CHARS_PER_TOKEN: Final = 4
TOKENS_PER_MESSAGE: Final = 4


def count_tokens(text: str) -> int:
    """Estimate the tokens of a message, including those that delimit it."""
    return len(text) // CHARS_PER_TOKEN + TOKENS_PER_MESSAGE


def prefix_marks(model: str, messages: Iterable[tuple[str, str]]) -> list[tuple[int, int]]:
    """Return the digest and the estimated tokens of each prefix of (role, text) messages."""
    hasher = xxhash.xxh3_64(model.encode())
    tokens = 0
    marks = []
    for role, text in messages:
        hasher.update(f"{role}\x00{text}\x01".encode())
        tokens += count_tokens(text)
        marks.append((hasher.intdigest(), tokens))
    return marks
