"""Command-line interface for operators and callers."""

from __future__ import annotations
