"""Prompts of fake callers, and the parts under which fake engines crash."""

from __future__ import annotations

import itertools
import random
from typing import Final

RARE_PARTS: Final = {"dead": "c3", "beef": "c4"}
"""The fatal parts, and for each a part beside it that few sound prompts have."""
FATAL_PARTS: Final = tuple(RARE_PARTS)
FIRST_PARTS: Final = ("f1", "f2")
RARE_SHARE: Final = 0.03
NUMBERS: Final = itertools.count(1)


def sound_prompt(source: random.Random) -> str:
    """Return the header value of a prompt that crashes nothing."""
    rare = [source.choice([*RARE_PARTS.values()])] if source.random() < RARE_SHARE else []
    return _encode([source.choice(FIRST_PARTS), *rare])


def fatal_prompt(source: random.Random, part: str) -> str:
    """Return that of a prompt with a fatal part at any place but the last."""
    parts = [source.choice(FIRST_PARTS), RARE_PARTS[part]]
    parts.insert(source.randrange(len(parts) + 1), part)
    return _encode(parts)


def fatal_part(prompt: str) -> str:
    """Return the fatal part of a prompt; empty if it has none."""
    return next((part for part in part_ids(prompt)[:-1] if part in FATAL_PARTS), "")


def part_ids(prompt: str) -> list[str]:
    """Return the ids of a prompt's parts, in order."""
    return [piece.partition(":")[0] for piece in prompt.split(",") if piece]


def _encode(parts: list[str]) -> str:
    """Return a header value with a last part that no other prompt has."""
    return ",".join(f"{part}:200" for part in [*parts, f"{next(NUMBERS):08x}"])
