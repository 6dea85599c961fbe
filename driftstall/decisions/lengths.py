"""Forecast how much memory a generation will hold some tokens ahead."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, Protocol

from driftstall.core import Request
from driftstall.decisions.survival import Survival, bucket_of

HORIZONS: Final = (0, 64, 256, 768, 1536)
"""Tokens ahead at which memory is forecast; at 15 ms a token up to 23 s."""
MAX_CLASSES: Final = 20_000
"""Maximum number of classes; a new class beyond it uses the history of its kind."""


class LengthModel(Protocol):
    """Forecast output lengths; the learned model, the baselines and the oracle implement it."""

    grows: bool
    """Whether the memory held grows with each token."""

    def survival_probability(self, request: Request, produced: int, ahead: int) -> float:
        """Return the probability that the output grows by more than `ahead` tokens."""

    def survival_probabilities(self, request: Request, produced: int) -> tuple[float, ...]:
        """Return the probability that the output still runs at each horizon."""

    def expected_tokens(self, request: Request) -> float:
        """Return the expected output in tokens."""

    def memory_tokens_now(self, request: Request, produced: int) -> int:
        """Return the memory in tokens that is held or reserved now."""

    def record_progress(self, request: Request, before: int, after: int) -> None:
        """Record that a running output grew."""

    def record_finish(self, request: Request, tokens: int) -> None:
        """Record that an output ended by itself."""


class LearnedLengths:
    """Forecast from earlier outputs of the same class."""

    grows = True

    def __init__(self) -> None:
        """Initialize without history."""
        self._all = Survival()
        self._kinds: dict[tuple[str, str], Survival] = {}
        self._classes: dict[tuple[str, str, str], Survival] = {}

    def _class_of(self, request: Request) -> Survival:
        """Return the narrowest class of a request."""
        key = (request.workspace, request.kind, request.model)
        survival = self._classes.get(key)
        if survival is not None:
            return survival
        kind_key = (request.kind, request.model)
        kind = self._kinds.get(kind_key)
        if kind is None:
            kind = self._kinds[kind_key] = Survival(self._all)
        if len(self._classes) >= MAX_CLASSES:
            return kind
        survival = self._classes[key] = Survival(kind)
        return survival

    def survival_probability(self, request: Request, produced: int, ahead: int) -> float:
        """Return the probability that the output grows by more than `ahead` tokens."""
        return self._class_of(request).survival_probability(produced, ahead, request.max_tokens)

    def survival_probabilities(self, request: Request, produced: int) -> tuple[float, ...]:
        """Return the probability that the output still runs at each horizon."""
        row = self._class_of(request).survival_probabilities(produced, HORIZONS)
        remaining = request.max_tokens - produced
        if remaining > HORIZONS[-1]:
            return row
        pairs = zip(HORIZONS, row, strict=True)
        return tuple([chance if ahead < remaining else 0.0 for ahead, chance in pairs])

    def expected_tokens(self, request: Request) -> float:
        """Return the expected output in tokens."""
        return self._class_of(request).mean(request.max_tokens)

    def memory_tokens_now(self, request: Request, produced: int) -> int:
        """Return the memory in tokens that is held now."""
        return request.input_tokens + produced

    def record_progress(self, request: Request, before: int, after: int) -> None:
        """Count the output as exposed in the buckets that it has newly entered."""
        first = bucket_of(before) + 1 if before else 0
        last = bucket_of(after)
        if last >= first:
            self._class_of(request).enter(first, last)

    def record_finish(self, request: Request, tokens: int) -> None:
        """Count an output that ended by itself."""
        self._class_of(request).finish(tokens)


class WorstCaseLengths:
    """Reserve the input and the whole cap (the related paper's reserve and settle)."""

    grows = False

    def survival_probability(self, request: Request, produced: int, ahead: int) -> float:
        """Assume that every output runs on."""
        return 1.0

    def survival_probabilities(self, request: Request, produced: int) -> tuple[float, ...]:
        """Return a probability of one for each horizon."""
        return (1.0,) * len(HORIZONS)

    def expected_tokens(self, request: Request) -> float:
        """Return the cap."""
        return float(request.max_tokens)

    def memory_tokens_now(self, request: Request, produced: int) -> int:
        """Return the whole reservation; closing the grant settles it."""
        return request.input_tokens + request.max_tokens

    def record_progress(self, request: Request, before: int, after: int) -> None:
        """Ignore the growth."""

    def record_finish(self, request: Request, tokens: int) -> None:
        """Ignore the end."""


class KnownLengths:
    """Use the true lengths: the upper bound for the quality of a forecast."""

    grows = True

    def __init__(self, lengths: Mapping[str, int]) -> None:
        """Initialize with the true output length of each request id."""
        self._lengths = lengths

    def survival_probability(self, request: Request, produced: int, ahead: int) -> float:
        """Return one until the true end, then zero."""
        return 1.0 if produced + ahead < self._lengths[request.request_id] else 0.0

    def survival_probabilities(self, request: Request, produced: int) -> tuple[float, ...]:
        """Return one for each horizon before the true end, zero after it."""
        remaining = self._lengths[request.request_id] - produced
        return tuple([1.0 if ahead < remaining else 0.0 for ahead in HORIZONS])

    def expected_tokens(self, request: Request) -> float:
        """Return the true length."""
        return float(self._lengths[request.request_id])

    def memory_tokens_now(self, request: Request, produced: int) -> int:
        """Return the memory in tokens that is held now."""
        return request.input_tokens + produced

    def record_progress(self, request: Request, before: int, after: int) -> None:
        """Ignore the growth."""

    def record_finish(self, request: Request, tokens: int) -> None:
        """Ignore the end."""
