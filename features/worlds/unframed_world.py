"""Run one gateway whose engines report their memory, as evidence for streams without framing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from driftstall.core import Request
from driftstall.decisions.poison_subjects import PoisonSubjects
from features.worlds.ending_world import EndingWorld
from features.worlds.gateway_world import ENGINE, document, route
from stand_ins.endings import EndingUpstream

DEADLINE_MS: Final = 12_000
MEMORY: Final = {"kvUsed": 10_000, "kvTotal": 34_545, "running": 1, "queued": 0}
"""Memory and load in the reports of engines with room."""
PRODUCED_S: Final = {3: 0.5, 4: 0.5}
"""Seconds that pass after events, beside those until the backup is ready."""
KEPT_S: Final = 5.0
Act = Callable[["UnframedWorld"], None]


class UnframedWorld(EndingWorld):
    """A gateway whose engines report their memory, and drop copies of runs that have ended."""

    def __init__(self) -> None:
        """Start the gateway."""
        super().__init__()
        self.deadline_ms = DEADLINE_MS
        self.pauses = dict(PRODUCED_S)
        self.drops_copies_after = 0
        """Event after which engines hold no copy; zero to keep all."""
        self.at_end: Act = lambda _: None
        """Called before the last event of a run is relayed."""
        self.sound_runs = 0
        """Runs that were recorded to have crashed nothing."""
        self.learned_lengths = 0
        """Runs whose length was recorded."""
        self.state.lengths.record_finish = self._count_length  # type: ignore[method-assign]
        self.state.poison.record_success = self._count_sound  # type: ignore[method-assign]
        self.use_engine(handleS=KEPT_S)
        for engine in self.ending_engines:
            engine.report = engine.report | MEMORY

    def _count_sound(self, subjects: PoisonSubjects) -> None:
        """Count a run that has crashed nothing."""
        self.sound_runs += 1

    def _count_length(self, request: Request, tokens: int) -> None:
        """Count a run whose length is learned."""
        self.learned_lengths += 1

    def use_engine(self, **more: Any) -> None:
        """Apply a configuration with properties of engines."""
        chat = route("chat", "/stream/", "streaming", "engines", timeoutMs=DEADLINE_MS)
        engines = {"name": "engines", "engine": ENGINE | more}
        self.use(document(routes=[chat], services=[{"name": "portal"}, engines]))

    def runner(self) -> EndingUpstream:
        """Return the engine that has run the stream first."""
        return next(engine for engine in self.ending_engines if engine.runs("s1"))

    def others(self) -> list[EndingUpstream]:
        """Return the engines that have not run the stream."""
        return [engine for engine in self.ending_engines if not engine.runs("s1")]

    def _handle_sent(self, request_id: str, number: int) -> None:
        """Let time pass, and drop copies, after an event."""
        super()._handle_sent(request_id, number)
        if request_id != "s1":
            return
        self.pass_time(self.pauses.get(number, 0.0))
        if number == self.drops_copies_after:
            for engine in self.ending_engines:
                engine.copies.clear()
            self.at_end(self)
