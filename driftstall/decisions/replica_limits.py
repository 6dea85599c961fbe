"""Limit the share of an engine's memory that replicas of runs elsewhere may take.

A replica saves its run when the run's engine leaves with a short notice, or with none. It takes as
much memory as the run. While engines are half empty this costs nothing; where runs fill them, each
replica keeps a prompt waiting or preempts a run, whose prompt is then prefilled once more, and the
waiting requests lose more than replicas save.

So replicas take what runs leave free. The limit up to which an engine's memory may be filled with
a replica falls as the runs of the fleet fill its engines.
"""

from __future__ import annotations

from typing import Final

LOW_RUNS_SHARE: Final = 0.45
"""Share of the fleet's engine memory taken by runs up to which replicas cost nothing."""
HIGH_RUNS_SHARE: Final = 0.75
"""Share from which on prompts wait for memory."""
BACKUP_LIMIT_LOW_LOAD: Final = 0.70
"""Limit for the backup that an engine is asked to keep up to date for a whole run, with half of
the memory free: the remainder is for prompts that arrive meanwhile."""
BACKUP_LIMIT_HIGH_LOAD: Final = 0.30
"""The same where prompts wait for memory."""
REPLICA_LIMIT_LOW_LOAD: Final = 0.55
"""Limit for replicas made occasionally of runs without a backup."""
REPLICA_LIMIT_HIGH_LOAD: Final = 0.40


def backup_fill_limit(runs_share: float) -> float:
    """Return the share of an engine's memory above which no backup is kept there."""
    return _interpolate(BACKUP_LIMIT_LOW_LOAD, BACKUP_LIMIT_HIGH_LOAD, runs_share)


def replica_fill_limit(runs_share: float) -> float:
    """Return the share of an engine's memory above which no replica is made there ahead."""
    return _interpolate(REPLICA_LIMIT_LOW_LOAD, REPLICA_LIMIT_HIGH_LOAD, runs_share)


def _interpolate(low_load_limit: float, high_load_limit: float, runs_share: float) -> float:
    """Interpolate a limit by the share of memory that runs take; both are from 0 to 1."""
    position = (runs_share - LOW_RUNS_SHARE) / (HIGH_RUNS_SHARE - LOW_RUNS_SHARE)
    return low_load_limit + (high_load_limit - low_load_limit) * min(1.0, max(0.0, position))
