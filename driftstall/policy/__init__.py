"""Parse, check, evaluate and explain operators' policies."""

from __future__ import annotations
