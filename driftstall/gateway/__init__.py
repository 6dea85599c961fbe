"""Serve routed requests: plain calls and event streams, in front of many upstreams."""

from __future__ import annotations
