"""The paths of the fault matrix, with their steps, faults and message types."""

from __future__ import annotations

import typing
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from driftstall.controllers import (
    claims,
    configuration,
    grant_messages,
    membership,
    placement,
    relay_messages,
)
from features.worlds import (
    claims_world,
    config_world,
    grants_world,
    membership_world,
    placement_world,
    relay_world,
)
from features.worlds.faults import Script


@dataclass(frozen=True, slots=True)
class Path:
    """A path of the fault matrix."""

    steps: tuple[str, ...]
    faults: tuple[str, ...]
    run: Callable[[Script], None]
    types: tuple[Any, Any]
    """The unions of events and of actions, as defined in the product code."""
    pairs: bool = True

    def type_names(self) -> set[str]:
        """Return the names of all events and actions in the product code."""
        return {message.__name__ for union in self.types for message in typing.get_args(union)}


PATHS: Final = {
    "relay": Path(
        relay_world.STEPS,
        relay_world.FAULTS,
        relay_world.run_relay,
        (relay_messages.RelayEvent, relay_messages.RelayAction),
    ),
    "claims": Path(
        claims_world.STEPS,
        claims_world.FAULTS,
        claims_world.run_claims,
        (claims.ClaimEvent, claims.ClaimAction),
    ),
    "configuration": Path(
        config_world.STEPS,
        config_world.FAULTS,
        config_world.run_config,
        (configuration.SubmitEvent, configuration.SubmitAction),
    ),
    "placement": Path(
        placement_world.STEPS,
        placement_world.FAULTS,
        placement_world.run_placement,
        (placement.PlacementEvent, placement.PlacementAction),
    ),
    "membership": Path(
        membership_world.STEPS,
        membership_world.FAULTS,
        membership_world.run_membership,
        (membership.MembershipEvent, membership.MembershipAction),
        pairs=False,
    ),
    "grants": Path(
        grants_world.STEPS,
        grants_world.FAULTS,
        grants_world.run_grants,
        (grant_messages.GrantEvent, grant_messages.GrantAction),
        pairs=False,
    ),
}
