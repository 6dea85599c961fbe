"""Verdicts on what may be sent, by the crashes that are attributed to a subject."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

QUARANTINE_WEIGHT: Final = 2.0
"""Weight of crashes from which a subject is not sent to any upstream."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """State whether a subject may be sent."""

    wait_s: float = 0.0
    """Remaining quarantine in seconds; zero if the subject may be sent now."""
    weight: float = 0.0
    upstream_ids: tuple[str, ...] = ()
    """The upstreams whose crashes are attributed to the subject."""
    subject: str = ""
    rivals: tuple[tuple[float, frozenset[str]], ...] = ()
    """The weight of each crash, and the subjects beside this one that may have caused it instead.
    """

    @property
    def companions(self) -> frozenset[str]:
        """Return the subjects without which no request is refused because of this one."""
        sets = [rivals for _, rivals in self.rivals]
        return frozenset.intersection(*sets) if sets else frozenset()

    def applies_to(self, names: frozenset[str]) -> bool:
        """Return True if the crashes are held against a request with these subjects."""
        held = sum(weight for weight, rivals in self.rivals if rivals <= names)
        return held >= QUARANTINE_WEIGHT

    @property
    def is_poison(self) -> bool:
        """Return True if crashes are attributed to the subject, even if it may be tried again."""
        return self.weight >= QUARANTINE_WEIGHT


NO_VERDICT: Final = Verdict()
