"""Model what an engine's prefix cache holds, from our own grants.

The engine's cache events arrive late and with gaps, so they only correct this
model; they are never needed for a decision.
"""

from __future__ import annotations

from collections import OrderedDict

from driftstall.core import PrefixMark


class PrefixModel:
    """Keep prefixes in the order of use, within a budget of tokens."""

    def __init__(self) -> None:
        """Start empty."""
        self._held: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0

    @property
    def tokens(self) -> int:
        """Return the tokens of all prefixes held."""
        return self._tokens

    def match(self, prefix: tuple[PrefixMark, ...]) -> int:
        """Return the tokens of the longest prefix held."""
        for mark in reversed(prefix):
            if mark.digest in self._held:
                return mark.tokens
        return 0

    def touch(self, prefix: tuple[PrefixMark, ...]) -> int:
        """Mark the longest prefix held as just used; return its tokens."""
        for mark in reversed(prefix):
            if mark.digest in self._held:
                self._held.move_to_end(mark.digest)
                return mark.tokens
        return 0

    def store(self, prefix: tuple[PrefixMark, ...]) -> None:
        """Hold a whole prefix; it takes the place of its shorter forms."""
        if not prefix:
            return
        for mark in prefix:
            self.evict(mark.digest)
        last = prefix[-1]
        self._held[last.digest] = last.tokens
        self._tokens += last.tokens

    def evict(self, digest: int) -> None:
        """Drop one prefix, if it is held."""
        self._tokens -= self._held.pop(digest, 0)

    def shrink(self, budget: float) -> list[int]:
        """Drop the longest unused prefixes down to a budget; return them."""
        dropped = []
        while self._tokens > budget and self._held:
            digest, tokens = self._held.popitem(last=False)
            self._tokens -= tokens
            dropped.append(digest)
        return dropped
