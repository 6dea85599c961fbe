"""A process of an upstream that stops: it closes its connections first, and ends some time later.

Usage: python -m stand_ins.stopping_process NAME PAUSE_S STOP_AFTER_S CHECKS

Its streams are close-delimited and closed early. A negative STOP_AFTER_S is for a process that does
not end. CHECKS is the status that checks are answered with, or 0 for no answer.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import sys  # noqa: E402

from gevent import socket  # noqa: E402
from gevent.event import Event  # noqa: E402

from driftstall.gateway.ingress import (  # noqa: E402
    CallerConnection,
    CallerRequest,
    encode_head,
)
from stand_ins.endings import Ending, EndingPlan, EndingUpstream, Framing  # noqa: E402

REPORT_PATH = "/api/report"


class StoppingUpstream(EndingUpstream):
    """An upstream whose process ends after its first response."""

    def __init__(self, upstream_id: str, plan: EndingPlan, check_status: int) -> None:
        """Start to listen."""
        super().__init__(upstream_id, lambda _: plan)
        self.answers_probes = bool(check_status)
        self._check_status = check_status

    def _answer(
        self, raw: socket.socket, connection: CallerConnection, call: CallerRequest
    ) -> None:
        """Answer a check with its status, and other requests by the plan."""
        if call.path == REPORT_PATH and self._check_status not in (0, 200):
            connection.write(encode_head(self._check_status, (), (b"Content-Length: 0",)))
            return
        super()._answer(raw, connection, call)

    def _stop_process(self) -> None:
        """End the process at once."""
        os._exit(0)


def main() -> None:
    """Serve until the process ends; print the address first."""
    name, pause_s, stop_after_s, check_status = sys.argv[1:]
    is_stopping = float(stop_after_s) >= 0
    plan = EndingPlan(
        Framing.CLOSE,
        Ending.GONE_LATE if is_stopping else Ending.CLOSED,
        pause_s=float(pause_s),
        stop_after_s=float(stop_after_s),
    )
    upstream = StoppingUpstream(name, plan, int(check_status))
    print(upstream.address, flush=True)
    Event().wait()


if __name__ == "__main__":
    main()
