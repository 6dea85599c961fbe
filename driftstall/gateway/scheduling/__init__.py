"""Place, queue and refuse requests of services."""

from __future__ import annotations
