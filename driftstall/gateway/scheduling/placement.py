"""Choose the engine and the backup engine of one stream.

A stream asks the placer of its zone, if there is one, or selects an upstream itself. It waits
a short time for a free upstream and for room in its memory: a run that is sent to a full
engine would be preempted.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from driftstall.const import PREFIX_ROUTING
from driftstall.core import Request
from driftstall.decisions.generation_times import expected_hold_s, first_event_s
from driftstall.decisions.overload import caller_max_wait_s
from driftstall.gateway.admission import AdmittedRequest
from driftstall.gateway.drain import EXPECTED_FIRST_EVENT_S, EXPECTED_TOKEN_S
from driftstall.gateway.ingress import CallerRequest
from driftstall.gateway.model import Engine, Upstream
from driftstall.gateway.runs import ReplicaRef, StreamRun
from driftstall.gateway.scheduling.queue_messages import (
    MemoryGranted,
    MemoryRefused,
    QueueAsked,
)
from driftstall.gateway.scheduling.selection import (
    TokenRequirement,
    choose_backup,
    choose_stream,
    has_room,
)
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event
from driftstall.peers.gateway_messages import PlacementAsked

WAIT_FOR_UPSTREAM_S: Final = 0.4
"""How long a stream waits for an upstream that takes requests, at most a quarter of its
latency target."""
WAIT_FOR_ROOM_SHARE: Final = 0.4
"""Share of its latency target for which a stream waits for room: sent earlier, it would be
preempted."""
ROOM_CHECK_INTERVAL_S: Final = 0.02
PLACER_RETRY_INTERVAL_S: Final = 0.1
"""Interval of room checks when another instance is the placer: it learns of freed memory
within about this time."""
MIN_BACKUP_TOKENS: Final = 120
"""Shorter expected outputs get no backup: about a second of tokens, so they end before a replica
is of use."""

MAX_GRANTS: Final = 3
"""Grants that are tried for one stream; engines named by them may have left meanwhile."""

NO_ENGINE: Final = Engine(
    slots=1,
    memory_tokens=1_000_000,
    token_bytes=0,
    link_bytes_per_s=0.0,
    can_move=False,
    can_backup=False,
    event_tokens=1,
)
"""Stand-in for a service that streams without an engine section: unlimited room."""


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold the upstream chosen for a stream."""

    upstream: Upstream
    backup: Upstream | None
    """The engine that is to keep a replica."""
    has_room: bool
    """Whether the stream is expected to fit into the engine's memory."""
    placer: str
    """The instance that made the choice."""


