"""Simulations for tests: the pure core with its environment, and faults injected at each step."""

from __future__ import annotations
