"""Signals as calls in greenlets of their own: the loop reads their numbers, nothing runs in a handler."""

import signal
from collections.abc import Callable, Mapping

from hitchtiller.sched import READ, Scheduler
from hitchtiller.wake import Wakeup


class Signals:
    """Listens for the signals it is given calls for."""

    def __init__(self, sched: Scheduler, calls: Mapping[int, Callable[[], None]]) -> None:
        """Take the signals over; guards against one without a handler, which would end the program."""
        self.sched, self.calls = sched, calls
        self.wakeup = Wakeup()  # a loopback datagram socket: the fleet's platform refuses socketpair
        signal.set_wakeup_fd(self.wakeup.fileno(), warn_on_full_buffer=False)
        for number in calls:
            signal.signal(number, lambda *_: None)
        sched.spawn(self._wait)

    def _wait(self) -> None:
        while True:
            self.sched.wait(self.wakeup.fileno(), READ)
            for number in self.wakeup.drain():  # guards against taking any signal for SIGTERM
                if call := self.calls.get(number):
                    self.sched.spawn(call)
