"""Route calls to plain services, at most once if a call is not repeatable."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

import gevent

from driftstall.const import (
    CODE_CLAIMED,
    CODE_NO_RUNNER,
    CODE_PLATFORM_DOWN,
    CODE_RUNNER_FAILED,
    PREFIX_ROUTING,
)
from driftstall.controllers.claims import ClaimAnswer, ClaimAnswerKind
from driftstall.core import Problem, Ran, Runner
from driftstall.daemon.claims_service import ClaimsService
from driftstall.daemon.fleet_service import FleetService
from driftstall.daemon.hub import Hub
from driftstall.daemon.poison_service import PoisonService, request_subjects
from driftstall.daemon.signal_service import SignalService
from driftstall.decisions.permits import SendNeed
from driftstall.decisions.retry import RetryBudget
from driftstall.exceptions import UpstreamError
from driftstall.filters.context import RequestContext
from driftstall.helpers.log import log_event
from driftstall.helpers.rate_limiting import RateLimiter
from driftstall.runners.service import CALL_TIMEOUT_S, ServiceResponse, call_service

FORWARDED_HEADERS: Final = ("content-type", "accept", "x-call-id")
HTTP_NOT_RUN: Final = 503
MAX_ATTEMPTS: Final = 3
MAX_PERMIT_WAIT_S: Final = 0.3
"""Maximum wait for a permit if all runners have rate limits; beyond it a refusal with a
Retry-After serves the caller better."""
CALL_RANK: Final = 1
"""Rank of every service call, as policies rank only generations."""
RETRY_AFTER_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class _SendResult:
    """Result of one attempt to send a call."""

    response: ServiceResponse | None
    sent: bool
    detail: str
    is_unanswered: bool = False
    """Whether the call was sent but no response arrived."""


class ServiceCalls:
    """Send calls to the runners of plain services."""

    def __init__(
        self,
        hub: Hub,
        fleet: FleetService,
        claims: ClaimsService,
        poison: PoisonService,
        limits: RateLimiter,
        signals: SignalService,
    ) -> None:
        """Initialize with a full retry budget."""
        self._limits = limits
        self._signals = signals
        self._poison = poison
        self._hub = hub
        self._fleet = fleet
        self._claims = claims
        self._budget = RetryBudget()
        self._open_calls: dict[str, int] = {}

    def call(self, context: RequestContext) -> ServiceResponse | Problem:
        """Make a call and return its response, or a problem."""
        if not self._fleet.live_services(context.service):
            detail = f"no runner of the service {context.service} is live"
            return Problem(CODE_NO_RUNNER, 503, detail, Ran.NOT_RUN, RETRY_AFTER_S)
        if context.idempotency_key:
            return self._call_with_claim(context)
        return self._send_with_retries(context)

    def _call_with_claim(self, context: RequestContext) -> ServiceResponse | Problem:
        """Claim the idempotency key, then send the call only if the claim was granted."""
        key = _claim_key(context)
        claim = self._claims.claim(key, _content_hash(context), context.request_id)
        if claim.kind != ClaimAnswerKind.GRANTED:
            return self._respond_without_grant(claim)
        self._hub.stats.claims_granted += 1
        result = self._send_with_retries(context)
        if isinstance(result, ServiceResponse):
            body = result.body.decode("utf-8", "replace")
            self._claims.settle(
                key,
                context.request_id,
                ran=True,
                status=result.status,
                content_type=result.content_type,
                body=body,
            )
        elif result.ran is Ran.NOT_RUN:
            self._claims.settle(key, context.request_id, ran=False)
        return result

    def _respond_without_grant(self, claim: ClaimAnswer) -> ServiceResponse | Problem:
        """Return the recorded response, or a problem, for a call whose claim was not granted."""
        if claim.kind == ClaimAnswerKind.RECORDED:
            self._hub.stats.claims_repeated += 1
            return ServiceResponse(claim.status, claim.content_type, claim.body.encode())
        if claim.kind == ClaimAnswerKind.MISMATCH:
            detail = "this idempotency key was used for another call; take a new key"
            return Problem(CODE_CLAIMED, 422, detail, Ran.NOT_RUN)
        if claim.kind == ClaimAnswerKind.UNKNOWN:
            detail = "a call with this key was sent before and its outcome is not known"
            return Problem(CODE_CLAIMED, 409, detail, Ran.UNKNOWN, RETRY_AFTER_S)
        detail = "the claim could not be stored, so the call was not sent"
        return Problem(CODE_PLATFORM_DOWN, 503, detail, Ran.NOT_RUN, RETRY_AFTER_S)

    def _send_with_retries(self, context: RequestContext) -> ServiceResponse | Problem:
        """Send the call; retry only if it was not run, or if it is repeatable."""
        self._budget.earn()
        avoid: set[str] = set()
        maybe_ran = False
        detail = ""
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self._budget.spend():
                break
            runner = self._choose_runner(context, avoid)
            if isinstance(runner, Problem):
                if not maybe_ran:
                    return runner
                break
            if runner is None or context.deadline <= self._hub.wall_time():
                break
            if self._signals.backoff_s(runner.runner_id):
                # The back-off arrived while the call waited for a permit.
                avoid.add(runner.runner_id)
                continue
            result = self._send(runner, context)
            if result.response is not None and result.response.status != HTTP_NOT_RUN:
                if HTTPStatus.OK <= result.response.status < HTTPStatus.MULTIPLE_CHOICES:
                    self._poison.record_success(request_subjects(context))
                return result.response
            # By the contract of plain services, a 503 response means that the call was not run.
            maybe_ran = maybe_ran or (result.sent and result.response is None)
            detail = result.detail
            avoid.add(runner.runner_id)
            if maybe_ran and not context.is_repeatable:
                break
            if (
                result.is_unanswered
                and self._poison.build_refusal(request_subjects(context), Ran.UNKNOWN) is not None
            ):
                break
        ran = Ran.UNKNOWN if maybe_ran else Ran.NOT_RUN
        status = 502 if maybe_ran else 503
        return Problem(
            CODE_RUNNER_FAILED, status, detail or "no runner is left", ran, RETRY_AFTER_S
        )

    def _choose_runner(self, context: RequestContext, avoid: set[str]) -> Runner | Problem | None:
        """Return a runner for the call, None if none remains, or a problem with a Retry-After."""
        live = self._fleet.live_services(context.service)
        excluded = avoid | self._signals.backing_off
        runners = [runner for runner in live if runner.runner_id not in excluded]
        if not runners:
            return self._signals.build_refusal(context.service, live, context.request_id)
        requirement = SendNeed(MAX_PERMIT_WAIT_S, CALL_RANK)
        chosen = self._limits.choose_permitted(
            runners,
            lambda runner: runner.runner_id,
            self._least_busy,
            requirement,
            context.request_id,
        )
        if chosen is None:
            ids = [runner.runner_id for runner in runners]
            return self._limits.build_refusal(context.service, ids, context.request_id)
        decision = f"Call {context.request_id} routed to {chosen.runner_id}"
        message = f"{decision}: fewest open calls of {len(runners)} runners"
        log_event(PREFIX_ROUTING, message, service=context.service)
        return chosen

    def _least_busy(self, runners: list[Runner]) -> Runner | None:
        """Return the runner with the fewest open calls; break ties by own zone, then at random."""
        zone = self._hub.own.zone
        return min(
            runners,
            key=lambda runner: (
                self._open_calls.get(runner.runner_id, 0),
                runner.zone != zone,
                self._hub.rng.random(),
            ),
            default=None,
        )

    def _send(self, runner: Runner, context: RequestContext) -> _SendResult:
        """Send a call to a runner once; never raise UpstreamError."""
        headers = _forwarded_headers(context.headers)
        timeout_s = min(CALL_TIMEOUT_S, max(0.1, context.deadline - self._hub.wall_time()))
        runner_id, sent_at = runner.runner_id, self._hub.now()
        self._open_calls[runner_id] = self._open_calls.get(runner_id, 0) + 1
        try:
            with gevent.Timeout(timeout_s, UpstreamError("the answer is late", sent=True)):
                response = call_service(
                    runner, context.method, context.service_path, headers, context.body, timeout_s
                )
            self._signals.handle_response(runner_id, response.signals, sent_at)
            return _SendResult(response, True, f"the runner answered {response.status}")
        except UpstreamError as fault:
            if fault.sent:
                self._poison.handle_broken_run(runner, request_subjects(context), under_way=False)
            else:
                self._fleet.record_failure(runner_id)
            return _SendResult(None, fault.sent, str(fault), is_unanswered=fault.sent)
        finally:
            self._open_calls[runner_id] -= 1


def _forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers to forward to the runner."""
    return {name: headers[name] for name in FORWARDED_HEADERS if name in headers}


def _claim_key(context: RequestContext) -> str:
    """Return a fixed-size claim key, which bounds the size of a shard."""
    text = f"{context.workspace}/{context.service}/{context.idempotency_key}"
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def _content_hash(context: RequestContext) -> str:
    """Return a hash of the call's content, to detect a key reused for another call."""
    hasher = hashlib.blake2b(digest_size=12)
    hasher.update(f"{context.method} {context.service_path}\n".encode())
    hasher.update(context.body)
    return hasher.hexdigest()
