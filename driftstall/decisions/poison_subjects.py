"""Name what crashes may be attributed to: whole requests, and the parts of their prompts.

A request that crashes upstreams often shares with others only the part of the prompt that does so.
Each of its parts is therefore a subject of evidence, beside the request as a whole. The last part
is not: it is the request's own, or its session's.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from driftstall.util.fingerprint import fingerprint

PART_PREFIX: Final = "part-"
"""Prefix of the subjects that are prompt parts; the fingerprint of a whole request has none."""
MAX_PARTS: Final = 16
"""Maximum number of parts of one prompt that are subjects; callers choose how many they send."""
_PLAIN_ID: Final = re.compile(r"[0-9a-f]{1,32}")
"""Ids that may be used in names and paths as they are."""


@dataclass(frozen=True, slots=True)
class PoisonSubjects:
    """Name the subjects of one request."""

    request: str = ""
    """The fingerprint of the whole request; empty if it has none."""
    parts: tuple[str, ...] = ()

    @classmethod
    def from_prompt(cls, request: str, part_ids: Sequence[str]) -> PoisonSubjects:
        """Return the subjects of a request with a fingerprint and the ids of its prompt parts."""
        names = dict.fromkeys(part_subject(part_id) for part_id in part_ids[:-1][:MAX_PARTS])
        return cls(request, tuple(names))

    @property
    def all(self) -> tuple[str, ...]:
        """Return all subjects, the whole request first."""
        return (self.request, *self.parts) if self.request else self.parts


def part_subject(part_id: str) -> str:
    """Return the subject of a prompt part; an id that callers made up freely is hashed."""
    plain = part_id.lower()
    if not _PLAIN_ID.fullmatch(plain):
        plain = fingerprint(part_id.encode())
    return f"{PART_PREFIX}{plain}"


def is_part(subject: str) -> bool:
    """Return True if a subject is a prompt part, False if it is a whole request."""
    return subject.startswith(PART_PREFIX)