class PlacementChooser:
    """Choose the engines of one stream."""

    def __init__(
        self, state: GatewayState, call: CallerRequest, admitted: AdmittedRequest, request: Request
    ) -> None:
        """Initialize with the caller's request, its admission and its form for forecasts."""
        self._state = state
        self._call = call
        self._admitted = admitted
        self._request = request

    @property
    def engine(self) -> Engine:
        """Return the engine of the service, or NO_ENGINE for a service without one."""
        return self._admitted.service.engine or NO_ENGINE

    def place(
        self, avoid: frozenset[str], is_canceled: Callable[[], bool]
    ) -> StreamRun | MemoryRefused | None:
        """Choose the upstream and the backup; wait for an upstream that has room.

        Return None if no upstream takes the stream or the caller disconnects.
        """
        requirement = self._requirement()
        placement: Placement | MemoryRefused | None = None
        if self._is_queued():
            placement = self._wait_in_queue(requirement, avoid, is_canceled)
            if placement is None and (is_canceled() or self._has_given_up(requirement)):
                return None
        if placement is None:
            placement = self._wait_for_room(requirement, avoid, is_canceled)
        if placement is None or isinstance(placement, MemoryRefused):
            return placement
        run = StreamRun(self._call, self._admitted, self._request, placement.upstream)
        run.backup = placement.backup
        self._state.record_run_load(run)
        self._log_placed(run, placement)
        return run

    def create_resumed_run(
        self, run: StreamRun, replica: ReplicaRef, has_run_at: frozenset[str]
    ) -> StreamRun:
        """Return a run that resumes a stream at a replica on another upstream.

        An engine where the stream has run is not chosen as its backup: the stream could not
        resume there.
        """
        next_run = StreamRun(self._call, self._admitted, self._request, replica.upstream)
        next_run.resumed_from = replica
        next_run.last_event_id = run.last_event_id
        next_run.events = run.events
        next_run.tokens = run.tokens
        next_run.moves = run.moves + 1
        next_run.last_event_at = run.last_event_at
        requirement = TokenRequirement(
            run.held_tokens, max(0, self._expected_tokens() - run.tokens)
        )
        next_run.backup = self._choose_backup(replica.upstream, requirement, has_run_at)
        self._state.record_run_load(next_run)
        return next_run

    def _is_queued(self) -> bool:
        """Return True if the service's streams wait for memory in the fleet's queue."""
        table, service = self._state.route_table, self._admitted.service
        if table is None or service.engine is None or not table.queues(service.name):
            return False
        return bool(self._state.fleet.ready(service.name))

    def _wait_in_queue(
        self, requirement: TokenRequirement, avoid: frozenset[str], is_canceled: Callable[[], bool]
    ) -> Placement | MemoryRefused | None:
        """Wait for memory in the fleet's queue; return None if no placer grants or refuses it."""
        request_id = self._admitted.metadata.request_id
        rejected = set(avoid)
        for _ in range(MAX_GRANTS):
            asked = self._queue_request(
                requirement, frozenset(rejected | self._state.backoff.active(self._state.now()))
            )
            outcome = self._state.acquire_memory(
                asked, lambda: is_canceled() or self._is_wait_futile()
            )
            if not isinstance(outcome, MemoryGranted):
                return outcome
            upstream = self._state.fleet.find(outcome.upstream_id)
            if upstream is not None and self._state.can_start_on(upstream, frozenset()):
                backup = self._state.fleet.find(outcome.backup_id)
                return Placement(upstream, backup, True, outcome.placer)
            self._state.leave_queue(request_id, outcome.placer)
            rejected.add(outcome.upstream_id)
        return None

    def _queue_request(self, requirement: TokenRequirement, avoid: frozenset[str]) -> QueueAsked:
        """Return the question for engine memory, as of now."""
        admitted = self._admitted
        waited_s = self._state.now() - admitted.started_at
        starts_in_s = first_event_s(requirement.prompt_tokens)
        return QueueAsked(
            sender=self._state.settings.instance_id,
            request_id=admitted.metadata.request_id,
            service=admitted.service.name,
            workspace=admitted.workspace,
            rank=admitted.verdict.waits_at_rank,
            route_rank=admitted.route.rank,
            share=admitted.verdict.share,
            prompt_tokens=requirement.prompt_tokens,
            output_tokens=requirement.output_tokens,
            hold_s=expected_hold_s(requirement.prompt_tokens, requirement.output_tokens),
            zone=self._state.settings.zone,
            avoid=tuple(sorted(avoid)),
            wants_backup=self.engine.can_backup and self._wants_backup(),
            waited_s=waited_s,
            start_by_s=admitted.route.target_s - starts_in_s - waited_s,
            gives_up_s=self._remaining_wait_s() - starts_in_s,
            may_refuse=admitted.verdict.may_refuse,
            ticket=f"{admitted.workspace}/{admitted.fingerprint}" if admitted.fingerprint else "",
        )

    def _remaining_wait_s(self) -> float:
        """Return how long the stream may still wait for its first event, in seconds.

        That is until its caller gives up, its deadline, or the policy's longest wait.
        """
        admitted = self._admitted
        max_wait_s = caller_max_wait_s(admitted.route.target_s, admitted.route.gap_s)
        if admitted.verdict.may_refuse:
            max_wait_s = min(max_wait_s, admitted.verdict.wait_s)
        until = min(admitted.ends_at, admitted.started_at + max_wait_s)
        return until - self._state.now()

    def _has_given_up(self, requirement: TokenRequirement) -> bool:
        """Return True if the wait has ended: sent to a full engine, the stream would be in vain.

        A stream that may not be refused is sent as long as its caller waits.
        """
        margin_s = 0.0
        if self._admitted.verdict.may_refuse:
            margin_s = first_event_s(requirement.prompt_tokens)
        return self._remaining_wait_s() <= margin_s

    def _wait_for_room(
        self, requirement: TokenRequirement, avoid: frozenset[str], is_canceled: Callable[[], bool]
    ) -> Placement | None:
        """Choose the upstream; wait for one that takes requests and has room in its memory."""
        began = self._state.now()
        target_s = self._admitted.route.target_s
        upstream_until = began + min(WAIT_FOR_UPSTREAM_S, target_s / 4)
        room_until = began + min(self._admitted.verdict.wait_s, target_s * WAIT_FOR_ROOM_SHARE)
        own_id = self._state.settings.instance_id
        while not is_canceled():
            now = self._state.now()
            waited_enough = now >= room_until
            placement = self._choose(requirement, avoid, accepts_full=waited_enough)
            if placement is None and (now >= upstream_until or self._is_wait_futile()):
                return None
            if placement is not None and (waited_enough or placement.has_room):
                return placement
            is_remote = placement is not None and placement.placer != own_id
            self._state.fleet_changed.wait(
                PLACER_RETRY_INTERVAL_S if is_remote else ROOM_CHECK_INTERVAL_S
            )
        return None

    def _choose(
        self, requirement: TokenRequirement, avoid: frozenset[str], *, accepts_full: bool
    ) -> Placement | None:
        """Ask the zone's placer, or choose locally; return None if no upstream takes requests.

        With accepts_full, the stream is sent to the chosen upstream even if it has no room.
        """
        placement_request = PlacementAsked(
            self._state.settings.instance_id,
            self._admitted.metadata.request_id,
            self._admitted.service.name,
            requirement.prompt_tokens,
            requirement.output_tokens,
            self.engine.can_backup and self._wants_backup(),
            tuple(avoid | self._state.backoff.active(self._state.now())),
            accepts_full,
            self._state.settings.zone,
        )
        reply = self._state.request_placement(placement_request)
        upstream = self._state.fleet.find(reply.upstream_id) if reply else None
        if reply is None or upstream is None or self._state.backoff_s(upstream):
            return self._choose_locally(requirement, avoid, accepts_full=accepts_full)
        backup = self._state.fleet.find(reply.backup_id)
        return Placement(upstream, backup, reply.has_room, reply.sender)

    def _is_wait_futile(self) -> bool:
        """Return True if all upstreams are in cordoned zones or in back-off."""
        fleet, service = self._state.fleet, self._admitted.service.name
        ready = fleet.ready(service)
        is_backing_off = bool(ready) and all(self._state.backoff_s(upstream) for upstream in ready)
        return is_backing_off or fleet.is_fully_cordoned(service)

    def _choose_locally(
        self, requirement: TokenRequirement, avoid: frozenset[str], *, accepts_full: bool
    ) -> Placement | None:
        """Choose by this instance's own view of the fleet."""
        service = self._admitted.service.name
        options = self._state.options(service, avoid) or self._state.draining_options(
            service, avoid, self._expected_duration_s()
        )
        settings = self._state.settings
        gate = self._state.cold_gate
        chosen = choose_stream(
            gate.select_open(options), self.engine, requirement, settings.zone, self._state.sampler
        )
        if chosen is None:
            return None
        backup = self._choose_backup(chosen.upstream, requirement, frozenset())
        fits = has_room(chosen, self.engine, requirement)
        if fits or accepts_full:
            gate.record_send(chosen.upstream)
        return Placement(chosen.upstream, backup, fits, settings.instance_id)

    def _choose_backup(
        self, primary: Upstream, requirement: TokenRequirement, avoid: frozenset[str]
    ) -> Upstream | None:
        """Choose the backup engine; return None if the stream gets none."""
        if not self.engine.can_backup or not self._wants_backup():
            return None
        options = self._state.options(self._admitted.service.name, avoid)
        chosen = choose_backup(options, self.engine, requirement, primary, self._state.sampler)
        return chosen.upstream if chosen else None

    def _wants_backup(self) -> bool:
        """Return True if the expected output is long enough for a backup."""
        return self._expected_tokens() >= MIN_BACKUP_TOKENS

    def _requirement(self) -> TokenRequirement:
        """Forecast the tokens that the run needs."""
        return TokenRequirement(self._request.input_tokens, self._expected_tokens())

    def _expected_duration_s(self) -> float:
        """Forecast the duration of the stream, in seconds."""
        return EXPECTED_FIRST_EVENT_S + EXPECTED_TOKEN_S * self._expected_tokens()

    def _expected_tokens(self) -> int:
        """Forecast the length of the output, in tokens."""
        return self._state.expected_tokens(self._request, self._admitted.metadata.length_hint)

    def _log_placed(self, run: StreamRun, placement: Placement) -> None:
        """Log the placement of a stream, with the load that it was based on."""
        use = self._state.loads.use(run.upstream.upstream_id, self._state.now())
        log_event(
            PREFIX_ROUTING,
            f"A stream is placed on {run.upstream.upstream_id}",
            request=run.request_id,
            fingerprint=self._admitted.fingerprint,
            parts=self._admitted.subjects.parts,
            route=self._admitted.route.name,
            rule=self._admitted.verdict.rule,
            rank=self._admitted.verdict.rank,
            backup=run.backup.upstream_id if run.backup else "",
            placer=placement.placer,
            waited_ms=int((self._state.now() - self._admitted.started_at) * 1000),
            has_room=placement.has_room,
            running=use.running,
            tokens=use.tokens,
            copies=use.copies,
            prefill=use.prefill,
            load=round(self._state.memory_load(run.upstream.service), 3),
            ready=len(self._state.fleet.ready(run.upstream.service)),
            expected=self._expected_tokens(),
            max_tokens=self._request.max_tokens,
            hint=self._admitted.metadata.length_hint,
            revision=run.upstream.revision,
        )
