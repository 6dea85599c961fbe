"""Check that the platform's names are used only within driftstall/platform."""

from __future__ import annotations

import re
import sys
from pathlib import Path

ADAPTER = Path("driftstall/platform")
NAMES = (
    "x-driftstall-",
    "/api/",
    "kv-move",
    "kv-from",
    "kv-backup",
    "kv-handle",
    "apiKeys",
    "trafficSplit",
    "pathPrefix",
    "allowAnonymous",
    "coldRemainingMs",
    "targetVersion",
    "targetLatencyMs",
    "maxAttempts",
    "kvCacheTokens",
    "kvTokenBytes",
    "ttlS",
    "nodeName",
    "waitMs",
    "budgetExtra",
    "retryBudgetRatio",
    "DRIFTSTALL_CONFIG",
)
PATTERN = re.compile("|".join(re.escape(name) for name in NAMES), re.IGNORECASE)


def main() -> int:
    """Print each use of a platform name outside the adapter; return zero if there is none."""
    found = [
        f"{path}:{number}: {match.group()} belongs in {ADAPTER}"
        for path in sorted(Path("driftstall").rglob("*.py"))
        if ADAPTER not in path.parents
        for number, line in enumerate(path.read_text().splitlines(), start=1)
        for match in [PATTERN.search(line)]
        if match is not None
    ]
    print("\n".join(found) or f"The platform's names are used only in {ADAPTER}.")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
