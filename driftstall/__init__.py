"""Service proxy and scheduler for text generations of unknown length on overloaded engines."""

from __future__ import annotations
