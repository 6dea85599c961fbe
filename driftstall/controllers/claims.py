"""Idempotency claims of one shard: a request that may not be repeated runs at most once.

A claim is durable before the request is sent. The shard's holder groups claims into
one conditional write. A new holder first raises the shard's epoch, so that the next
write of a paused old holder fails. If the response to a write is lost, the holder reads
the object back to find out whether it took effect. A state machine without I/O: reads
and writes are actions, their results events.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field, replace
from enum import StrEnum
from functools import singledispatchmethod
from typing import Final

SHARDS: Final = 32
"""Number of shards, to which claims are assigned by the hash of their idempotency key."""
CLAIM_RETENTION_S: Final = 24 * 3600.0
"""How long a claim is kept."""
MAX_CLAIMS: Final = 3_500
"""Maximum claims in one object: at 280 bytes each it stays below the store's limit of 1 MB."""
MAX_OUTCOME_BYTES: Final = 120
"""Maximum size of a recorded body as JSON; for a longer one, only the status is recorded."""


class ClaimAnswerKind(StrEnum):
    """Possible answers to a claim."""

    GRANTED = "granted"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class Outcome:
    """The recorded response to a request."""

    status: int
    content_type: str
    body: str


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A claim as stored."""

    key: str
    fingerprint: str
    nonce: str
    """Identifies the one attempt that this claim permits to run."""
    at: float
    """Wall-clock time of the claim, in seconds; it expires after CLAIM_RETENTION_S."""
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class ShardObject:
    """A shard as stored in the platform's store."""

    epoch: int
    holder: str
    write_id: str
    claims: tuple[ClaimRecord, ...]


@dataclass(frozen=True, slots=True)
class ClaimAsked:
    """Request a claim for an idempotency key."""

    entry: str
    shard: int
    key: str
    fingerprint: str
    """Identifies the request's content; a key reused with another one is a mismatch."""
    nonce: str
    """Identifies the attempt; a repeated message has the same one."""


@dataclass(frozen=True, slots=True)
class ClaimSettled:
    """Record the outcome of a claimed request; the key is released if it was never sent."""

    shard: int
    key: str
    nonce: str
    ran: bool
    status: int
    content_type: str
    body: str


@dataclass(frozen=True, slots=True)
class ReadDone:
    """Receive the shard's object; version zero means that it does not exist."""

    version: int
    value: ShardObject | None


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Report that the store did not answer a read."""


@dataclass(frozen=True, slots=True)
class WriteDone:
    """Report that a write took effect."""

    write_id: str
    version: int


@dataclass(frozen=True, slots=True)
class WriteConflicted:
    """Report that a write had no effect, because the object had changed."""

    write_id: str


@dataclass(frozen=True, slots=True)
class WriteUnknown:
    """Report that the response to a write was lost."""

    write_id: str


@dataclass(frozen=True, slots=True)
class WriteRefused:
    """Report that the store refused a write, which certainly had no effect."""

    write_id: str


@dataclass(frozen=True, slots=True)
class FlushDue:
    """Trigger the write of the staged claims."""


ClaimEvent = (
    ClaimAsked
    | ClaimSettled
    | ReadDone
    | ReadFailed
    | WriteDone
    | WriteConflicted
    | WriteUnknown
    | WriteRefused
    | FlushDue
)


@dataclass(frozen=True, slots=True)
class ReadShard:
    """Read the shard's object."""

    shard: int


@dataclass(frozen=True, slots=True)
class WriteShard:
    """Write the shard's object if its version is still the expected one."""

    shard: int
    expected: int
    value: ShardObject


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Answer a claim request."""

    entry: str
    nonce: str
    kind: str
    status: int = 0
    content_type: str = ""
    body: str = ""


ClaimAction = ReadShard | WriteShard | ClaimAnswer


class _Phase(StrEnum):
    """Phases of a shard's holder."""

    COLD = "cold"
    """The shard's object is not loaded; the next claim request or outcome loads it."""
    READING = "reading"
    """The object is read before the shard is taken over."""
    HELD = "held"
    """The claims are known and no read or write is in progress."""
    WRITING = "writing"
    SETTLING = "settling"
    """A write's response was lost; the object is read to find out whether it took effect."""


@dataclass(slots=True)
class _Write:
    """The write in progress; there is at most one."""

    write_id: str
    expected: int
    value: ShardObject
    requests: list[ClaimAsked]
    settled: list[ClaimSettled]


@dataclass(slots=True)
class _Staged:
    """Claim requests and outcomes for the next write."""

    requests: list[ClaimAsked] = field(default_factory=list)
    settled: list[ClaimSettled] = field(default_factory=list)


