"""State machines of an instance, without I/O."""

from __future__ import annotations
