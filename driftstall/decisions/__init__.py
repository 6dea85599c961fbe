"""Decide routing, admission, yielding and refusal without any I/O."""

from __future__ import annotations
