"""Resume a stream at a replica of its run after its upstream left or its connection broke."""

from __future__ import annotations

from typing import Final

import gevent

from driftstall.const import PREFIX_RELAY
from driftstall.exceptions import UpstreamError
from driftstall.gateway.model import Upstream
from driftstall.gateway.runs import ReplicaRef, StreamRun
from driftstall.gateway.sending import OpenedResponse
from driftstall.gateway.stream_context import StreamContext
from driftstall.helpers.log import log_event

MAX_COLD_WAIT_S: Final = 1.2
"""How long a stream that can resume waits for an engine that has become cold."""
MAX_BACKOFF_WAIT_S: Final = 1.2
"""How long such a stream waits for an engine that has requested a back-off."""
MAX_TURN_WAIT_S: Final = 1.2
"""How long such a stream waits for its turn at an engine that signals a rate limit."""
MAX_RESUMES: Final = 8
"""Maximum number of times that one stream is resumed; each of its upstreams may leave in turn."""
OK: Final = 200


class StreamResumer:
    """Find a replica of one stream's run, and send the request to its engine."""

    def __init__(self, context: StreamContext) -> None:
        """Initialize with the stream's context."""
        self._context = context

    def resume(self, run: StreamRun, cause: str) -> OpenedResponse | None:
        """Resume at a replica; return the opened response, or None if there is no replica."""
        while (
            run.moves < MAX_RESUMES
            and self._context.remaining_s() > 0
            and not self._context.is_caller_disconnected
        ):
            if run.exchange is not None:
                run.exchange.close()
            replica = self._take_replica(run)
            if replica is None:
                self._context.replicas.log_no_replica(run, cause)
                return None
            if not self._await_cold(replica.upstream):
                continue
            need = self._context.send_need(
                min(MAX_TURN_WAIT_S, self._context.remaining_s()), under_way=True
            )
            limits, engine_id = self._context.state.rate_limiting, replica.upstream.upstream_id
            if not limits.acquire_permit(engine_id, need, self._context.request_id):
                continue
            if self._context.refusal() is not None or not self._context.retry.try_reserve(
                replica.upstream.service
            ):
                return None
            self._context.state.runs.remove(run)
            run.has_ended = True
            run.is_resumed_elsewhere = True
            next_run = self._context.placement.create_resumed_run(
                run, replica, self._context.history.has_run_at
            )
            result = self._context.send(next_run)
            self._log_resumed(run, next_run, result, cause)
            if isinstance(result, OpenedResponse) and result.head.status == OK:
                self._context.state.stats.streams_resumed += 1
                return result
            # The failed run produced nothing that could be replicated, but another replica of the
            # previous run may still be usable.
            next_run.backup = None
            next_run.replica = next_run.replica or run.replica
            run = next_run
        return None

    def _take_replica(self, run: StreamRun) -> ReplicaRef | None:
        """Return the replica to resume at.

        If all engines with a replica are in back-off, wait for the shortest back-off, up to
        MAX_BACKOFF_WAIT_S.
        """
        state, deferred = self._context.state, []
        while (
            replica := self._context.replicas.take_replica(run, self._context.remaining_s())
        ) is not None:
            if not state.backoff_s(replica.upstream):
                return replica
            deferred.append(replica)
        first = min(deferred, key=lambda ref: state.backoff_s(ref.upstream), default=None)
        if first is None:
            return None
        wait_s = state.backoff_s(first.upstream)
        if wait_s > min(MAX_BACKOFF_WAIT_S, self._context.remaining_s()):
            return None
        gevent.sleep(wait_s)
        return first

    def _await_cold(self, upstream: Upstream) -> bool:
        """Wait for the stream's turn at a cold engine; return False if the wait would be too long.

        Callers abandon a stream after a pause of two seconds or more.
        """
        until = self._context.state.now() + min(MAX_COLD_WAIT_S, self._context.remaining_s())
        while (wait_s := self._context.state.cold_gate.wait_s(upstream)) > 0:
            if self._context.state.now() + wait_s > until:
                log_event(
                    PREFIX_RELAY,
                    f"Stream not resumed at {upstream.upstream_id}: the upstream is cold",
                    request=self._context.admitted.metadata.request_id,
                    wait_ms=int(wait_s * 1000),
                )
                return False
            gevent.sleep(wait_s)
        self._context.state.cold_gate.record_send(upstream)
        return True

    def _log_resumed(
        self,
        run: StreamRun,
        next_run: StreamRun,
        result: OpenedResponse | UpstreamError,
        cause: str,
    ) -> None:
        """Log the result of resuming a stream."""
        outcome = str(result) if isinstance(result, UpstreamError) else str(result.head.status)
        log_event(
            PREFIX_RELAY,
            f"Stream resumed at {next_run.upstream.upstream_id}: {outcome}",
            request=run.request_id,
            fingerprint=self._context.admitted.fingerprint,
            parts=self._context.admitted.subjects.parts,
            cause=cause,
            left=run.upstream.upstream_id,
            copy_of=next_run.resumed_from.copy_of if next_run.resumed_from else "",
            copy=next_run.resumed_from.kind.value if next_run.resumed_from else "",
            last_event=run.last_event_id,
            pause_ms=int((self._context.state.now() - run.last_event_at) * 1000),
        )
