"""Commands for developers."""

from __future__ import annotations
