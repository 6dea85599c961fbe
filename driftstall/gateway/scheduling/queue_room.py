"""Track the free memory of a service's engines during one pass over its queue."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from driftstall.decisions.engine_queue import QueuedRequest
from driftstall.decisions.generation_times import may_prefill
from driftstall.decisions.room_forecast import Release
from driftstall.gateway.loads import Use
from driftstall.gateway.model import Engine
from driftstall.gateway.scheduling.cold_gate import ColdGate
from driftstall.gateway.scheduling.selection import (
    CROSS_ZONE_STREAM_PENALTY,
    Option,
    Sampler,
    TokenRequirement,
    choose_stream,
    has_room,
)
from driftstall.gateway.state import GatewayState

ASSUMED_HOLD_S: Final = 3.0
"""Assumed remaining time of runs of which only the sums are known."""


class QueueRoom:
    """Track the free memory of a service's engines during one pass."""

    def __init__(self, options: list[Option], engine: Engine) -> None:
        """Initialize with the engines that take requests."""
        self.options = options
        self.engine = engine

    @property
    def upstream_ids(self) -> frozenset[str]:
        """Return the ids of the engines."""
        return frozenset(option.upstream.upstream_id for option in self.options)

    @property
    def total_tokens(self) -> int:
        """Return the memory of all engines."""
        return self.engine.memory_tokens * len(self.options)

    @property
    def used_tokens(self) -> int:
        """Return the memory of runs and replicas on all engines."""
        return sum(option.use.tokens + option.use.copies for option in self.options)

    def free_on(self, option: Option) -> int:
        """Return the free memory of one engine."""
        return self.engine.memory_tokens - option.use.tokens - option.use.copies

    def free_tokens(self, limit: float, least_tokens: int) -> int:
        """Return the memory below a fill limit, without gaps smaller than least_tokens."""
        kept = int((1.0 - limit) * self.engine.memory_tokens)
        free = [self.free_on(option) - kept for option in self.options]
        return sum(tokens for tokens in free if tokens >= least_tokens)

    def assumed_releases(self, now: float) -> tuple[Release, ...]:
        """Return the releases of engines of which only the sums are known, spread over time."""
        releases: list[Release] = []
        for option in self.options:
            runs = option.use.running
            for number in range(runs):
                at = now + ASSUMED_HOLD_S * (number + 1) / runs
                releases.append(Release(at, option.use.tokens // runs))
        return tuple(releases)

    def choose(
        self,
        request: QueuedRequest,
        limit: float,
        only: frozenset[str] | None,
        gate: ColdGate,
        state: GatewayState,
    ) -> Option | None:
        """Return the engine for a request, of those that have room up to a fill limit."""
        requirement = requirement_of(request)
        # An ejected engine is idle because it fails, so full healthy ones are no reason to use it.
        healthy = [option for option in self.options if not option.is_ejected] or self.options
        fitting = [
            option
            for option in healthy
            if option.upstream.upstream_id not in request.avoid
            and (only is None or option.upstream.upstream_id in only)
            and option.use.running < self.engine.slots
            and may_prefill(option.use.prefill, request.prompt_tokens)
            and (
                has_room(option, self.engine, requirement, limit)
                # A prompt above the limit would otherwise block the queue.
                or not (option.use.running or option.use.copies)
            )
        ]
        sampler = Sampler(state.rng, cross_zone_penalty=CROSS_ZONE_STREAM_PENALTY)
        return choose_stream(
            gate.select_open(fitting), self.engine, requirement, request.zone, sampler
        )

    def add(self, option: Option, request: QueuedRequest, backup_id: str) -> None:
        """Count a granted request on its engine, and its replica on the backup."""
        for index, known in enumerate(self.options):
            use = known.use
            if known.upstream.upstream_id == option.upstream.upstream_id:
                use = use.plus(
                    Use(use.upstream_id, 1, request.tokens, prefill=request.prompt_tokens)
                )
            elif known.upstream.upstream_id == backup_id:
                use = use.plus(Use(use.upstream_id, copies=request.tokens))
            else:
                continue
            self.options[index] = replace(known, use=use)


def requirement_of(request: QueuedRequest) -> TokenRequirement:
    """Return the tokens that a request needs."""
    return TokenRequirement(request.prompt_tokens, request.output_tokens)
