"""Place streams centrally in a large fleet: one placer chooses for many instances.

The first collectors of some zones receive the load sums of all zones twice a second and act as
placers. A placer adds its own latest placements to these sums, so it knows the load of all
engines without delay. A placement for an instance of its own zone is counted until that instance
reports it, a placement for another zone for a fixed time. An instance whose placer does not
reply in time chooses by itself.
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
from driftstall.gateway.collectors import FleetRoles
from driftstall.gateway.loads import RequestLoad
from driftstall.gateway.scheduling.cold_gate import ColdGate
from driftstall.gateway.scheduling.selection import (
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
    """Request placements from the current placer, and answer such requests as the placer."""

    def __init__(
        self,
        state: GatewayState,
        *,
        roles: Callable[[], FleetRoles],
        send: Callable[[str, GatewayMessage], None],
    ) -> None:
        """Initialize with the shared state, a reader of the roles, and the send function."""
        self._state = state
        self._own_id = state.settings.instance_id
        self._roles = roles
        self._send = send
        self._placer_order = PlacerSelector()
        self._pending_placements = PendingPlacements()
        self._pending_replies: dict[str, AsyncResult] = {}
        self._cold_gate = ColdGate(state.cold, state.rng, self._cold_part, state.now)

    @property
    def cold_gate(self) -> ColdGate:
        """Return the schedule of this placer's requests to cold upstreams."""
        return self._cold_gate

    def place(self, request: PlacementAsked) -> PlacementGiven | None:
        """Return the placement of a stream; None if this instance has to choose by itself."""
        placer = self._placer_order.select(self._roles().placers, self._state.now())
        if placer is None:
            return None
        if placer == self._own_id:
            return self._choose(request)
        pending_reply = self._pending_replies[request.request_id] = AsyncResult()
        try:
            self._send(placer, request)
            placement: PlacementGiven | None = pending_reply.wait(timeout=PLACEMENT_TIMEOUT_S)
        finally:
            del self._pending_replies[request.request_id]
        if placement is None:
            self._placer_order.record_timeout(placer, self._state.now())
            log_event(
                PREFIX_ROUTING, f"No placement from {placer} in time", request=request.request_id
            )
        return placement

    def handle_placement(self, placement: PlacementGiven) -> None:
        """Handle the reply of a placer; a late one is ignored."""
        pending_reply = self._pending_replies.get(placement.request_id)
        if pending_reply is not None:
            pending_reply.set(placement)

    def handle_request(self, request: PlacementAsked) -> None:
        """Answer a placement request of another instance; no reply without a configuration."""
        placement = self._choose(request)
        if placement is not None:
            self._send(request.sender, placement)

    def handle_report(self, member: str) -> None:
        """Drop the pending placements that a member's report of its runs now covers."""
        for request_id in self._pending_placements.reported(member, self._state.now()):
            self._state.loads.remove_pending(request_id)

    def _choose(self, request: PlacementAsked) -> PlacementGiven | None:
        """Choose the engine and the backup, and count the placement as pending."""
        service = (
            self._state.route_table.service(request.service) if self._state.route_table else None
        )
        if service is None or service.engine is None:
            return None
        self._remove_expired()
        engine = service.engine
        # The placer knows the load of all engines equally well, so it compares all of them.
        sampler = Sampler(self._state.rng, cross_zone_penalty=CROSS_ZONE_STREAM_PENALTY)
        requirement = TokenRequirement(request.prompt_tokens, request.output_tokens)
        options = self._state.options(
            request.service, frozenset(request.avoid), respects_backoff=False
        )
        chosen = choose_stream(
            self._cold_gate.select_open(options), engine, requirement, request.zone, sampler
        )
        if chosen is None:
            return PlacementGiven(self._own_id, request.request_id, "", "", False)
        backup = None
        if request.wants_backup:
            backup = choose_backup(
                options, engine, requirement, chosen.upstream, self._state.sampler
            )
        placement = PlacementGiven(
            self._own_id,
            request.request_id,
            chosen.upstream.upstream_id,
            backup.upstream.upstream_id if backup else "",
            has_room(chosen, engine, requirement),
        )
        if placement.has_room or request.taken_anyway:
            self._cold_gate.record_send(chosen.upstream)
            self._add_pending(request, placement)
        return placement

    def _cold_part(self, service: str) -> ColdPart | None:
        """Return this placer's share of the sends to cold upstreams; None if unlimited."""
        rate = self._state.cold_rate(service)
        return ColdPart.of_placer(rate, len(self._roles().placers)) if rate else None

    def _add_pending(self, request: PlacementAsked, placement: PlacementGiven) -> None:
        """Count a placement for another instance until that instance reports it."""
        if request.sender == self._own_id:
            # This instance's own runs are part of its own sums as soon as they are sent.
            return
        tokens = request.prompt_tokens + int(GROWTH_SHARE * request.output_tokens)
        load = RequestLoad(
            placement.upstream_id, tokens, request.prompt_tokens, placement.backup_id
        )
        self._state.loads.set_pending(request.request_id, load)
        self._pending_placements.add(request.sender, request.request_id, self._state.now())

    def _remove_expired(self) -> None:
        """Drop pending placements that no report has covered in time."""
        for request_id in self._pending_placements.expired(self._state.now()):
            self._state.loads.remove_pending(request_id)
