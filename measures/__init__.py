"""Benchmarks of the scheduling decisions, the relay and the capacity of a daemon."""

from __future__ import annotations
