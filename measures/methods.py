"""The scheduling methods that are compared: two baselines, the product's and an oracle."""

from __future__ import annotations

import random
from typing import Final

from driftstall.controllers.grant_messages import (
    Ask,
    Close,
    GrantAction,
    Granted,
    GrantEvent,
    RunnersChanged,
)
from driftstall.controllers.grants import GrantsController
from driftstall.core import Weights
from driftstall.decisions.lengths import KnownLengths, LearnedLengths, WorstCaseLengths
from measures.workload import Arrival

METHODS: Final = ("first_come", "worst_case", "forecast", "oracle")


class FirstCome:
    """Grant immediately on the least loaded runner, without admission, queue or forecast."""

    def __init__(self) -> None:
        """Initialize without runners."""
        self._prompt_tokens: dict[str, int] = {}
        self._open: dict[str, tuple[str, int]] = {}

    def handle(self, event: GrantEvent, now: float) -> list[GrantAction]:
        """Handle an event and return the actions."""
        if isinstance(event, RunnersChanged):
            self._prompt_tokens = {name: 0 for name, _, _ in event.runners}
        elif isinstance(event, Close):
            name, tokens = self._open.pop(event.request_id)
            self._prompt_tokens[name] -= tokens
        elif isinstance(event, Ask):
            request = event.request
            name = min(self._prompt_tokens, key=self._prompt_tokens.__getitem__)
            self._prompt_tokens[name] += request.input_tokens
            self._open[request.request_id] = (name, request.input_tokens)
            rank = event.verdict.rank
            return [Granted(event.entry, request.request_id, name, rank, "least loaded")]
        return []


def build_method(
    method: str, arrivals: list[Arrival], weights: Weights, overflow: float, seed: int
) -> FirstCome | GrantsController:
    """Return a method by name; the oracle knows the true output lengths."""
    source = random.Random(seed)
    if method == "first_come":
        return FirstCome()
    if method == "worst_case":
        return GrantsController("base/0", WorstCaseLengths(), source, weights=weights, certain=True)
    if method == "oracle":
        lengths = KnownLengths({arrival.request_id: arrival.output_tokens for arrival in arrivals})
        return GrantsController("base/0", lengths, source, weights=weights, certain=True)
    return GrantsController("base/0", LearnedLengths(), source, weights=weights, overflow=overflow)
