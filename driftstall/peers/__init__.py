"""Carry typed messages between instances."""

from __future__ import annotations