class ClaimsHolder:
    """Hold one shard while this instance ranks first for it in rendezvous hashing."""

    def __init__(self, shard: int, holder: str, unique: str) -> None:
        """Initialize without the shard's object.

        unique: distinguishes the write ids of this process from those of earlier ones.
        """
        self._shard = shard
        self._holder = holder
        self._unique = unique
        self._phase = _Phase.COLD
        self._version = 0
        self._epoch = 0
        self._claims: dict[str, ClaimRecord] = {}
        self._staged = _Staged()
        self._write: _Write | None = None
        self._writes = 0
        self._uncertain_nonces: set[str] = set()
        """Nonces of attempts whose claim may have been stored by a write of unknown outcome."""
        self._actions: list[ClaimAction] = []

    @property
    def epoch(self) -> int:
        """Return the epoch that this holder writes with."""
        return self._epoch

    @property
    def should_flush(self) -> bool:
        """Return True if claims or outcomes are staged and no read or write is in progress."""
        return self._phase is _Phase.HELD and bool(self._staged.requests or self._staged.settled)

    def handle(self, event: ClaimEvent, wall: float) -> list[ClaimAction]:
        """Apply one event and return the resulting actions; wall is the wall-clock time."""
        self._actions = []
        self._handle_event(event, wall)
        return self._actions

    @singledispatchmethod
    def _handle_event(self, event: ClaimEvent, wall: float) -> None:
        """Handle one event."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @_handle_event.register
    def _(self, event: ClaimAsked, wall: float) -> None:
        known = self._claims.get(event.key)
        if known is not None and self._phase is not _Phase.COLD:
            self._answer_existing(event, known)
            return
        for other in self._staged.requests + (self._write.requests if self._write else []):
            if other.key == event.key:
                is_same_attempt = other.nonce == event.nonce
                if not is_same_attempt:
                    self._answer(event, ClaimAnswerKind.UNKNOWN)
                return
        self._staged.requests.append(event)
        if self._phase is _Phase.COLD:
            self._load()

    @_handle_event.register
    def _(self, event: ClaimSettled, wall: float) -> None:
        self._staged.settled.append(event)
        if self._phase is _Phase.COLD:
            self._load()

    @_handle_event.register
    def _(self, event: FlushDue, wall: float) -> None:
        if self.should_flush:
            self._flush(wall)

    @_handle_event.register
    def _(self, event: ReadDone, wall: float) -> None:
        if self._phase is _Phase.SETTLING:
            self._settle_lost_write(event, wall)
        elif self._phase is _Phase.READING:
            self._take_over(event, wall)

    @_handle_event.register
    def _(self, event: ReadFailed, wall: float) -> None:
        if self._phase is _Phase.READING:
            self._release_shard()
        elif self._phase is _Phase.SETTLING:
            # The write may have taken effect, so no claim is granted and none is answered.
            self._release_shard()

    @_handle_event.register
    def _(self, event: WriteDone, wall: float) -> None:
        write = self._write
        if write is None or write.write_id != event.write_id:
            return
        self._confirm(write, event.version, wall)

    @_handle_event.register
    def _(self, event: WriteConflicted, wall: float) -> None:
        if self._write is None or self._write.write_id != event.write_id:
            return
        # Another holder raised the epoch, so its stored claims take precedence: read them.
        self._restage(self._write)
        self._load()

    @_handle_event.register
    def _(self, event: WriteUnknown, wall: float) -> None:
        if self._write is None or self._write.write_id != event.write_id:
            return
        self._phase = _Phase.SETTLING
        self._actions.append(ReadShard(self._shard))

    @_handle_event.register
    def _(self, event: WriteRefused, wall: float) -> None:
        if self._write is not None and self._write.write_id == event.write_id:
            self._restage(self._write)
            self._release_shard()

    def _restage(self, write: _Write) -> None:
        """Stage the contents of a failed write again, before newer ones; it may be stored."""
        self._uncertain_nonces |= {ask.nonce for ask in write.requests}
        self._staged.requests = write.requests + self._staged.requests
        self._staged.settled = write.settled + self._staged.settled
        self._write = None

    def _load(self) -> None:
        """Read the shard's object before taking the shard over."""
        self._phase = _Phase.READING
        self._claims = {}
        self._actions.append(ReadShard(self._shard))

    def _take_over(self, event: ReadDone, wall: float) -> None:
        """Adopt the stored claims, and raise the epoch with the next write."""
        stored = event.value or ShardObject(0, "", "", ())
        self._version = event.version
        self._epoch = stored.epoch + 1
        self._claims = {record.key: record for record in stored.claims}
        self._answer_staged()
        self._flush(wall)

    def _answer_staged(self) -> None:
        """Answer the staged requests whose keys are already claimed."""
        waiting = self._staged.requests
        self._staged.requests = []
        for ask in waiting:
            known = self._claims.get(ask.key)
            if known is None:
                self._staged.requests.append(ask)
            else:
                self._answer_existing(ask, known)

    def _flush(self, wall: float) -> None:
        """Write all staged claims and outcomes in one conditional write."""
        staged = self._staged
        self._staged = _Staged()
        claims = {
            key: record
            for key, record in self._claims.items()
            if wall - record.at < CLAIM_RETENTION_S
        }
        for settled in staged.settled:
            self._apply_settled(claims, settled)
        accepted = []
        for ask in staged.requests:
            if len(claims) >= MAX_CLAIMS:
                self._answer(ask, ClaimAnswerKind.UNAVAILABLE)
                continue
            claims[ask.key] = ClaimRecord(ask.key, ask.fingerprint, ask.nonce, wall)
            accepted.append(ask)
        self._writes += 1
        write_id = f"{self._unique}-{self._writes}"
        value = ShardObject(self._epoch, self._holder, write_id, tuple(claims.values()))
        self._write = _Write(write_id, self._version, value, accepted, staged.settled)
        self._phase = _Phase.WRITING
        self._actions.append(WriteShard(self._shard, self._version, value))

    def _apply_settled(self, claims: dict[str, ClaimRecord], settled: ClaimSettled) -> None:
        """Record an outcome, or release the key of a request that was never sent."""
        record = claims.get(settled.key)
        if record is None or record.nonce != settled.nonce:
            return
        if not settled.ran:
            del claims[settled.key]
            return
        claims[settled.key] = replace(record, outcome=_outcome(settled))

    def _confirm(self, write: _Write, version: int, wall: float) -> None:
        """Grant the claims that a write has made durable."""
        self._write = None
        self._uncertain_nonces.clear()
        self._version = version
        self._claims = {record.key: record for record in write.value.claims}
        self._phase = _Phase.HELD
        for ask in write.requests:
            self._answer(ask, ClaimAnswerKind.GRANTED)
        self._answer_staged()

    def _settle_lost_write(self, event: ReadDone, wall: float) -> None:
        """Determine from the stored object whether a write with a lost response took effect."""
        write = self._write
        if write is None:
            self._load()
            return
        if event.value is not None and event.value.write_id == write.write_id:
            self._confirm(write, event.version, wall)
            return
        if event.version == write.expected:
            # Not stored yet, but it may still arrive: the next write fences it by version.
            self._restage(write)
            self._claims = {record.key: record for record in write.value.claims}
            for ask in write.requests:
                self._claims.pop(ask.key, None)
            self._flush(wall)
            return
        # Another holder has written since. A new read shows whether it kept these claims.
        self._restage(write)
        self._load()

    def _release_shard(self) -> None:
        """Release the shard and answer all staged requests with 'unavailable': none was run."""
        if self._write is not None:
            self._restage(self._write)
        self._phase = _Phase.COLD
        waiting, self._staged.requests = self._staged.requests, []
        for ask in waiting:
            self._answer(ask, ClaimAnswerKind.UNAVAILABLE)
            if ask.nonce in self._uncertain_nonces:
                # A write may have stored the claim: release it once the store answers.
                self._staged.settled.append(
                    ClaimSettled(self._shard, ask.key, ask.nonce, False, 0, "", "")
                )
        self._uncertain_nonces.clear()

    def _with_outcome(self, known: ClaimRecord) -> ClaimRecord:
        """Return a record with its outcome, even if the outcome is not stored yet."""
        unsaved = self._staged.settled + (self._write.settled if self._write else [])
        for settled in unsaved:
            if settled.key == known.key and settled.nonce == known.nonce and settled.ran:
                return replace(known, outcome=_outcome(settled))
        return known

    def _answer_existing(self, ask: ClaimAsked, known: ClaimRecord) -> None:
        """Answer a request for a key that is already claimed."""
        known = self._with_outcome(known)
        if known.nonce == ask.nonce and known.outcome is None:
            # An earlier write for this attempt took effect although its response was lost.
            self._answer(ask, ClaimAnswerKind.GRANTED)
        elif known.fingerprint != ask.fingerprint:
            self._answer(ask, ClaimAnswerKind.MISMATCH)
        elif known.outcome is None:
            self._answer(ask, ClaimAnswerKind.UNKNOWN)
        else:
            outcome = known.outcome
            self._actions.append(
                ClaimAnswer(
                    ask.entry,
                    ask.nonce,
                    ClaimAnswerKind.RECORDED.value,
                    outcome.status,
                    outcome.content_type,
                    outcome.body,
                )
            )

    def _answer(self, ask: ClaimAsked, kind: ClaimAnswerKind) -> None:
        """Add an answer to the actions."""
        self._actions.append(ClaimAnswer(ask.entry, ask.nonce, kind.value))


def _outcome(settled: ClaimSettled) -> Outcome:
    """Return the outcome to record, without the body if that is too long."""
    body = settled.body if len(json.dumps(settled.body)) <= MAX_OUTCOME_BYTES else ""
    return Outcome(settled.status, settled.content_type, body)
