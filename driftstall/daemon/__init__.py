"""Run the pure core inside gevent."""

from __future__ import annotations
