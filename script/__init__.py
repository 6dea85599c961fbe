"""Hold the developers' commands."""

from __future__ import annotations
