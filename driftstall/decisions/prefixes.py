"""Model the content of an engine's prefix cache from the grants given.

Prefixes form a tree: a turn of a conversation extends the previous turn, and all conversations of
a workspace share its instructions. A segment is held as long as a longer prefix needs it; the
least recently used leaf is evicted first. The engine's cache events arrive late and with gaps, so
they only correct this model.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from driftstall.core import PrefixMark

_ROOT = 0


@dataclass(slots=True)
class _Segment:
    """Hold the tokens between a prefix and its parent."""

    parent: int
    own_tokens: int
    children: int = 0
    pins: int = 0
    """Running generations that use this segment."""


class PrefixModel:
    """Hold prefixes in LRU order, within a budget of tokens."""

    def __init__(self) -> None:
        """Initialize an empty model."""
        self._segments: OrderedDict[int, _Segment] = OrderedDict()
        self._tokens = 0
        self._pinned = 0

    @property
    def pinned(self) -> int:
        """Return the tokens of segments that running generations use."""
        return self._pinned

    @property
    def tokens(self) -> int:
        """Return the tokens of all segments held."""
        return self._tokens

    def match(self, prefix: tuple[PrefixMark, ...]) -> int:
        """Return the tokens of the longest prefix held."""
        for mark in reversed(prefix):
            if mark.digest in self._segments:
                return mark.tokens
        return 0

    def touch(self, prefix: tuple[PrefixMark, ...]) -> int:
        """Mark the longest prefix held as just used; return its tokens."""
        used = 0
        for mark in reversed(prefix):
            if mark.digest in self._segments:
                used = max(used, mark.tokens)
                # Parents are moved last, so the least recently used segment is always a leaf.
                self._segments.move_to_end(mark.digest)
        return used

    def store(self, prefix: tuple[PrefixMark, ...]) -> None:
        """Add a whole prefix, extending the part of it that is held."""
        parent, tokens = _ROOT, 0
        for mark in prefix:
            if mark.digest not in self._segments:
                self._segments[mark.digest] = _Segment(parent, mark.tokens - tokens)
                self._tokens += mark.tokens - tokens
                if parent in self._segments:
                    self._segments[parent].children += 1
            parent, tokens = mark.digest, mark.tokens
        self.touch(prefix)

    def evict(self, digest: int) -> None:
        """Remove one prefix, if it is held and no longer prefix needs it."""
        segment = self._segments.get(digest)
        if segment is not None and not segment.children and not segment.pins:
            self._remove(digest)

    def pin(self, prefix: tuple[PrefixMark, ...]) -> int:
        """Keep the longest prefix held while a generation uses it; return its digest."""
        for mark in reversed(prefix):
            if mark.digest in self._segments:
                self._add_pins(mark.digest, 1)
                return mark.digest
        return _ROOT

    def unpin(self, digest: int) -> None:
        """Unpin a prefix."""
        self._add_pins(digest, -1)

    def _add_pins(self, digest: int, change: int) -> None:
        """Change the pin count of a segment and of all that it extends."""
        while digest in self._segments:
            segment = self._segments[digest]
            before = segment.pins
            segment.pins += change
            if (before == 0) != (segment.pins == 0):
                self._pinned += change * segment.own_tokens
            digest = segment.parent

    def shrink(self, budget: float) -> list[int]:
        """Evict the least recently used leaves down to a budget; return them."""
        evicted = []
        skipped = 0
        while self._tokens > budget and skipped < len(self._segments):
            digest = next(iter(self._segments))
            segment = self._segments[digest]
            if segment.children or segment.pins:
                self._segments.move_to_end(digest)
                skipped += 1
                continue
            self._remove(digest)
            evicted.append(digest)
            skipped = 0
        return evicted

    def _remove(self, digest: int) -> None:
        """Remove a leaf."""
        segment = self._segments.pop(digest)
        self._tokens -= segment.own_tokens
        parent = self._segments.get(segment.parent)
        if parent is not None:
            parent.children -= 1
