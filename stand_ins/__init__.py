"""Fakes of the outside systems (platform, engines, services) for demos, tests and measurements."""

from __future__ import annotations
