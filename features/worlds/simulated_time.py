"""Run the product's tasks on a simulated clock, without sleeping.

Tasks are greenlets that block here only. The driver advances the clock to the next timer once all
tasks are blocked.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

import gevent
from gevent.event import Event


class Waiter:
    """One blocked task."""

    def __init__(self) -> None:
        """Initialize a task that was not resumed."""
        self.event = Event()
        self.is_resumed = False
        self.value = False


class SimulatedTime:
    """A clock, its timers and the tasks that wait for them."""

    def __init__(self) -> None:
        """Start well after zero, as a monotonic clock does."""
        self._now = 1000.0
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._runnable = 0
        self._tasks: list[gevent.Greenlet] = []

    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self._now

    def call_later(self, delay_s: float, work: Callable[[], None]) -> None:
        """Call a function after a delay."""
        heapq.heappush(self._timers, (self._now + delay_s, next(self._numbers), work))

    def spawn(self, work: Callable[[], None]) -> None:
        """Start a task."""
        self._runnable += 1
        self._tasks.append(gevent.spawn(self._run_task, work))

    def sleep(self, seconds: float) -> None:
        """Block the calling task."""
        self.block(Waiter(), seconds)

    def block(self, waiter: Waiter, timeout_s: float) -> bool:
        """Block the calling task until it is resumed; return the value, or False on timeout."""
        self.call_later(timeout_s, lambda: self.resume(waiter, False))
        self._runnable -= 1
        waiter.event.wait()
        return waiter.value

    def resume(self, waiter: Waiter, value: bool) -> None:
        """Resume a blocked task."""
        if not waiter.is_resumed:
            waiter.is_resumed, waiter.value = True, value
            self._runnable += 1
            waiter.event.set()

    def run(self, seconds: float) -> None:
        """Advance the clock by a time, running all timers and tasks."""
        until = self._now + seconds
        self._run_tasks()
        while self._timers and self._timers[0][0] <= until:
            self._now, _, work = heapq.heappop(self._timers)
            work()
            self._run_tasks()
        self._now = until

    def stop(self) -> None:
        """End all tasks."""
        gevent.killall(self._tasks)

    def _run_tasks(self) -> None:
        """Let the tasks run until all are blocked."""
        while self._runnable > 0:
            gevent.sleep(0)

    def _run_task(self, work: Callable[[], None]) -> None:
        """Run a task until it ends."""
        try:
            work()
        finally:
            self._runnable -= 1


class SimulatedEvent:
    """An event on which tasks wait in simulated time."""

    def __init__(self, time: SimulatedTime) -> None:
        """Initialize an event that is not set."""
        self._time = time
        self._is_set = False
        self._waiters: list[Waiter] = []

    def is_set(self) -> bool:
        """Return True if the event is set."""
        return self._is_set

    def set(self) -> None:
        """Set the event and resume the tasks that wait for it."""
        self._is_set = True
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            self._time.resume(waiter, True)

    def clear(self) -> None:
        """Reset the event."""
        self._is_set = False

    def wait(self, timeout_s: float) -> bool:
        """Block the calling task until the event is set, at most for a time."""
        if self._is_set:
            return True
        waiter = Waiter()
        self._waiters.append(waiter)
        return self._time.block(waiter, timeout_s)
