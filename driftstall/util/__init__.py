"""Hold helpers that know nothing of driftstall's objects."""

from __future__ import annotations
