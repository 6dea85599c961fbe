"""Prove the promises with behave."""

from __future__ import annotations
