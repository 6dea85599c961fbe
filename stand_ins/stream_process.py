"""A process of an upstream that frames its streams in one way.

Usage: python -m stand_ins.stream_process NAME FRAMING PAUSE_S
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from gevent.event import Event  # noqa: E402

from stand_ins.endings import EndingPlan, EndingUpstream, Framing  # noqa: E402


def main() -> None:
    """Serve until the process is killed; print the address first."""
    name, framing, pause_s = sys.argv[1:]
    plan = EndingPlan(Framing(framing), pause_s=float(pause_s))
    upstream = EndingUpstream(name, lambda _: plan)
    print(upstream.address, flush=True)
    Event().wait()


if __name__ == "__main__":
    main()
