"""Provide the operators' and callers' command."""

from __future__ import annotations
