"""Adapter to the platform: its object store, documents, headers and engine calls."""

from __future__ import annotations
