"""Serve text generations of unknown length on crowded engines."""

from __future__ import annotations
