"""Keep the state machines of an instance, without any I/O."""

from __future__ import annotations
