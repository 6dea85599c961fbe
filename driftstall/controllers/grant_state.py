"""State of the open grants and of the runners of a group, as their owner keeps it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from driftstall.core import Request, Verdict
from driftstall.decisions.isolation import LONG_PREFILL_TOKENS
from driftstall.decisions.memory import ZERO_FORECAST, MemoryForecast
from driftstall.decisions.permits import Allowance, SendNeed
from driftstall.decisions.prefixes import PrefixModel
from driftstall.decisions.routing import PREFILL_TOKENS_PER_S

MIN_UNACCOUNTED_SHARE: Final = 0.1
"""Share of a runner's memory. If its report exceeds the memory of the open grants by less,
the difference is attributed to the report's lag and ignored."""


@dataclass(slots=True)
class OpenGrant:
    """An open grant and the progress of its generation."""

    entry: str
    request: Request
    verdict: Verdict
    runner_id: str
    since: float
    cached_tokens: int
    """Prompt tokens found in the runner's prefix cache."""
    produced: int = 0
    preemptions: int = 0
    running_since: float = 0.0
    last_report_at: float = 0.0
    paused: bool = False
    reserved: float = 0.0
    """Tokens reserved from the workspace's token limit."""

    @property
    def held_tokens(self) -> int:
        """Return the memory that the generation occupies while it runs, in tokens."""
        return self.request.input_tokens + self.produced

    @property
    def long_prompt_tokens(self) -> int:
        """Return the prompt tokens of a long prefill below the first rank, otherwise zero."""
        tokens = self.request.input_tokens
        return tokens if self.verdict.rank > 0 and tokens >= LONG_PREFILL_TOKENS else 0


@dataclass(slots=True)
class RunnerState:
    """State of one runner: open grants, prefix cache model and memory forecast."""

    runner_id: str
    memory: int
    zone: str
    grants: dict[str, OpenGrant] = field(default_factory=dict)
    prefixes: PrefixModel = field(default_factory=PrefixModel)
    forecast: MemoryForecast = ZERO_FORECAST
    peak: float = 0.0
    forecast_at: float = -1e9
    pending_prefill: float = 0.0
    pending_at: float = 0.0
    first_rank: int = 0
    long_prompt_tokens: float = 0.0
    """Memory occupied by long prompts below the first rank, in tokens of input."""
    last_preemption_at: float = -1e9
    cached_tokens: float = 0.0
    """Tokens of open grants that are counted in the prefix cache as well."""
    unaccounted_tokens: float = 0.0
    """Memory in use by the runner's report beyond the open grants, in tokens."""
    per_s: float | None = None
    """Generations a second that may start there; None without a limit."""
    allowance: Allowance | None = None

    def set_rate_limit(self, per_s: float | None, now: float) -> None:
        """Set the runner's rate limit, or remove it with None."""
        self.per_s = per_s
        if per_s is None:
            self.allowance = None
        elif self.allowance is None:
            self.allowance = Allowance(now)

    def can_start(self, now: float) -> bool:
        """Return True if the runner's rate limit allows a generation to start now."""
        if self.per_s is None or self.allowance is None:
            return True
        return not self.allowance.wait_s(self.per_s, now)

    def record_start(self, rank: int, now: float) -> None:
        """Count a generation that starts now against the rate limit."""
        if self.per_s is not None and self.allowance is not None:
            self.allowance.ask(SendNeed(0.0, rank), self.per_s, now)

    def decay_pending_prefill(self, now: float) -> float:
        """Return the prefill tokens not yet computed, estimated from the time passed."""
        done = (now - self.pending_at) * PREFILL_TOKENS_PER_S
        self.pending_prefill = max(0.0, self.pending_prefill - done)
        self.pending_at = now
        return self.pending_prefill

    def add(self, grant: OpenGrant) -> None:
        """Add an open grant."""
        self.grants[grant.request.request_id] = grant
        self.first_rank += grant.verdict.rank == 0
        self.cached_tokens += grant.cached_tokens
        self.long_prompt_tokens += grant.long_prompt_tokens

    def remove(self, grant: OpenGrant) -> bool:
        """Remove a grant; return False if it is not open here."""
        if self.grants.pop(grant.request.request_id, None) is None:
            return False
        self.first_rank -= grant.verdict.rank == 0
        self.cached_tokens -= grant.cached_tokens
        self.long_prompt_tokens -= grant.long_prompt_tokens
        return True

    def apply_report(self, used: int, memory: int) -> None:
        """Update the memory in use beyond the open grants from the runner's lagging report."""
        self.memory = memory or self.memory
        known = sum(grant.held_tokens for grant in self.grants.values() if not grant.paused)
        unaccounted = max(0.0, used - known - self.pending_prefill)
        self.unaccounted_tokens = (
            unaccounted if unaccounted >= MIN_UNACCOUNTED_SHARE * self.memory else 0.0
        )
