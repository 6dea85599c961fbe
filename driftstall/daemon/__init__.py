"""The daemon: services that run the pure controllers inside gevent."""

from __future__ import annotations
