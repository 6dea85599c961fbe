"""Define the central data types that all packages share."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Ran(StrEnum):
    """State whether an upstream ran a request."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    RAN = "ran"


@dataclass(frozen=True, slots=True)
class PrefixMark:
    """Identify a prefix of a prompt by its hash and its length in tokens."""

    digest: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Request:
    """Describe a generation request as the input of decisions."""

    request_id: str
    workspace: str
    kind: str
    model: str
    input_tokens: int
    max_tokens: int
    prefix: tuple[PrefixMark, ...] = ()
    """Prefixes from short to long; the last covers the whole prompt."""
    asked_at: float = 0.0
    """When the caller first sent the request, in seconds; a ticket preserves it on a retry."""
    deadline: float = float("inf")


@dataclass(frozen=True, slots=True)
class Verdict:
    """Hold the decision of the policy on one request."""

    rule: str
    line: int
    rank: int
    """Zero comes first."""
    wait_s: float
    """Maximum wait of a request for a grant, in seconds."""
    may_yield: bool
    may_refuse: bool
    share: float
    limit_tokens_per_s: float
    """Tokens a second for the workspace; zero means no limit."""
    queue_rank: int | None = None
    """Rank in the queue for engine memory; None for the same as `rank`, which engines use."""

    @property
    def waits_at_rank(self) -> int:
        """Return the rank in the queue for engine memory."""
        return self.rank if self.queue_rank is None else self.queue_rank


@dataclass(frozen=True, slots=True)
class Weights:
    """Hold the relative weights of the three measures."""

    token_gap: float = 1.0
    stall: float = 1.0
    preemptions: float = 1.0


@dataclass(frozen=True, slots=True)
class Problem:
    """Describe why a request gets no complete response (RFC 9457 problem details)."""

    code: str
    status: int
    detail: str
    ran: Ran
    retry_after_s: float | None = None
    ticket: str | None = None


@dataclass(frozen=True, slots=True)
class Runner:
    """Describe one upstream: a model engine or a plain service."""

    runner_id: str
    address: str
    zone: str
    model: str
    """The served model, or empty for a plain service."""
    service: str = ""
    """The plain service's name, or empty for a model engine."""
    memory_tokens: int = 0
    checks_fences: bool = True
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Instance:
    """Describe one instance that callers can connect to."""

    instance_id: str
    address: str
    """The address for callers, as IP and port."""
    peer_address: str
    zone: str
    leaving: bool = False
    link_mbps: int = 0
    """Bandwidth of its machine's link; zero if it is unknown."""
