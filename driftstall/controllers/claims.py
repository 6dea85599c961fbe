"""Hold the claims of one shard: what may not be repeated runs at most once.

A claim is durable before the call leaves. The shard's holder groups claims into
one conditional write; a new holder first raises the shard's epoch, so that a
paused old holder's next write fails. A write whose answer is lost is settled by
reading the object back. Pure: reads and writes are actions, their answers events.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field, replace
from enum import StrEnum
from functools import singledispatchmethod
from typing import Final

SHARDS: Final = 32
CLAIM_RETENTION_S: Final = 24 * 3600.0
"""How long a claim is kept, in seconds."""
MAX_CLAIMS: Final = 3_500
"""Claims in one object: with 280 bytes each it stays under the platform's megabyte."""
MAX_OUTCOME_BYTES: Final = 120
"""The longest recorded answer, as JSON; a longer one is recorded by its status alone."""


class ClaimAnswerKind(StrEnum):
    """Name the answers to a claim."""

    GRANTED = "granted"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Hold a recorded answer."""

    status: int
    content_type: str
    body: str


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Hold one claim as stored."""

    key: str
    fingerprint: str
    nonce: str
    """Names the one try that this claim allows to run."""
    at: float
    """Wall-clock seconds, for the window."""
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class ShardObject:
    """Hold a shard as stored in the platform."""

    epoch: int
    holder: str
    write_id: str
    claims: tuple[ClaimRecord, ...]


@dataclass(frozen=True, slots=True)
class ClaimAsked:
    """Ask to claim a key."""

    entry: str
    shard: int
    key: str
    fingerprint: str
    nonce: str


@dataclass(frozen=True, slots=True)
class ClaimSettled:
    """Record an outcome; a call that never left frees the key."""

    shard: int
    key: str
    nonce: str
    ran: bool
    status: int
    content_type: str
    body: str


@dataclass(frozen=True, slots=True)
class ReadDone:
    """Receive the shard's object; version zero stands for none."""

    version: int
    value: ShardObject | None


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Learn that the platform did not answer a read."""


@dataclass(frozen=True, slots=True)
class WriteDone:
    """Learn that a write took effect."""

    write_id: str
    version: int


@dataclass(frozen=True, slots=True)
class WriteConflicted:
    """Learn that the object had changed, so the write had no effect."""

    write_id: str


@dataclass(frozen=True, slots=True)
class WriteUnknown:
    """Learn that a write's answer was lost."""

    write_id: str


@dataclass(frozen=True, slots=True)
class WriteRefused:
    """Learn that the platform refused a write, so that it surely had no effect."""

    write_id: str


@dataclass(frozen=True, slots=True)
class FlushDue:
    """Let a group of claims be written."""


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
    """Write the shard's object, if its version is still the expected one."""

    shard: int
    expected: int
    value: ShardObject


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Answer a claim."""

    entry: str
    nonce: str
    kind: str
    status: int = 0
    content_type: str = ""
    body: str = ""


ClaimAction = ReadShard | WriteShard | ClaimAnswer


class _Phase(StrEnum):
    """Name the holder's phases."""

    COLD = "cold"
    READING = "reading"
    HELD = "held"
    WRITING = "writing"
    SETTLING = "settling"


@dataclass(slots=True)
class _Write:
    """Hold the one write that is under way."""

    write_id: str
    expected: int
    value: ShardObject
    requests: list[ClaimAsked]
    settled: list[ClaimSettled]


@dataclass(slots=True)
class _Staged:
    """Hold what the next write will carry."""

    requests: list[ClaimAsked] = field(default_factory=list)
    settled: list[ClaimSettled] = field(default_factory=list)


