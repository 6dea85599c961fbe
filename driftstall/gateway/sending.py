"""Send a stream's request to one upstream and read the response head."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from driftstall.decisions.sends import SendHistory, SendOutcome
from driftstall.exceptions import (
    InstanceStopping,
    InvalidResponse,
    RequestQuarantined,
    UpstreamError,
)
from driftstall.gateway.admission import AdmittedRequest
from driftstall.gateway.drain import can_finish
from driftstall.gateway.exchange import BodyChunk, ResponseHead, UpstreamExchange
from driftstall.gateway.forwarding.connector import CONNECT_TIMEOUT_S
from driftstall.gateway.ingress import CallerRequest
from driftstall.gateway.model import ResponseMetadata, SendMetadata, Upstream
from driftstall.gateway.response_body import ResponseBody
from driftstall.gateway.retry_budget.pending_retry import PendingRetry
from driftstall.gateway.runs import StreamRun
from driftstall.gateway.state import GatewayState


@dataclass(frozen=True, slots=True)
class OpenedResponse:
    """Hold the head of a response and its decoded metadata."""

    head: ResponseHead
    metadata: ResponseMetadata


class StreamSender:
    """Send one stream's request; used again for each upstream that is tried."""

    def __init__(
        self,
        state: GatewayState,
        call: CallerRequest,
        admitted: AdmittedRequest,
        history: SendHistory,
        retry: PendingRetry,
        *,
        is_caller_disconnected: Callable[[], bool],
        remaining_s: Callable[[], float],
    ) -> None:
        """Initialize with the request and the history that records the outcome of each send.

        The function remaining_s returns how long the caller's response may still take to begin.
        """
        self._state = state
        self._call = call
        self._admitted = admitted
        self._history = history
        self._retry = retry
        self._is_caller_disconnected = is_caller_disconnected
        self._remaining_s = remaining_s

    def send(self, run: StreamRun) -> OpenedResponse | UpstreamError:
        """Send the request to the run's upstream, read the response head, record the outcome.

        Errors are returned, not raised.
        """
        if not self._history.sends:
            self._state.retries.record_request(run.upstream.service)
        copy_of = run.resumed_from.copy_of if run.resumed_from else ""
        self._history.begin(run.upstream.upstream_id, copy_of)
        self._state.runs.add(run)
        result = self._exchange(run, copy_of)
        if isinstance(result, UpstreamError):
            self._history.end(SendOutcome.MAY_HAVE_RUN if result.sent else SendOutcome.UNSENT)
        elif result.metadata.is_not_executed:
            self._history.end(SendOutcome.TURNED_AWAY)
        return result

    def _exchange(self, run: StreamRun, copy_of: str) -> OpenedResponse | UpstreamError:
        """Open a connection, send the request and read the response head."""
        metadata = SendMetadata(
            upstream_name=run.upstream.name,
            remaining_s=self._admitted.ends_at - self._state.now(),
            workspace=self._admitted.workspace,
            rank=self._admitted.verdict.rank,
            backup_address=run.backup.address if run.backup else "",
            copy_of=copy_of,
            last_event_id=self._last_event_id(run),
        )
        try:
            timeout_s = min(CONNECT_TIMEOUT_S, max(0.001, self._remaining_s()))
            run.exchange = self._state.connect(run.upstream, timeout_s, run.request_id)
            if self._is_caller_disconnected():
                return UpstreamError("the caller has left", sent=False)
            if not self._may_send(run.upstream, copy_of):
                return UpstreamError("the upstream takes no more requests", sent=False)
            if not copy_of and not can_finish(self._state, self._admitted):
                return InstanceStopping()
            if self._state.poison.verdict(self._admitted.subjects).wait_s:
                return RequestQuarantined()
            self._state.exchanges.add(run.upstream.upstream_id, run.exchange)
            headers = self._state.dialect.write_request(
                self._admitted.metadata.forwarded_headers, metadata
            )
            call = self._call
            self._retry.confirm()
            self._state.signals.log_send(run.upstream, run.request_id)
            run.exchange.send(call.method, call.target, headers, call.body, self._remaining_s())
            return self._read_head(run.upstream, run.exchange)
        except UpstreamError as error:
            return error
        except TimeoutError:
            return UpstreamError("no answer in time", sent=True)

    def _may_send(self, upstream: Upstream, copy_of: str) -> bool:
        """Return True if the request may be sent, to start a run or to resume at a replica."""
        if copy_of:
            return self._state.can_send(upstream)
        return self._state.can_start_on(upstream, self._history.sent_to)

    def _last_event_id(self, run: StreamRun) -> str:
        """Return the id of the event after which the upstream continues; empty for the start."""
        if run.last_event_id:
            return run.last_event_id
        return self._admitted.metadata.last_event_id if self._admitted.route.is_resumable else ""

    def _read_head(self, upstream: Upstream, exchange: UpstreamExchange) -> OpenedResponse:
        """Read heads until one carries the request's id; raise InvalidResponse if it is invalid."""
        surplus = ResponseBody(exchange)
        while True:
            item = exchange.next(self._remaining_s)
            if isinstance(item, BodyChunk):
                surplus.add(item.data)
            if not isinstance(item, ResponseHead):
                continue
            metadata = self._state.dialect.read_response(item.status, item.headers)
            if metadata.request_id != self._admitted.metadata.request_id:
                # A surplus response to another request; the expected one may still follow.
                surplus.clear()
                continue
            if metadata.defect is not None:
                self._state.record_invalid(upstream, item, metadata)
                raise InvalidResponse(metadata.defect)
            return OpenedResponse(item, metadata)
