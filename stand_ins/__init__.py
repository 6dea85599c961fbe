"""Stand in for the outside systems in demos, tests and measurements."""

from __future__ import annotations