class ClaimsHolder:
    """Hold one shard while this instance ranks first for it."""

    def __init__(self, shard: int, holder: str, unique: str) -> None:
        """Start cold; unique distinguishes this process from earlier ones."""
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
        """Tries whose claim an unsettled write may have stored."""
        self._actions: list[ClaimAction] = []

    @property
    def epoch(self) -> int:
        """Return the epoch that this holder raised."""
        return self._epoch

    @property
    def should_flush(self) -> bool:
        """Tell whether a group waits to be written."""
        return self._phase is _Phase.HELD and bool(self._staged.requests or self._staged.settled)

    def handle(self, event: ClaimEvent, wall: float) -> list[ClaimAction]:
        """Take one event and return the actions; wall is the wall clock."""
        self._actions = []
        self._on(event, wall)
        return self._actions

    @singledispatchmethod
    def _on(self, event: ClaimEvent, wall: float) -> None:
        """Handle one event."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @_on.register
    def _(self, event: ClaimAsked, wall: float) -> None:
        known = self._claims.get(event.key)
        if known is not None and self._phase is not _Phase.COLD:
            self._answer_existing(event, known)
            return
        for other in self._staged.requests + (self._write.requests if self._write else []):
            if other.key == event.key:
                same = other.nonce == event.nonce
                if not same:
                    self._answer(event, ClaimAnswerKind.UNKNOWN)
                return
        self._staged.requests.append(event)
        if self._phase is _Phase.COLD:
            self._load()

    @_on.register
    def _(self, event: ClaimSettled, wall: float) -> None:
        self._staged.settled.append(event)
        if self._phase is _Phase.COLD:
            self._load()

    @_on.register
    def _(self, event: FlushDue, wall: float) -> None:
        if self.should_flush:
            self._flush(wall)

    @_on.register
    def _(self, event: ReadDone, wall: float) -> None:
        if self._phase is _Phase.SETTLING:
            self._settle_lost_write(event, wall)
        elif self._phase is _Phase.READING:
            self._take_over(event, wall)

    @_on.register
    def _(self, event: ReadFailed, wall: float) -> None:
        if self._phase is _Phase.READING:
            self._release_shard()
        elif self._phase is _Phase.SETTLING:
            # The write may have taken effect: nobody may run, nobody is told "recorded".
            self._release_shard()

    @_on.register
    def _(self, event: WriteDone, wall: float) -> None:
        write = self._write
        if write is None or write.write_id != event.write_id:
            return
        self._confirm(write, event.version, wall)

    @_on.register
    def _(self, event: WriteConflicted, wall: float) -> None:
        if self._write is None or self._write.write_id != event.write_id:
            return
        # Another holder raised the epoch: what it stored decides, so read anew.
        self._restage(self._write)
        self._load()

    @_on.register
    def _(self, event: WriteUnknown, wall: float) -> None:
        if self._write is None or self._write.write_id != event.write_id:
            return
        self._phase = _Phase.SETTLING
        self._actions.append(ReadShard(self._shard))

    @_on.register
    def _(self, event: WriteRefused, wall: float) -> None:
        if self._write is not None and self._write.write_id == event.write_id:
            self._restage(self._write)
            self._release_shard()

    def _restage(self, write: _Write) -> None:
        """Put what a write carried back in front of what waits; it may be stored already."""
        self._uncertain_nonces |= {ask.nonce for ask in write.requests}
        self._staged.requests = write.requests + self._staged.requests
        self._staged.settled = write.settled + self._staged.settled
        self._write = None

    def _load(self) -> None:
        """Read the shard before taking it over."""
        self._phase = _Phase.READING
        self._claims = {}
        self._actions.append(ReadShard(self._shard))

    def _take_over(self, event: ReadDone, wall: float) -> None:
        """Take the stored claims over and raise the epoch with the next write."""
        stored = event.value or ShardObject(0, "", "", ())
        self._version = event.version
        self._epoch = stored.epoch + 1
        self._claims = {record.key: record for record in stored.claims}
        self._answer_staged()
        self._flush(wall)

    def _answer_staged(self) -> None:
        """Answer waiting claims whose keys turned out to be known."""
        waiting = self._staged.requests
        self._staged.requests = []
        for ask in waiting:
            known = self._claims.get(ask.key)
            if known is None:
                self._staged.requests.append(ask)
            else:
                self._answer_existing(ask, known)

    def _flush(self, wall: float) -> None:
        """Write everything staged as one group."""
        staged = self._staged
        self._staged = _Staged()
        claims = {
            key: record
            for key, record in self._claims.items()
            if wall - record.at < CLAIM_RETENTION_S
        }
        for settled in staged.settled:
            self._apply_settled(claims, settled)
        asks = []
        for ask in staged.requests:
            if len(claims) >= MAX_CLAIMS:
                self._answer(ask, ClaimAnswerKind.UNAVAILABLE)
                continue
            claims[ask.key] = ClaimRecord(ask.key, ask.fingerprint, ask.nonce, wall)
            asks.append(ask)
        self._writes += 1
        write_id = f"{self._unique}-{self._writes}"
        value = ShardObject(self._epoch, self._holder, write_id, tuple(claims.values()))
        self._write = _Write(write_id, self._version, value, asks, staged.settled)
        self._phase = _Phase.WRITING
        self._actions.append(WriteShard(self._shard, self._version, value))

    def _apply_settled(self, claims: dict[str, ClaimRecord], settled: ClaimSettled) -> None:
        """Record an outcome, or free a key whose call never left."""
        record = claims.get(settled.key)
        if record is None or record.nonce != settled.nonce:
            return
        if not settled.ran:
            del claims[settled.key]
            return
        claims[settled.key] = replace(record, outcome=_outcome(settled))

    def _confirm(self, write: _Write, version: int, wall: float) -> None:
        """Grant the claims that a write made durable."""
        self._write = None
        self._uncertain_nonces.clear()
        self._version = version
        self._claims = {record.key: record for record in write.value.claims}
        self._phase = _Phase.HELD
        for ask in write.requests:
            self._answer(ask, ClaimAnswerKind.GRANTED)
        self._answer_staged()

    def _settle_lost_write(self, event: ReadDone, wall: float) -> None:
        """Settle a write whose answer was lost, by what is stored now."""
        write = self._write
        if write is None:
            self._load()
            return
        if event.value is not None and event.value.write_id == write.write_id:
            self._confirm(write, event.version, wall)
            return
        if event.version == write.expected:
            # Not there yet, but it may still arrive: our next write fences it by version.
            self._restage(write)
            self._claims = {record.key: record for record in write.value.claims}
            for ask in write.requests:
                self._claims.pop(ask.key, None)
            self._flush(wall)
            return
        # Someone wrote after us. Reading anew finds our claims if they are in there.
        self._restage(write)
        self._load()

    def _release_shard(self) -> None:
        """Answer all that wait with 'unavailable': none of them was run."""
        if self._write is not None:
            self._restage(self._write)
        self._phase = _Phase.COLD
        waiting, self._staged.requests = self._staged.requests, []
        for ask in waiting:
            self._answer(ask, ClaimAnswerKind.UNAVAILABLE)
            if ask.nonce in self._uncertain_nonces:
                # A write may have stored the claim; free it once the platform answers.
                self._staged.settled.append(
                    ClaimSettled(self._shard, ask.key, ask.nonce, False, 0, "", "")
                )
        self._uncertain_nonces.clear()

    def _with_outcome(self, known: ClaimRecord) -> ClaimRecord:
        """Return a record with its outcome, even if that is not stored yet."""
        settled = self._staged.settled + (self._write.settled if self._write else [])
        for one in settled:
            if one.key == known.key and one.nonce == known.nonce and one.ran:
                return replace(known, outcome=_outcome(one))
        return known

    def _answer_existing(self, ask: ClaimAsked, known: ClaimRecord) -> None:
        """Answer a claim whose key is already stored."""
        known = self._with_outcome(known)
        if known.nonce == ask.nonce and known.outcome is None:
            # An earlier write of this very try took effect although its answer was lost.
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
    """Return the outcome to record; a long body is left out."""
    body = settled.body if len(json.dumps(settled.body)) <= MAX_OUTCOME_BYTES else ""
    return Outcome(settled.status, settled.content_type, body)
