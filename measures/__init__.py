"""Measure the decisions, the relay and the capacity slopes."""

from __future__ import annotations
