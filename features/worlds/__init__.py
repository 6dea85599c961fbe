"""Hold small worlds around the pure core, with faults at every step."""

from __future__ import annotations
