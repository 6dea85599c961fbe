"""Parse, validate, evaluate and explain the policies of operators."""

from __future__ import annotations
