"""Define the steps of all features."""

from __future__ import annotations
