"""Rewrite of the submitted policy to the platform's store after the store has lost it."""

from __future__ import annotations

from typing import Protocol

from driftstall.const import PREFIX_CONFIGURATION
from driftstall.gateway.model import PolicyText
from driftstall.gateway.sources import PolicySource
from driftstall.helpers.log import log_event


class StoredPolicyAccess(Protocol):
    """Access to the stored policy; each call may raise PlatformUnavailable."""

    def read(self) -> PolicyText | None:
        """Return the stored policy; None if there is none."""

    def write(self, text: str, instead_of: PolicyText | None) -> bool:
        """Store a policy if the expected one is still stored; return whether it was stored."""


class PolicyPersistence:
    """Compares the policy in force with the stored policy after the store was restored."""

    def __init__(self, policies: PolicySource, access: StoredPolicyAccess) -> None:
        """Initialize with the policy in force and the access to the store."""
        self._policies = policies
        self._access = access

    def rewrite_if_lost(self) -> None:
        """Write the policy in force if the store lacks it or holds a superseded one.

        A stored policy that is unknown here was submitted after the restore, and takes precedence.
        """
        in_force = self._policies.submitted
        if in_force is None:
            return
        stored = self._access.read()
        if stored is not None and not self._policies.is_superseded(stored):
            return
        is_written = self._access.write(in_force.text, stored)
        log_event(
            PREFIX_CONFIGURATION,
            "The policy in force was rewritten to the store"
            if is_written
            else "The policy in force was not rewritten: another one was stored first",
            revision=in_force.revision,
        )
