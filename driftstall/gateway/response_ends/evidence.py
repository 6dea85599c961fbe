"""Gather the evidence that a stream is whole whose last run ended without framing."""

from __future__ import annotations

from dataclasses import dataclass

from driftstall.const import PREFIX_RELAY
from driftstall.decisions.end_evidence import (
    Objection,
    RefusedRun,
    find_refusal_objection,
    find_report_objection,
)
from driftstall.decisions.response_ends import ProcessState
from driftstall.gateway.response_ends.records import EndTiming
from driftstall.gateway.runs import ReplicaRefusal, StreamRun
from driftstall.gateway.state import GatewayState
from driftstall.helpers.log import log_event


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run whose response ended without framing, and what is known of that end."""

    run: StreamRun
    process: ProcessState
    timing: EndTiming

    def to_refused(self, state: GatewayState, refusal: ReplicaRefusal) -> RefusedRun:
        """Return the facts about the run that decide what a refusal shows."""
        run, timing = self.run, self.timing
        engine = run.admitted.service.engine
        history, service, now = state.service_history, run.upstream.service, state.now()
        refused_after_s = refusal.at - run.last_event_at
        return RefusedRun(
            process=self.process,
            is_service_framed=history.framed.has(service, now),
            are_copies_seen=history.copying.has(service, now),
            produced_s=run.generating_s or 0.0,
            longest_gap_s=run.longest_gap_s,
            blocked_s=run.blocked_s,
            end_delay_s=timing.after_last_event_s,
            before_deadline_s=timing.before_deadline_s,
            refused_after_s=refused_after_s,
            copy_kept_s=engine.copy_kept_s if engine is not None else 0.0,
            held_tokens=run.held_tokens,
        )


def find_objection(
    state: GatewayState, ended: EndedRun, refusal: ReplicaRefusal
) -> Objection | None:
    """Return why a backup's refusal does not show that a run is whole; None if it does.

    The backup's engine is asked for a report only if nothing else speaks against the evidence.
    """
    refused = ended.to_refused(state, refusal)
    objection = find_refusal_objection(refused, refusal.signals)
    backup = refusal.replica.upstream
    if objection is None:
        state.rate_limiting.charge(backup.upstream_id)
        report = state.dialect.read_report(backup)
        objection = find_report_objection(refused, report, backup.slots)
    log_event(
        PREFIX_RELAY,
        "Backup refused a stream that has ended without framing",
        request=ended.run.request_id,
        upstream=ended.run.upstream.upstream_id,
        backup=backup.upstream_id,
        shows="whole" if objection is None else objection.value,
        events=ended.run.events,
    )
    return objection
