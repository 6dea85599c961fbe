"""Simulation of a model engine with continuous batching in limited memory.

A step generates one token for each decoding stream and processes one chunk of prefill. When memory
is full the engine evicts cached prefixes, then preempts: the youngest stream of the lowest priority
loses its memory and prefills again. The figures are those of the project's design page: about 15 ms
per step, 45 ms with a full chunk.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

from driftstall.core import PrefixMark
from driftstall.decisions.prefixes import PrefixModel


class Phase(StrEnum):
    """Phase of a generation."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    PAUSED = "paused"


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Speed and size of an engine."""

    memory_tokens: int = 48_000
    chunk_tokens: int = 512
    max_streams: int = 128
    step_s: float = 0.012
    stream_s: float = 0.00006
    prefill_token_s: float = 0.00006


@dataclass(slots=True)
class Generation:
    """A generation on the engine."""

    generation_id: str
    priority: int
    input_tokens: int
    output_tokens: int
    """True output length, which only the engine knows."""
    prefix: tuple[PrefixMark, ...]
    reply: PrefixMark | None
    """Prefix that a follow-up request of this conversation will have."""
    order: int = 0
    phase: Phase = Phase.WAITING
    produced: int = 0
    filled: int = 0
    """Context tokens that are in memory."""
    target: int = 0
    """Context tokens that must be in memory before decoding continues."""
    shared: int = 0
    """Context tokens that the prefix cache holds."""
    pin: int = 0
    preempted: int = 0


@dataclass(frozen=True, slots=True)
class Step:
    """Result of a step."""

    seconds: float
    tokens: tuple[Generation, ...] = ()
    finished: tuple[Generation, ...] = ()
    preempted: tuple[Generation, ...] = ()
    evicted: tuple[int, ...] = ()


@dataclass(slots=True)
class Engine:
    """Engine that runs generations step by step. It has no clock: the caller advances the time."""

    shape: EngineShape = field(default_factory=EngineShape)
    running: OrderedDict[str, Generation] = field(default_factory=OrderedDict)
    waiting: list[Generation] = field(default_factory=list)
    paused: dict[str, Generation] = field(default_factory=dict)
    cache: PrefixModel = field(default_factory=PrefixModel)
    preemptions: int = 0
    prefilled_tokens: int = 0
    _order: int = 0
    _used: int = 0
    _stored: list[tuple[PrefixMark, ...]] = field(default_factory=list)

    @property
    def used_tokens(self) -> int:
        """Return the memory in use by streams, in tokens; shared prefixes count once."""
        return self._used + self.cache.pinned

    @property
    def is_idle(self) -> bool:
        """Return True if no generation is running or waiting."""
        return not self.running and not self.waiting

    def drain_stored_prefixes(self) -> tuple[tuple[PrefixMark, ...], ...]:
        """Return the prefixes stored since the last call."""
        stored = tuple(self._stored)
        self._stored.clear()
        return stored

    def add(self, generation: Generation) -> None:
        """Queue a generation."""
        self._order += 1
        generation.order = self._order
        self._queue(generation)

    def _queue(self, generation: Generation) -> None:
        """Add a generation to the engine's queue, ordered by priority and arrival."""
        generation.phase = Phase.WAITING
        self.waiting.append(generation)
        self.waiting.sort(key=lambda entry: (entry.priority, entry.order))

    def find(self, generation_id: str) -> Generation | None:
        """Return a generation in any phase, or None."""
        found = self.running.get(generation_id) or self.paused.get(generation_id)
        if found is not None:
            return found
        return next((entry for entry in self.waiting if entry.generation_id == generation_id), None)

    def cancel(self, generation_id: str) -> None:
        """Cancel a generation and free its memory."""
        generation = self.find(generation_id)
        if generation is not None:
            self._remove(generation)

    def pause(self, generation_id: str) -> None:
        """Free a generation's memory but keep its tokens, for a later resume."""
        generation = self.find(generation_id)
        if generation is None or generation.phase is Phase.PAUSED:
            return
        self._remove(generation)
        generation.phase = Phase.PAUSED
        self.paused[generation_id] = generation

    def resume(self, generation_id: str) -> None:
        """Queue a paused generation again."""
        generation = self.paused.pop(generation_id, None)
        if generation is not None:
            self._queue(generation)

    def _remove(self, generation: Generation) -> None:
        """Remove a generation from its queue or batch, and free its memory."""
        self.paused.pop(generation.generation_id, None)
        if self.running.pop(generation.generation_id, None) is not None:
            self._used -= generation.filled - generation.shared
            self.cache.unpin(generation.pin)
        elif generation in self.waiting:
            self.waiting.remove(generation)
        generation.filled = generation.shared = generation.pin = 0

    def step(self) -> Step:
        """Run a step and return its result."""
        evicted: list[int] = []
        self._start_waiting(evicted)
        preempted: list[Generation] = []
        chunk = self._prefill_chunk(evicted, preempted)
        tokens, finished = self._decode(evicted, preempted)
        evicted += self._fit_cache()
        shape = self.shape
        seconds = shape.step_s + shape.stream_s * len(tokens) + shape.prefill_token_s * chunk
        return Step(seconds, tuple(tokens), tuple(finished), tuple(preempted), tuple(evicted))

    def _fit_cache(self) -> list[int]:
        """Evict cached prefixes that no longer fit in memory; return their digests."""
        return self.cache.shrink(self.shape.memory_tokens - self._used)

    def _start_waiting(self, evicted: list[int]) -> None:
        """Start waiting generations as long as the next one fits in memory."""
        while self.waiting and len(self.running) < self.shape.max_streams:
            generation = self.waiting[0]
            required = generation.input_tokens + generation.produced
            pending = sum(other.target - other.filled for other in self.running.values())
            if self.used_tokens + pending + required > self.shape.memory_tokens:
                if not self._preempt_for(generation):
                    return
                continue
            self.waiting.pop(0)
            generation.phase = Phase.PREFILL
            generation.target = required
            generation.pin = self.cache.pin(generation.prefix)
            generation.shared = min(self.cache.touch(generation.prefix), required - 1)
            generation.filled = generation.shared
            self.running[generation.generation_id] = generation
            evicted += self._fit_cache()

    def _preempt_for(self, generation: Generation) -> bool:
        """Preempt a stream of strictly lower priority; return True if there was one."""
        victim = self._choose_victim()
        if victim is None or victim.priority <= generation.priority:
            return False
        self._preempt(victim)
        return True

    def _choose_victim(self) -> Generation | None:
        """Return the youngest stream of the lowest priority, or None."""
        if not self.running:
            return None
        return max(self.running.values(), key=lambda stream: (stream.priority, stream.order))

    def _preempt(self, generation: Generation) -> None:
        """Free a stream's memory and queue it to prefill again."""
        self._remove(generation)
        generation.preempted += 1
        self.preemptions += 1
        self._queue(generation)

    def _make_room(self, tokens: int, evicted: list[int], preempted: list[Generation]) -> bool:
        """Preempt and evict until some tokens fit in memory; return True if they do."""
        while self.used_tokens + tokens > self.shape.memory_tokens:
            victim = self._choose_victim()
            if victim is None:
                return False
            self._preempt(victim)
            preempted.append(victim)
        if self._used + tokens + self.cache.tokens > self.shape.memory_tokens:
            evicted += self.cache.shrink(self.shape.memory_tokens - self._used - tokens)
        return True

    def _prefill_chunk(self, evicted: list[int], preempted: list[Generation]) -> int:
        """Process one chunk of prefill in order of priority; return its tokens."""
        remaining = self.shape.chunk_tokens
        filling = [stream for stream in self.running.values() if stream.phase is Phase.PREFILL]
        filling.sort(key=lambda stream: (stream.priority, stream.order))
        for generation in filling:
            part = min(remaining, generation.target - generation.filled)
            if part <= 0 or generation.phase is not Phase.PREFILL:
                continue
            if (
                not self._make_room(part, evicted, preempted)
                or generation.phase is not Phase.PREFILL
            ):
                continue
            generation.filled += part
            self._used += part
            remaining -= part
            if generation.filled >= generation.target:
                generation.phase = Phase.DECODE
            if remaining == 0:
                break
        done = self.shape.chunk_tokens - remaining
        self.prefilled_tokens += done
        return done

    def _decode(
        self, evicted: list[int], preempted: list[Generation]
    ) -> tuple[list[Generation], list[Generation]]:
        """Generate one token for each decoding stream; return these and the finished ones."""
        tokens: list[Generation] = []
        finished: list[Generation] = []
        for generation in list(self.running.values()):
            if generation.phase is not Phase.DECODE:
                continue
            if not self._make_room(1, evicted, preempted) or generation.phase is not Phase.DECODE:
                continue
            generation.filled += 1
            self._used += 1
            generation.produced += 1
            tokens.append(generation)
            if generation.produced >= generation.output_tokens:
                finished.append(generation)
                self._finish(generation)
        return tokens, finished

    def _finish(self, generation: Generation) -> None:
        """Free a finished stream's memory; its prefix stays cached."""
        self._remove(generation)
        prefix = generation.prefix
        if generation.reply is not None:
            prefix = (*prefix, generation.reply)
        self.cache.store(prefix)
        if prefix:
            self._stored.append(prefix)
