"""Model a model engine that batches continuously in limited memory.

One step gives each decoding stream one token and works off one chunk of prefill.
When memory is full the engine evicts cached prefixes, then preempts: the lowest
priority, youngest stream loses its memory and prefills again. The figures are
those of the project's design page: about 15 ms a step, 45 ms with a full chunk.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

from driftstall.core import PrefixMark
from driftstall.decisions.prefixes import PrefixModel


class Phase(StrEnum):
    """Name the phases of a generation."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    PAUSED = "paused"


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Describe an engine's speed and size."""

    memory_tokens: int = 48_000
    chunk_tokens: int = 512
    max_streams: int = 128
    step_s: float = 0.012
    stream_s: float = 0.00006
    prefill_token_s: float = 0.00006


@dataclass(slots=True)
class Generation:
    """Hold one generation on the engine."""

    generation_id: str
    priority: int
    input_tokens: int
    output_tokens: int
    """The true length, which only the engine knows."""
    prefix: tuple[PrefixMark, ...]
    reply: PrefixMark | None
    """The prefix that a follow-up of this conversation will bring."""
    order: int = 0
    phase: Phase = Phase.WAITING
    produced: int = 0
    filled: int = 0
    """Tokens of context whose memory is filled."""
    target: int = 0
    """Tokens of context to fill before decoding goes on."""
    shared: int = 0
    """Tokens of the context that the prefix cache holds for it."""
    pin: int = 0
    preempted: int = 0


@dataclass(frozen=True, slots=True)
class Step:
    """Tell what one step did."""

    seconds: float
    tokens: tuple[Generation, ...] = ()
    finished: tuple[Generation, ...] = ()
    preempted: tuple[Generation, ...] = ()
    evicted: tuple[int, ...] = ()


@dataclass(slots=True)
class Engine:
    """Run generations step by step; pure, the caller advances the clock."""

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
        """Return the memory in use by streams, in tokens; what they share counts once."""
        return self._used + self.cache.pinned

    @property
    def is_idle(self) -> bool:
        """Tell whether there is nothing to do."""
        return not self.running and not self.waiting

    def drain_stored_prefixes(self) -> tuple[tuple[PrefixMark, ...], ...]:
        """Return and forget the prefixes stored since the last call."""
        stored = tuple(self._stored)
        self._stored.clear()
        return stored

    def add(self, generation: Generation) -> None:
        """Queue a generation."""
        self._order += 1
        generation.order = self._order
        self._queue(generation)

    def _queue(self, generation: Generation) -> None:
        """Put a generation into the engine's own queue."""
        generation.phase = Phase.WAITING
        self.waiting.append(generation)
        self.waiting.sort(key=lambda entry: (entry.priority, entry.order))

    def find(self, generation_id: str) -> Generation | None:
        """Return a generation in any phase."""
        found = self.running.get(generation_id) or self.paused.get(generation_id)
        if found is not None:
            return found
        return next((one for one in self.waiting if one.generation_id == generation_id), None)

    def cancel(self, generation_id: str) -> None:
        """Drop a generation and free its memory."""
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
        """Remove a generation from wherever it is."""
        self.paused.pop(generation.generation_id, None)
        if self.running.pop(generation.generation_id, None) is not None:
            self._used -= generation.filled - generation.shared
            self.cache.unpin(generation.pin)
        elif generation in self.waiting:
            self.waiting.remove(generation)
        generation.filled = generation.shared = generation.pin = 0

    def step(self) -> Step:
        """Run one step and tell what it did."""
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
        """Evict cached prefixes that no longer fit beside the streams."""
        return self.cache.shrink(self.shape.memory_tokens - self._used)

    def _start_waiting(self, evicted: list[int]) -> None:
        """Admit from the queue while the next prompt fits."""
        while self.waiting and len(self.running) < self.shape.max_streams:
            generation = self.waiting[0]
            need = generation.input_tokens + generation.produced
            pending = sum(one.target - one.filled for one in self.running.values())
            if self.used_tokens + pending + need > self.shape.memory_tokens:
                if not self._preempt_for(generation):
                    return
                continue
            self.waiting.pop(0)
            generation.phase = Phase.PREFILL
            generation.target = need
            generation.pin = self.cache.pin(generation.prefix)
            generation.shared = min(self.cache.touch(generation.prefix), need - 1)
            generation.filled = generation.shared
            self.running[generation.generation_id] = generation
            evicted += self._fit_cache()

    def _preempt_for(self, generation: Generation) -> bool:
        """Preempt a strictly lower priority for a waiting one."""
        victim = self._choose_victim()
        if victim is None or victim.priority <= generation.priority:
            return False
        self._preempt(victim)
        return True

    def _choose_victim(self) -> Generation | None:
        """Return the lowest priority, youngest stream."""
        if not self.running:
            return None
        return max(self.running.values(), key=lambda one: (one.priority, one.order))

    def _preempt(self, generation: Generation) -> None:
        """Take a stream's memory; it will prefill again."""
        self._remove(generation)
        generation.preempted += 1
        self.preemptions += 1
        self._queue(generation)

    def _make_room(self, need: int, evicted: list[int], preempted: list[Generation]) -> bool:
        """Make room for some tokens; tell whether there is room now."""
        while self.used_tokens + need > self.shape.memory_tokens:
            victim = self._choose_victim()
            if victim is None:
                return False
            self._preempt(victim)
            preempted.append(victim)
        if self._used + need + self.cache.tokens > self.shape.memory_tokens:
            evicted += self.cache.shrink(self.shape.memory_tokens - self._used - need)
        return True

    def _prefill_chunk(self, evicted: list[int], preempted: list[Generation]) -> int:
        """Work off one chunk of prefill, in order of priority."""
        left = self.shape.chunk_tokens
        filling = [one for one in self.running.values() if one.phase is Phase.PREFILL]
        filling.sort(key=lambda one: (one.priority, one.order))
        for generation in filling:
            part = min(left, generation.target - generation.filled)
            if part <= 0 or generation.phase is not Phase.PREFILL:
                continue
            if (
                not self._make_room(part, evicted, preempted)
                or generation.phase is not Phase.PREFILL
            ):
                continue
            generation.filled += part
            self._used += part
            left -= part
            if generation.filled >= generation.target:
                generation.phase = Phase.DECODE
            if left == 0:
                break
        done = self.shape.chunk_tokens - left
        self.prefilled_tokens += done
        return done

    def _decode(
        self, evicted: list[int], preempted: list[Generation]
    ) -> tuple[list[Generation], list[Generation]]:
        """Give each decoding stream one token."""
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
