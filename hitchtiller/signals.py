"""Signals as calls in greenlets of their own: a handler only hands its call to the loop, nothing runs in it.

The loop is woken without a descriptor (see `Scheduler.call_from_signal`): on the fleet's platform a socketpair is
refused, and a write from C or a datagram to oneself never woke a led poll. A process-directed signal
reaches the main thread, where the loop polls; should one land on another thread, the loop's next timer
(at most 1 s away, by the collector's tidy) takes it up.
"""

import signal
from collections.abc import Callable, Mapping
from types import FrameType

from hitchtiller.sched import Scheduler


class Signals:
    """Listens for the signals it is given calls for."""

    def __init__(self, sched: Scheduler, handlers: Mapping[int, Callable[[], None]]) -> None:
        """Take the signals over; guards against one without a handler, which would end the program."""
        self.sched, self.handlers = sched, handlers
        for number in handlers:
            signal.signal(number, self._on_signal)

    def _on_signal(self, number: int, _: FrameType | None) -> None:
        if handler := self.handlers.get(number):  # guards against taking any signal for SIGTERM
            self.sched.call_from_signal(handler)
