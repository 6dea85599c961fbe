"""Claim idempotency keys at the holders of their shards, and run the shards held here."""

from __future__ import annotations

import uuid
from typing import Final

import gevent
import xxhash
from gevent.event import AsyncResult

from driftstall.const import KEY_CLAIMS, PREFIX_CLAIMS
from driftstall.controllers.claims import (
    SHARDS,
    ClaimAction,
    ClaimAnswer,
    ClaimAnswerKind,
    ClaimAsked,
    ClaimEvent,
    ClaimSettled,
    ClaimsHolder,
    FlushDue,
    ReadDone,
    ReadFailed,
    ReadShard,
    WriteConflicted,
    WriteDone,
    WriteRefused,
    WriteShard,
    WriteUnknown,
)
from driftstall.daemon.hub import Hub
from driftstall.daemon.membership_service import MembershipService
from driftstall.daemon.wire import shard_from_json, shard_to_json
from driftstall.decisions.limits import TokenBucket
from driftstall.decisions.locate import owner_of
from driftstall.exceptions import PlatformUnavailable
from driftstall.helpers.log import log_event
from driftstall.platform.client import WriteState

FLUSH_PERIOD_S: Final = 0.03
WRITES_PER_S: Final = 70.0
"""Limit on writes per second over all shards; the platform handles about 100."""
WRITE_BURST: Final = 20.0
CLAIM_TIMEOUT_S: Final = 3.0


class ClaimsService:
    """Send claims to shard holders as an entry, and answer claims as a holder."""

    def __init__(self, hub: Hub, members: MembershipService) -> None:
        """Initialize without shards and register the message handlers."""
        self._hub = hub
        self._members = members
        self._holder_nonce = uuid.uuid4().hex[:12]
        self._holders: dict[int, ClaimsHolder] = {}
        self._write_buckets: dict[int, TokenBucket] = {}
        self._pending: dict[str, AsyncResult[ClaimAnswer]] = {}
        hub.on_message(ClaimAsked, self._handle_entry_event)
        hub.on_message(ClaimSettled, self._handle_entry_event)
        hub.on_message(ClaimAnswer, self._handle_answer)

    def start(self) -> None:
        """Start the periodic writes of staged claims."""
        self._hub.run_periodically(FLUSH_PERIOD_S, self._flush, PREFIX_CLAIMS)

    def claim(self, key: str, fingerprint: str, nonce: str) -> ClaimAnswer:
        """Return the answer to a claim; UNAVAILABLE if none arrives within CLAIM_TIMEOUT_S."""
        shard = _shard_of(key)
        result: AsyncResult[ClaimAnswer] = AsyncResult()
        self._pending[nonce] = result
        own = self._hub.own.instance_id
        holder = self._holder_of(shard)
        sent = bool(holder) and self._hub.send(
            holder, ClaimAsked(own, shard, key, fingerprint, nonce)
        )
        try:
            answer = result.get(timeout=CLAIM_TIMEOUT_S) if sent else None
        except gevent.Timeout:
            answer = None
        del self._pending[nonce]
        if answer is None:
            # The claim may still be stored later. Free the key, as the call is not sent.
            self.settle(key, nonce, ran=False)
            answer = ClaimAnswer(own, nonce, ClaimAnswerKind.UNAVAILABLE.value)
        log_event(PREFIX_CLAIMS, f"Claim {nonce}: {answer.kind}", shard=shard)
        return answer

    def settle(
        self,
        key: str,
        nonce: str,
        *,
        ran: bool,
        status: int = 0,
        content_type: str = "",
        body: str = "",
    ) -> None:
        """Record the outcome of a claimed call, or free the key if the call did not run."""
        shard = _shard_of(key)
        holder = self._holder_of(shard)
        if holder:
            message = ClaimSettled(shard, key, nonce, ran, status, content_type, body)
            self._hub.send(holder, message)

    def _holder_of(self, shard: int) -> str:
        """Return the id of a shard's holder, or an empty string."""
        holder = owner_of(f"claims/{shard}", self._members.live)
        return holder.instance_id if holder else ""

    def _handle_answer(self, _: str, message: ClaimAnswer) -> None:
        """Handle a holder's answer to a claim."""
        pending = self._pending.get(message.nonce)
        if pending is not None:
            pending.set(message)
        elif message.kind == ClaimAnswerKind.GRANTED:
            # The claim had timed out, and the settle sent then freed the key.
            log_event(PREFIX_CLAIMS, f"Claim {message.nonce} granted after its timeout")

    def _handle_entry_event(self, _: str, message: ClaimAsked | ClaimSettled) -> None:
        """Handle an entry's message as the shard's holder."""
        holder = self._holders.get(message.shard)
        if holder is None:
            unique = f"{self._holder_nonce}-{message.shard}"
            holder = ClaimsHolder(message.shard, self._hub.own.instance_id, unique)
            self._holders[message.shard] = holder
        self._dispatch(holder, message)

    def _flush(self) -> None:
        """Write the staged claims of each shard, within the write rate limit."""
        now = self._hub.now()
        for shard, holder in list(self._holders.items()):
            if not holder.should_flush:
                continue
            bucket = self._write_buckets.get(shard)
            if bucket is None:
                bucket = TokenBucket(WRITES_PER_S / SHARDS, WRITE_BURST, now)
                self._write_buckets[shard] = bucket
            if bucket.reserve(1.0, now) == 0.0:
                self._dispatch(holder, FlushDue())

    def _dispatch(self, holder: ClaimsHolder, event: ClaimEvent) -> None:
        """Pass an event to a holder and carry out the resulting actions."""
        for action in holder.handle(event, self._hub.wall_time()):
            if isinstance(action, ClaimAnswer):
                self._hub.send(action.entry, action)
            else:
                gevent.spawn(self._carry_out, holder, action)

    def _carry_out(self, holder: ClaimsHolder, action: ClaimAction) -> None:
        """Read or write a shard's object, and pass the result to the holder."""
        if isinstance(action, ReadShard):
            self._dispatch(holder, self._read(action.shard))
        elif isinstance(action, WriteShard):
            self._dispatch(holder, self._write(action))

    def _read(self, shard: int) -> ClaimEvent:
        """Read a shard's object from the platform."""
        try:
            stored = self._hub.platform.get(f"{KEY_CLAIMS}/{shard}")
        except PlatformUnavailable:
            return ReadFailed()
        return ReadDone(stored.version, shard_from_json(stored.value))

    def _write(self, action: WriteShard) -> ClaimEvent:
        """Write a shard's object to the platform, if its version is the expected one."""
        write_id = action.value.write_id
        key = f"{KEY_CLAIMS}/{action.shard}"
        try:
            result = self._hub.platform.put(key, shard_to_json(action.value), action.expected)
        except PlatformUnavailable:
            return WriteRefused(write_id)
        if result.state is WriteState.DONE:
            return WriteDone(write_id, result.version)
        if result.state is WriteState.CONFLICT:
            return WriteConflicted(write_id)
        return WriteUnknown(write_id)


def _shard_of(key: str) -> int:
    """Return the shard of a key."""
    return xxhash.xxh3_64_intdigest(key.encode()) % SHARDS
