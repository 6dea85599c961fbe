"""Place streams for a large fleet, or ask who does.

The first collectors of some zones hear the sums of all of them twice a second. With its own latest
choices added, the one that is asked knows at once what runs on all engines. A choice for an
instance of its zone counts until that one reports, a choice for another zone for a fixed time.
"""

from __future__ import annotations

from collections.abc import Callable

from gevent.event import AsyncResult

from driftstall.const import PREFIX_ROUTING
from driftstall.decisions.cold_starts import ColdPart
from driftstall.decisions.placers import (
    PLACEMENT_TIMEOUT_S,
    PendingPlacements,
    PlacerSelector,
)
from driftstall.gateway.cold_gate import ColdGate
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.loads import RequestLoad
from driftstall.gateway.selection import (
    CROSS_ZONE_STREAM_PENALTY,
    Sampler,
    TokenRequirement,
    choose_backup,
    choose_stream,
    has_room,
)
from driftstall.gateway.state import GROWTH_SHARE, GatewayState
from driftstall.helpers.log import log_event
from driftstall.peers.gateway_messages import GatewayMessage, PlacementAsked, PlacementGiven


class StreamPlacer:
    """Ask for places, and give them."""

    def __init__(
        self,
        state: GatewayState,
        *,
        roles: Callable[[], FleetRoles],
        send: Callable[[str, GatewayMessage], None],
    ) -> None:
        """Take the shared state, the roles as they are now, and how to send."""
        self._state = state
        self._own_id = state.settings.instance_id
        self._roles = roles
        self._send = send
        self._order = PlacerSelector()
        self._pending = PendingPlacements()
        self._waiting: dict[str, AsyncResult] = {}
        self._cold_gate = ColdGate(state.cold, state.rng, self._cold_part, state.now)

    def place(self, asked: PlacementAsked) -> PlacementGiven | None:
        """Return where a stream should run; None where this instance is to choose by itself."""
        placer = self._order.select(self._roles().placers, self._state.now())
        if placer is None:
            return None
        if placer == self._own_id:
            return self._choose(asked)
        answer = self._waiting[asked.request_id] = AsyncResult()
        try:
            self._send(placer, asked)
            given: PlacementGiven | None = answer.wait(timeout=PLACEMENT_TIMEOUT_S)
        finally:
            del self._waiting[asked.request_id]
        if given is None:
            self._order.record_timeout(placer, self._state.now())
            log_event(PREFIX_ROUTING, f"{placer} gives no place in time", request=asked.request_id)
        return given

    def handle_placement(self, given: PlacementGiven) -> None:
        """Take in an answer; one that comes late is of no use any more."""
        waiting = self._waiting.get(given.request_id)
        if waiting is not None:
            waiting.set(given)

    def handle_request(self, asked: PlacementAsked) -> None:
        """Give another instance a place; who knows no configuration yet says nothing."""
        given = self._choose(asked)
        if given is not None:
            self._send(asked.sender, given)

    def handle_report(self, member: str) -> None:
        """Learn that a member has reported all that it runs."""
        for request_id in self._pending.reported(member, self._state.now()):
            self._state.loads.remove_pending(request_id)

    def _choose(self, asked: PlacementAsked) -> PlacementGiven | None:
        """Choose the engine and where a copy is kept, and remember it."""
        service = (
            self._state.route_table.service(asked.service) if self._state.route_table else None
        )
        if service is None or service.engine is None:
            return None
        self._forget_expired()
        engine = service.engine
        # Whoever places for all knows all engines alike.
        sampler = Sampler(self._state.rng, cross_zone_penalty=CROSS_ZONE_STREAM_PENALTY)
        need = TokenRequirement(asked.prompt_tokens, asked.output_tokens)
        options = self._state.options(asked.service, frozenset(asked.avoid), heeds_backoff=False)
        chosen = choose_stream(
            self._cold_gate.select_open(options), engine, need, asked.zone, sampler
        )
        if chosen is None:
            return PlacementGiven(self._own_id, asked.request_id, "", "", False)
        backup = None
        if asked.wants_backup:
            backup = choose_backup(options, engine, need, chosen.upstream, self._state.sampler)
        given = PlacementGiven(
            self._own_id,
            asked.request_id,
            chosen.upstream.upstream_id,
            backup.upstream.upstream_id if backup else "",
            has_room(chosen, engine, need),
        )
        if given.has_room or asked.taken_anyway:
            self._cold_gate.record_send(chosen.upstream)
            self._remember(asked, given)
        return given

    def _cold_part(self, service: str) -> ColdPart | None:
        """Return how often this placer may send others to a cold upstream; None: unbounded."""
        rate = self._state.cold_rate(service)
        return ColdPart.of_placer(rate, len(self._roles().placers)) if rate else None

    def _remember(self, asked: PlacementAsked, given: PlacementGiven) -> None:
        """Count a choice for others until its instance reports it."""
        if asked.sender == self._own_id:
            # What runs from here is in the own sums as soon as it is sent.
            return
        tokens = asked.prompt_tokens + int(GROWTH_SHARE * asked.output_tokens)
        share = RequestLoad(given.upstream_id, tokens, asked.prompt_tokens, given.backup_id)
        self._state.loads.set_pending(asked.request_id, share)
        self._pending.add(asked.sender, asked.request_id, self._state.now())

    def _forget_expired(self) -> None:
        """Forget choices that nobody has reported."""
        for request_id in self._pending.expired(self._state.now()):
            self._state.loads.remove_pending(request_id)
