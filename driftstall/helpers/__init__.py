"""Helpers shared by the daemon and the gateway."""

from __future__ import annotations
