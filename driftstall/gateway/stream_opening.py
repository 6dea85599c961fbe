"""Open a stream: choose an upstream until one takes the request."""

from __future__ import annotations

from driftstall.const import CODE_DEADLINE, CODE_NO_RUNNER, CODE_RUNNER_FAILED
from driftstall.core import Problem
from driftstall.gateway.calls import FULL_RETRY_S, MAX_SENDS
from driftstall.gateway.outcomes import Outcome
from driftstall.gateway.placement import WAIT_FOR_ROOM_SHARE
from driftstall.gateway.runs import StreamRun
from driftstall.gateway.sending import Opened
from driftstall.gateway.stream_resuming import StreamResuming
from driftstall.gateway.stream_work import StreamWork


class StreamOpening:
    """Have one stream taken by an upstream."""

    def __init__(self, work: StreamWork, resuming: StreamResuming) -> None:
        """Take the stream, and who goes on with it where its upstream breaks."""
        self._work = work
        self._resuming = resuming

    def open(self) -> Opened | Problem:
        """Send the request to an upstream that takes it, and read the answer's head."""
        avoid: set[str] = set()
        denied: list[str] = []
        """Upstreams that take no more now."""
        limits = self._work.state.rate_limiting
        detail = "no upstream takes requests"
        while self._work.history.may_run_anew and self._work.history.sends < MAX_SENDS:
            if self._work.left() <= 0 or self._work.caller_gone:
                return Problem(CODE_DEADLINE, 504, "the time is over", self._work.history.ran)
            refusal = self._work.refusal()
            if refusal is not None:
                return refusal
            ready = self._ready(avoid)
            waits_s = limits.patience_s(ready, self._patience_s())
            closed = limits.closed(ready, waits_s)
            if len(closed) == len(ready) and (ready or denied):
                service = self._work.admitted.service.name
                return limits.refusal(service, ready or denied, self._work.request_id)
            run = self._work.placement.place(closed.union(avoid), lambda: self._work.caller_gone)
            if run is None:
                break
            refusal = self._work.refusal()
            if refusal is not None:
                # It was learned while the stream waited for its place.
                self._work.drop(run)
                return refusal
            if self._work.history.arrived and not self._work.budget_allows(run.upstream):
                break
            if not limits.take_turn(
                run.upstream.upstream_id, self._work.need(waits_s), self._work.request_id
            ):
                self._work.drop(run)
                avoid.add(run.upstream.upstream_id)
                denied.append(run.upstream.upstream_id)
                continue
            result = self._work.send(run)
            if isinstance(result, Opened):
                if not result.marks.not_run:
                    return result
                detail = f"turned away with {result.head.status}"
                self._work.saw(run, Outcome.FULL)
            elif result.sent:
                return self._after_break(run, str(result))
            else:
                detail = str(result)
                if self._work.state.may_send(run.upstream):
                    self._work.saw(run, Outcome.UNREACHABLE)
                    self._work.state.suspect(run.upstream)
            self._work.drop(run)
            avoid.add(run.upstream.upstream_id)
        return Problem(CODE_NO_RUNNER, 503, detail, self._work.history.ran, FULL_RETRY_S)

    def _ready(self, avoid: set[str]) -> list[str]:
        """Return the upstreams that take requests and have not turned this one away."""
        ready = self._work.state.fleet.ready(self._work.admitted.service.name)
        return [one.upstream_id for one in ready if one.upstream_id not in avoid]

    def _patience_s(self) -> float:
        """Return for how long the stream can still wait for its turn at an upstream."""
        most_s = self._work.admitted.route.target_s * WAIT_FOR_ROOM_SHARE
        until = self._work.admitted.started_at + min(self._work.admitted.verdict.wait_s, most_s)
        return until - self._work.state.now()

    def _after_break(self, run: StreamRun, detail: str) -> Opened | Problem:
        """Go on at a copy after a break before the answer's head."""
        self._work.broke(run)
        resumed = self._resuming.resume(run, detail)
        if resumed is not None:
            return resumed
        if self._work.left() <= 0:
            return Problem(CODE_DEADLINE, 504, "the time is over", self._work.history.ran)
        detail = "the upstream broke off; the request may have run"
        return Problem(CODE_RUNNER_FAILED, 502, detail, self._work.history.ran)
