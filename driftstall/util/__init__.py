"""General utilities that do not depend on driftstall's types."""

from __future__ import annotations
