"""Hold helpers that know driftstall's objects."""

from __future__ import annotations
