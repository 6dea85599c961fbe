"""Pass each request through the filter chain."""

from __future__ import annotations
