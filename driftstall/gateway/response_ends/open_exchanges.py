"""Registry of exchanges that are under way."""

from __future__ import annotations

from weakref import WeakSet

from driftstall.gateway.exchange import UpstreamExchange


class OpenExchanges:
    """Registry of open exchanges by upstream, so that all with one upstream can be closed."""

    def __init__(self) -> None:
        """Start with no exchange."""
        self._open: dict[str, WeakSet[UpstreamExchange]] = {}

    def add(self, upstream_id: str, exchange: UpstreamExchange) -> None:
        """Add an exchange; it is held weakly and disappears with its last user."""
        self._open.setdefault(upstream_id, WeakSet()).add(exchange)

    def close_all(self, upstream_id: str) -> int:
        """Close all exchanges with an upstream, which wakes their readers; return the number."""
        exchanges = list(self._open.pop(upstream_id, ()))
        for exchange in exchanges:
            exchange.close()
        return len(exchanges)

    def forget_ended(self) -> None:
        """Remove upstreams that have no open exchange."""
        for upstream_id in [key for key, exchanges in self._open.items() if not exchanges]:
            del self._open[upstream_id]
