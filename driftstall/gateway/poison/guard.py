"""Evidence on poison requests at one gateway, and the callbacks when it changes."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from driftstall.decisions.poison_detection import PoisonTracker
from driftstall.decisions.poison_subjects import PoisonSubjects
from driftstall.decisions.poison_trials import trial_delay_s
from driftstall.decisions.poison_verdict import Verdict
from driftstall.gateway import unconnected

MAX_REFUSED_SUBJECTS: Final = 256
"""Maximum number of subjects for which refusals are counted."""
MAX_REFUSED_WORKSPACES: Final = 8
"""Maximum number of workspaces that are listed for one subject."""


@dataclass(slots=True)
class Refusals:
    """Count the requests that this instance has refused because of one subject."""

    count: int = 0
    workspaces: set[str] = field(default_factory=set)


class PoisonGuard:
    """Keep the evidence, and publish what changes it."""

    def __init__(
        self,
        instance_id: str,
        live_instance_ids: Callable[[], tuple[str, ...]],
        now: Callable[[], float],
    ) -> None:
        """Initialize without evidence, with the instance's id and getters of peers and time."""
        self._now = now
        self._refusals: OrderedDict[str, Refusals] = OrderedDict()
        self.tracker = PoisonTracker(
            lambda subject: trial_delay_s(subject, instance_id, live_instance_ids())
        )
        self.on_evidence_changed: Callable[[], None] = unconnected.do_nothing
        """Called when the evidence has changed and peers have to be informed."""
        self.on_quarantined: Callable[[str], None] = unconnected.ignore_subject
        """Called with a subject that is quarantined by a crash that was noticed here."""
        self.on_cleared: Callable[[str], None] = unconnected.ignore_subject
        """Called with a subject that is no longer quarantined."""

    def verdict(self, subjects: PoisonSubjects) -> Verdict:
        """Return whether a request with some subjects may be sent now."""
        return self.tracker.request_verdict(subjects, self._now())

    def record_success(self, subjects: PoisonSubjects) -> None:
        """Record that a request has succeeded."""
        self._exonerate(subjects.all, self._now())

    def record_progress(self, subjects: PoisonSubjects) -> None:
        """Record that a run is producing events: its prompt crashes nothing when they begin."""
        self._exonerate(subjects.parts, self._now())

    def clear(self, subject: str) -> bool:
        """Clear a subject by an operator's order; return False if nothing is held against it."""
        if not self.tracker.verdict(subject, self._now()).is_poison:
            return False
        self._exonerate((subject,), self._now())
        return True

    def count_refusal(self, verdict: Verdict, workspace: str) -> None:
        """Count a request that was refused because of a verdict on subjects that stand together."""
        for subject in (verdict.subject, *verdict.companions):
            refusals = self._refusals.setdefault(subject, Refusals())
            self._refusals.move_to_end(subject)
            refusals.count += 1
            if len(refusals.workspaces) < MAX_REFUSED_WORKSPACES:
                refusals.workspaces.add(workspace)
        while len(self._refusals) > MAX_REFUSED_SUBJECTS:
            self._refusals.popitem(last=False)

    def refusals(self, subject: str) -> Refusals:
        """Return the refusals counted for a subject."""
        return self._refusals.get(subject, Refusals())

    def _exonerate(self, subjects: tuple[str, ...], at: float) -> None:
        """Record a success of some subjects, and publish it if crashes count against one."""
        now, has_changed = self._now(), False
        for subject in subjects:
            was_quarantined = self.tracker.verdict(subject, now).is_poison
            has_changed = self.tracker.record_success(subject, at) or has_changed
            if was_quarantined and not self.tracker.verdict(subject, now).is_poison:
                self.on_cleared(subject)
        if has_changed:
            self.on_evidence_changed()
