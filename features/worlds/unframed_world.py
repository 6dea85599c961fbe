"""Run one gateway whose engines drop copies of runs that have ended, and count what it records."""

from __future__ import annotations

from typing import Final

from driftstall.core import Request
from driftstall.decisions.poison_subjects import PoisonSubjects
from features.worlds.ending_world import EndingWorld
from features.worlds.gateway_world import document, route

DEADLINE_MS: Final = 12_000
PRODUCED_S: Final = {3: 0.5, 4: 0.5}
"""Seconds that pass after events, beside those until the backup is ready."""


class UnframedWorld(EndingWorld):
    """A gateway whose engines drop the copies of runs that have ended."""

    def __init__(self) -> None:
        """Start the gateway."""
        super().__init__()
        self.deadline_ms = DEADLINE_MS
        self.pauses = dict(PRODUCED_S)
        self.drops_copies_after = 0
        """Event after which engines hold no copy; zero to keep all."""
        self.sound_runs = 0
        """Runs that were recorded to have crashed nothing."""
        self.learned_lengths = 0
        """Runs whose length was recorded."""
        self.state.lengths.record_finish = self._count_length  # type: ignore[method-assign]
        self.state.poison.record_success = self._count_sound  # type: ignore[method-assign]
        chat = route("chat", "/stream/", "streaming", "engines", timeoutMs=DEADLINE_MS)
        self.use(document(routes=[chat]))

    def _count_sound(self, subjects: PoisonSubjects) -> None:
        """Count a run that has crashed nothing."""
        self.sound_runs += 1

    def _count_length(self, request: Request, tokens: int) -> None:
        """Count a run whose length is learned."""
        self.learned_lengths += 1

    def _handle_sent(self, request_id: str, number: int) -> None:
        """Let time pass, and drop copies, after an event."""
        super()._handle_sent(request_id, number)
        self.pass_time(self.pauses.get(number, 0.0))
        if number == self.drops_copies_after:
            for engine in self.ending_engines:
                engine.copies.clear()
