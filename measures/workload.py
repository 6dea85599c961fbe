"""Seeded synthetic workloads of two deployments, with conversations, long prompts and bursts."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

from driftstall.core import PrefixMark

SYSTEM_TOKENS: Final = 320
"""Length of the system prompt, which all conversations of a workspace share."""
WORKSPACES: Final = 10
CHAT_SHARE: Final = 0.8
CONVERSATION_SHARE: Final = 0.75
"""Share of chats that belong to conversations; the others have a single turn."""
MEAN_TURNS: Final = 4.0
CHAT_CAP: Final = 1_024
LONG_CAP: Final = 2_048


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request with its true output length, which only the engine and the oracle may know."""

    request_id: str
    at: float
    workspace: str
    kind: str
    input_tokens: int
    output_tokens: int
    max_tokens: int
    prefix: tuple[PrefixMark, ...]
    reply: PrefixMark | None
    follows: str
    """Id of the earlier turn that must have ended; empty for none."""
    pause_s: float
    """Time between the end of the earlier turn and this request."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """The kinds of requests of one deployment, with the distributions of their lengths."""

    name: str
    first_kind: str
    long_kind: str
    chat_output: tuple[float, float]
    """Mean and deviation of the logarithm of the output length."""
    long_output: tuple[float, float]
    long_input: tuple[int, int]
    first_input: tuple[int, int]


DEPLOYMENTS: Final = {
    "enrolment": Deployment(
        "enrolment", "chat", "summary", (4.7, 0.8), (5.6, 0.7), (2_000, 6_500), (30, 220)
    ),
    "parcel": Deployment(
        "parcel", "briefing", "log_summary", (4.9, 0.5), (5.5, 0.7), (2_500, 7_000), (200, 700)
    ),
}


@dataclass(frozen=True, slots=True)
class WorkloadChange:
    """Changes of a workload during a run."""

    drift: float = 1.0
    """Factor on output lengths, which grows linearly to this value by the end."""
    flood: float = 0.0
    """Extra long prompts a second from one workspace."""


class WorkloadMaker:
    """Generate arrivals from a seed."""

    def __init__(self, deployment: Deployment, seed: int, change: WorkloadChange) -> None:
        """Initialize the generator of random numbers."""
        self._deployment = deployment
        self._random = random.Random(seed)
        self._change = change
        self._number = 0
        names = [f"workspace-{index}" for index in range(WORKSPACES)]
        weights = [1.0 / (index + 1) for index in range(WORKSPACES)]
        self._names, self._weights = names, weights

    def make(self, rate: float, seconds: float) -> list[Arrival]:
        """Return requests sorted by time; rate is in generations a second."""
        arrivals: list[Arrival] = []
        chat_rate = rate * CHAT_SHARE
        conversations = chat_rate * CONVERSATION_SHARE / MEAN_TURNS
        self._add_poisson(arrivals, conversations, seconds, self._make_conversation)
        self._add_poisson(
            arrivals, chat_rate * (1 - CONVERSATION_SHARE), seconds, self._make_single_chat
        )
        self._add_poisson(arrivals, rate * (1 - CHAT_SHARE), seconds, self._make_long)
        if self._change.flood:
            self._add_poisson(arrivals, self._change.flood, seconds, self._make_flood)
        return sorted(arrivals, key=lambda arrival: arrival.at)

    def _add_poisson(self, out: list[Arrival], rate: float, seconds: float, make: object) -> None:
        """Add arrivals of a Poisson process with bursts: twice the rate for 7 s in each 28 s."""
        now = 0.0
        while True:
            burst = 2.0 if int(now / 7) % 4 == 0 else 2.0 / 3.0
            now += self._random.expovariate(rate * burst)
            if now >= seconds:
                return
            out.extend(make(now, now / seconds))  # type: ignore[operator]

    def _next_number(self) -> int:
        """Return the number of a new request."""
        self._number += 1
        return self._number

    def _sample_length(self, shape: tuple[float, float], cap: int, progress: float) -> int:
        """Return a random output length of a lognormal distribution, at most cap."""
        factor = 1.0 + (self._change.drift - 1.0) * progress
        return max(2, min(cap, int(self._random.lognormvariate(*shape) * factor)))

    def _make_conversation(self, at: float, progress: float) -> list[Arrival]:
        """Return the turns of a conversation; the prompt of each turn has the whole history."""
        workspace = self._random.choices(self._names, self._weights)[0]
        marks = [PrefixMark(hash_of(workspace), SYSTEM_TOKENS)]
        turns, previous, arrivals = self._sample_turns(), "", []
        for _ in range(turns):
            number = self._next_number()
            prompt_tokens = self._random.randint(*self._deployment.first_input)
            marks.append(PrefixMark(2 * number, marks[-1].tokens + prompt_tokens))
            output = self._sample_length(self._deployment.chat_output, CHAT_CAP, progress)
            reply = PrefixMark(2 * number + 1, marks[-1].tokens + output)
            pause = self._random.uniform(3.0, 15.0)
            kind = self._deployment.first_kind
            arrivals.append(
                Arrival(
                    f"r{number}",
                    at,
                    workspace,
                    kind,
                    marks[-1].tokens,
                    output,
                    CHAT_CAP,
                    tuple(marks),
                    reply,
                    previous,
                    pause,
                )
            )
            marks.append(reply)
            previous = f"r{number}"
        return arrivals

    def _sample_turns(self) -> int:
        """Return a random number of turns of a conversation, at most 12."""
        turns = 1
        while self._random.random() > 1.0 / MEAN_TURNS and turns < 12:
            turns += 1
        return turns

    def _make_single_chat(self, at: float, progress: float) -> list[Arrival]:
        """Return a chat of a single turn."""
        workspace = self._random.choices(self._names, self._weights)[0]
        prompt_tokens = self._random.randint(*self._deployment.first_input)
        kind, shape = self._deployment.first_kind, self._deployment.chat_output
        return [self._make_single(at, workspace, kind, prompt_tokens, shape, CHAT_CAP, progress)]

    def _make_long(self, at: float, progress: float) -> list[Arrival]:
        """Return a request with a long prompt."""
        workspace = self._random.choices(self._names, self._weights)[0]
        return [self._make_long_of(at, workspace, progress)]

    def _make_flood(self, at: float, progress: float) -> list[Arrival]:
        """Return a request of the flooding workspace."""
        return [self._make_long_of(at, "workspace-flood", progress)]

    def _make_long_of(self, at: float, workspace: str, progress: float) -> Arrival:
        """Return a request of a workspace with a long prompt."""
        prompt_tokens = self._random.randint(*self._deployment.long_input)
        kind, shape = self._deployment.long_kind, self._deployment.long_output
        return self._make_single(at, workspace, kind, prompt_tokens, shape, LONG_CAP, progress)

    def _make_single(
        self,
        at: float,
        workspace: str,
        kind: str,
        prompt_tokens: int,
        shape: tuple[float, float],
        cap: int,
        progress: float,
    ) -> Arrival:
        """Return a request outside any conversation."""
        number = self._next_number()
        system = PrefixMark(hash_of(workspace), SYSTEM_TOKENS)
        prompt = PrefixMark(2 * number, SYSTEM_TOKENS + prompt_tokens)
        output = self._sample_length(shape, cap, progress)
        return Arrival(
            f"r{number}",
            at,
            workspace,
            kind,
            prompt.tokens,
            output,
            cap,
            (system, prompt),
            None,
            "",
            0.0,
        )


def hash_of(workspace: str) -> int:
    """Return the digest of a workspace's shared system prompt."""
    return (1 << 40) + sum(ord(char) * (index + 1) for index, char in enumerate(workspace))
