"""Define the central objects that all parts share."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Ran(StrEnum):
    """Tell whether a request was run by an upstream."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    RAN = "ran"


@dataclass(frozen=True, slots=True)
class PrefixMark:
    """Name a prompt prefix by its hash and its length in tokens."""

    digest: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Request:
    """Describe a generation request as the decisions see it."""

    request_id: str
    workspace: str
    kind: str
    model: str
    input_tokens: int
    max_tokens: int
    prefix: tuple[PrefixMark, ...] = ()
    """Prefixes from short to long; the last covers the whole prompt."""
    asked_at: float = 0.0
    """When the request was first asked, in seconds; a ticket keeps it on a return."""
    deadline: float = float("inf")


@dataclass(frozen=True, slots=True)
class Verdict:
    """Carry what the policy says of one request."""

    rule: str
    line: int
    rank: int
    """Zero comes first."""
    wait_s: float
    """The longest a request may wait for a grant, in seconds."""
    may_yield: bool
    may_refuse: bool
    share: float
    limit_tokens_per_s: float
    """Tokens a second for the workspace; zero stands for no limit."""


@dataclass(frozen=True, slots=True)
class Weights:
    """Weigh the three measures against one another."""

    token_gap: float = 1.0
    stall: float = 1.0
    preemptions: float = 1.0


@dataclass(frozen=True, slots=True)
class Problem:
    """Describe why a request gets no whole answer (RFC 9457 problem details)."""

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
    """Describe one entry instance."""

    instance_id: str
    address: str
    """The callers' address, as IP and port."""
    peer_address: str
    zone: str
    leaving: bool = False
    link_mbps: int = 0
    """Bandwidth of its machine's link; zero if it is not known."""
