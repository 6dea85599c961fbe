"""Write the submitted policy again where the platform's store has lost it."""

from __future__ import annotations

from typing import Protocol

from driftstall.const import PREFIX_CONFIGURATION
from driftstall.gateway.model import PolicyText
from driftstall.gateway.sources import PolicySource
from driftstall.helpers.log import log_event


class StoredPolicy(Protocol):
    """Hold what the platform keeps; each call may raise PlatformUnavailable."""

    def read(self) -> PolicyText | None:
        """Return the stored policy; None if there is none."""

    def write(self, text: str, instead_of: PolicyText | None) -> bool:
        """Store a policy, unless something else is there by now; return whether it is stored."""


class PolicyPersistence:
    """Compare the policy in force with what the store holds after its return."""

    def __init__(self, policies: PolicySource, kept: StoredPolicy) -> None:
        """Take the policy in force and the platform's access."""
        self._policies = policies
        self._kept = kept

    def rewrite_if_lost(self) -> None:
        """Write the policy in force, where the store lacks it or holds an earlier one.

        One that is not known here was submitted after the return, and counts.
        """
        held = self._policies.held
        if held is None:
            return
        stored = self._kept.read()
        if stored is not None and not self._policies.is_earlier(stored):
            return
        done = self._kept.write(held.text, stored)
        log_event(
            PREFIX_CONFIGURATION,
            "The policy in force is written again" if done else "Another policy was stored first",
            revision=held.revision,
        )
