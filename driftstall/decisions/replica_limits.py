"""Decide how much of an engine's memory copies of runs elsewhere may take.

Pattern: a copy saves its run when the run's engine leaves with a short notice, or with none. It
takes as much memory as the run. While engines are half empty it costs nothing; where runs fill
them, each copy keeps a prompt waiting or preempts a run, whose prompt is then read once more, and
more is lost by those who wait than copies save.

So copies take what runs leave. The line up to which an engine's memory may be filled with a copy
falls as the runs of the fleet fill its engines.
"""

from __future__ import annotations

from typing import Final

ROOMY: Final = 0.45
"""Share of the fleet's engine memory that runs take up to which copies cost nothing."""
CROWDED: Final = 0.75
"""Share from which on prompts wait for room."""
BACKUP_ROOMY: Final = 0.70
"""Line for the copy that an engine is asked to keep up for a whole run, with half of the memory
free: the rest is for prompts that come meanwhile."""
BACKUP_CROWDED: Final = 0.30
"""The same where prompts wait for room."""
AHEAD_ROOMY: Final = 0.55
"""Line for copies made now and then of runs that have none kept up."""
AHEAD_CROWDED: Final = 0.40


def backup_fill_limit(runs_share: float) -> float:
    """Return the share of an engine's memory beyond which no copy is to be kept up there."""
    return _between(BACKUP_ROOMY, BACKUP_CROWDED, runs_share)


def replica_fill_limit(runs_share: float) -> float:
    """Return the share of an engine's memory beyond which no copy is made there ahead."""
    return _between(AHEAD_ROOMY, AHEAD_CROWDED, runs_share)


def _between(roomy: float, crowded: float, runs_share: float) -> float:
    """Return a line for a share of memory that runs take; both are from 0 to 1."""
    fullness = (runs_share - ROOMY) / (CROWDED - ROOMY)
    return roomy + (crowded - roomy) * min(1.0, max(0.0, fullness))
