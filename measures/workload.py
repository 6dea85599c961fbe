"""Make seeded workloads of both deployments."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

from driftstall.core import PrefixMark

SYSTEM_TOKENS: Final = 320
"""Every conversation of a workspace starts with the same instructions."""
WORKSPACES: Final = 10
CHAT_SHARE: Final = 0.8
CONVERSATION_SHARE: Final = 0.75
"""Share of chats that belong to conversations; the rest are asked once."""
MEAN_TURNS: Final = 4.0
CHAT_CAP: Final = 1_024
LONG_CAP: Final = 2_048


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold one request with its true length, which only the engine may know."""

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
    """The earlier turn that must have ended, or empty."""
    pause_s: float
    """Seconds between that turn's end and this request."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describe one user's kinds."""

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
    """Change a workload while it runs."""

    drift: float = 1.0
    """Factor on output lengths, reached linearly by the end."""
    flood: float = 0.0
    """Extra long prompts a second from one workspace."""


class WorkloadMaker:
    """Draw arrivals from one seed."""

    def __init__(self, deployment: Deployment, seed: int, twist: WorkloadChange) -> None:
        """Take what to draw and from which seed."""
        self._deployment = deployment
        self._random = random.Random(seed)
        self._twist = twist
        self._number = 0
        names = [f"workspace-{index}" for index in range(WORKSPACES)]
        weights = [1.0 / (index + 1) for index in range(WORKSPACES)]
        self._names, self._weights = names, weights

    def make(self, rate: float, seconds: float) -> list[Arrival]:
        """Return requests in order of time; rate counts generations a second."""
        arrivals: list[Arrival] = []
        chat_rate = rate * CHAT_SHARE
        conversations = chat_rate * CONVERSATION_SHARE / MEAN_TURNS
        self._poisson(arrivals, conversations, seconds, self._conversation)
        self._poisson(arrivals, chat_rate * (1 - CONVERSATION_SHARE), seconds, self._one_shot)
        self._poisson(arrivals, rate * (1 - CHAT_SHARE), seconds, self._long)
        if self._twist.flood:
            self._poisson(arrivals, self._twist.flood, seconds, self._flooding)
        return sorted(arrivals, key=lambda one: one.at)

    def _poisson(self, out: list[Arrival], rate: float, seconds: float, draw: object) -> None:
        """Draw arrivals at random times; bursts come from a rate that varies."""
        now = 0.0
        while True:
            burst = 2.0 if int(now / 7) % 4 == 0 else 2.0 / 3.0
            now += self._random.expovariate(rate * burst)
            if now >= seconds:
                return
            out.extend(draw(now, now / seconds))  # type: ignore[operator]

    def _next(self) -> int:
        """Return a number that names one request."""
        self._number += 1
        return self._number

    def _length(self, shape: tuple[float, float], cap: int, progress: float) -> int:
        """Draw an output length, capped."""
        factor = 1.0 + (self._twist.drift - 1.0) * progress
        return max(2, min(cap, int(self._random.lognormvariate(*shape) * factor)))

    def _conversation(self, at: float, progress: float) -> list[Arrival]:
        """Draw a conversation: each turn brings the whole history."""
        workspace = self._random.choices(self._names, self._weights)[0]
        marks = [PrefixMark(hash_of(workspace), SYSTEM_TOKENS)]
        turns, previous, arrivals = self._turns(), "", []
        for _ in range(turns):
            number = self._next()
            asked = self._random.randint(*self._deployment.first_input)
            marks.append(PrefixMark(2 * number, marks[-1].tokens + asked))
            output = self._length(self._deployment.chat_output, CHAT_CAP, progress)
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

    def _turns(self) -> int:
        """Draw how many turns a conversation has."""
        turns = 1
        while self._random.random() > 1.0 / MEAN_TURNS and turns < 12:
            turns += 1
        return turns

    def _one_shot(self, at: float, progress: float) -> list[Arrival]:
        """Draw a chat that is asked once."""
        workspace = self._random.choices(self._names, self._weights)[0]
        asked = self._random.randint(*self._deployment.first_input)
        kind, shape = self._deployment.first_kind, self._deployment.chat_output
        return [self._single(at, workspace, kind, asked, shape, CHAT_CAP, progress)]

    def _long(self, at: float, progress: float) -> list[Arrival]:
        """Draw a request with a long prompt."""
        workspace = self._random.choices(self._names, self._weights)[0]
        return [self._long_of(at, workspace, progress)]

    def _flooding(self, at: float, progress: float) -> list[Arrival]:
        """Draw a request of the workspace that floods."""
        return [self._long_of(at, "workspace-flood", progress)]

    def _long_of(self, at: float, workspace: str, progress: float) -> Arrival:
        """Draw one long prompt of a workspace."""
        asked = self._random.randint(*self._deployment.long_input)
        kind, shape = self._deployment.long_kind, self._deployment.long_output
        return self._single(at, workspace, kind, asked, shape, LONG_CAP, progress)

    def _single(
        self,
        at: float,
        workspace: str,
        kind: str,
        asked: int,
        shape: tuple[float, float],
        cap: int,
        progress: float,
    ) -> Arrival:
        """Draw one request that nothing follows."""
        number = self._next()
        system = PrefixMark(hash_of(workspace), SYSTEM_TOKENS)
        whole = PrefixMark(2 * number, SYSTEM_TOKENS + asked)
        output = self._length(shape, cap, progress)
        return Arrival(
            f"r{number}",
            at,
            workspace,
            kind,
            whole.tokens,
            output,
            cap,
            (system, whole),
            None,
            "",
            0.0,
        )


def hash_of(workspace: str) -> int:
    """Return the digest of a workspace's shared instructions."""
    return (1 << 40) + sum(ord(char) * (index + 1) for index, char in enumerate(workspace))
