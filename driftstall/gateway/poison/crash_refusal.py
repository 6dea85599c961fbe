"""Refusal of quarantined requests: those that crashed the upstreams that ran them."""

from __future__ import annotations

from driftstall.const import CODE_CRASHES_RUNNERS, PREFIX_ADMISSION
from driftstall.core import Problem, Ran
from driftstall.decisions.poison_subjects import is_part
from driftstall.gateway.admission import AdmittedRequest
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event


def crash_refusal(state: GatewayState, admitted: AdmittedRequest, ran: Ran) -> Problem | None:
    """Return the problem to answer with if the request is quarantined, otherwise None.

    The argument ran states what is known of earlier sends. Each crash breaks a dozen streams of
    other callers, so the verdict is checked before each send: first ones, retries and resumes.
    """
    verdict = state.poison.verdict(admitted.subjects)
    if not verdict.wait_s:
        return None
    state.stats.crashing_refused += 1
    state.poison.count_refusal(verdict, admitted.workspace)
    log_event(
        PREFIX_ADMISSION,
        "A request is not sent on: upstreams have crashed under it",
        request=admitted.metadata.request_id,
        fingerprint=admitted.fingerprint,
        parts=admitted.subjects.parts,
        subject=verdict.subject,
        route=admitted.route.name,
        workspace=admitted.workspace,
        upstreams=list(verdict.upstream_ids),
        weight=verdict.weight,
        wait_s=round(verdict.wait_s, 1),
        ran=ran.value,
    )
    piece = "a part of this prompt" if is_part(verdict.subject) else "this request"
    detail = f"{len(verdict.upstream_ids)} runners have crashed under {piece}"
    return Problem(CODE_CRASHES_RUNNERS, 503, detail, ran, verdict.wait_s)
