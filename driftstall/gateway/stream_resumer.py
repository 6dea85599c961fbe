"""Go on with a stream at a copy of its run, where its upstream has left or broken."""

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
"""How long a stream that could go on waits for an engine that has gone cold."""
MAX_BACKOFF_WAIT_S: Final = 1.2
"""The same for an engine that has requested a back-off."""
MAX_TURN_WAIT_S: Final = 1.2
"""The same for its turn at an engine that signals a limit."""
MAX_RESUMES: Final = 8
"""Upstreams that one stream may go on at; each leaves with a notice of its own."""
OK: Final = 200


class StreamResumer:
    """Find a copy of one stream's run, and send the request there."""

    def __init__(self, context: StreamContext) -> None:
        """Take the stream."""
        self._context = context

    def resume(self, run: StreamRun, cause: str) -> OpenedResponse | None:
        """Go on at a copy; return the opened answer, or None where there is no copy."""
        while (
            run.moves < MAX_RESUMES
            and self._context.remaining_s() > 0
            and not self._context.is_caller_disconnected
        ):
            if run.exchange is not None:
                run.exchange.close()
            copy = self._take_copy(run)
            if copy is None:
                self._context.replicas.log_no_replica(run, cause)
                return None
            if not self._await_cold(copy.upstream):
                continue
            need = self._context.send_need(
                min(MAX_TURN_WAIT_S, self._context.remaining_s()), under_way=True
            )
            limits, engine_id = self._context.state.rate_limiting, copy.upstream.upstream_id
            if not limits.acquire_permit(engine_id, need, self._context.request_id):
                continue
            if self._context.refusal() is not None or not self._context.try_take_retry(
                copy.upstream
            ):
                return None
            self._context.state.runs.remove(run)
            run.ended = True
            run.is_resumed_elsewhere = True
            next_run = self._context.placement.create_resumed_run(
                run, copy, self._context.history.has_run_at
            )
            result = self._context.send(next_run)
            self._log_resumed(run, next_run, result, cause)
            if isinstance(result, OpenedResponse) and result.head.status == OK:
                self._context.state.stats.streams_resumed += 1
                return result
            # Nothing was made there that could be copied on; another copy of the run as it
            # was may still serve.
            next_run.backup = None
            next_run.replica = next_run.replica or run.replica
            run = next_run
        return None

    def _take_copy(self, run: StreamRun) -> ReplicaRef | None:
        """Return the copy to go on at; where all engines with one back off, wait for the first."""
        state, deferred = self._context.state, []
        while (
            copy := self._context.replicas.take_replica(run, self._context.remaining_s())
        ) is not None:
            if not state.backoff_s(copy.upstream):
                return copy
            deferred.append(copy)
        first = min(deferred, key=lambda one: state.backoff_s(one.upstream), default=None)
        if first is None:
            return None
        wait_s = state.backoff_s(first.upstream)
        if wait_s > min(MAX_BACKOFF_WAIT_S, self._context.remaining_s()):
            return None
        gevent.sleep(wait_s)
        return first

    def _await_cold(self, upstream: Upstream) -> bool:
        """Wait for the stream's turn at a copy's engine that has gone cold; return whether it is.

        Callers give a stream up after a pause of two seconds or more.
        """
        until = self._context.state.now() + min(MAX_COLD_WAIT_S, self._context.remaining_s())
        while (wait_s := self._context.state.cold_gate.wait_s(upstream)) > 0:
            if self._context.state.now() + wait_s > until:
                log_event(
                    PREFIX_RELAY,
                    f"A stream is not gone on with at {upstream.upstream_id}: it is cold",
                    request=self._context.admitted.marks.request_id,
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
        """Log how a stream went on."""
        outcome = str(result) if isinstance(result, UpstreamError) else str(result.head.status)
        log_event(
            PREFIX_RELAY,
            f"A stream goes on at {next_run.upstream.upstream_id}: {outcome}",
            request=run.request_id,
            fingerprint=self._context.admitted.fingerprint,
            cause=cause,
            left=run.upstream.upstream_id,
            copy_of=next_run.resumed_from.copy_of if next_run.resumed_from else "",
            copy=next_run.resumed_from.kind.value if next_run.resumed_from else "",
            last_event=run.last_event_id,
            pause_ms=int((self._context.state.now() - run.last_event_at) * 1000),
        )
