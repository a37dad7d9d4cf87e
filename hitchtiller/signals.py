"""Signals as calls in greenlets of their own: the loop reads their numbers, nothing runs in a handler."""

import signal
import socket
from collections.abc import Callable, Mapping

from hitchtiller.sched import READ, Scheduler

AT_ONCE = 64  # signals read in one turn


class Signals:
    """Listens for the signals it is given calls for."""

    def __init__(self, sched: Scheduler, calls: Mapping[int, Callable[[], None]]) -> None:
        """Take the signals over; guards against one without a handler, which would end the program."""
        self.sched, self.calls = sched, calls
        self.mine, self.other = socket.socketpair()
        self.mine.setblocking(False)
        self.other.setblocking(False)
        signal.set_wakeup_fd(self.other.fileno(), warn_on_full_buffer=False)
        for number in calls:
            signal.signal(number, lambda *_: None)
        sched.spawn(self._wait)

    def _wait(self) -> None:
        while True:
            self.sched.wait(self.mine.fileno(), READ)
            for number in self.mine.recv(AT_ONCE):  # guards against taking any signal for SIGTERM
                if call := self.calls.get(number):
                    self.sched.spawn(call)
