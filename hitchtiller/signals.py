"""Runs a callable in its own greenlet for each signal; the signal handler itself only queues it.

The loop is woken without a descriptor (see `Scheduler.call_from_signal`): the fleet's platform refuses a
socketpair, and neither a write from C nor a datagram that a socket sent to itself ended a poll that the
platform intercepts. A signal to the process reaches the main thread, where the loop polls. If one reaches
another thread, the loop handles it at its next timer, at most 1 s later (that of `collect_garbage`).
"""

import signal
from collections.abc import Callable, Mapping
from types import FrameType

from hitchtiller.sched import Scheduler


class Signals:
    """Installs handlers for signals and passes their callables to the loop."""

    def __init__(self, sched: Scheduler, handlers: Mapping[int, Callable[[], None]]) -> None:
        """Install the handlers; without them the default action of a signal would end the process."""
        self.sched, self.handlers = sched, handlers
        for number in handlers:
            signal.signal(number, self._on_signal)

    def _on_signal(self, number: int, _: FrameType | None) -> None:
        if handler := self.handlers.get(number):  # other signals are ignored, never taken for SIGTERM
            self.sched.call_from_signal(handler)
