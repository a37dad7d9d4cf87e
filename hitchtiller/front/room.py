"""A queue of connections whose next large request is whole in the kernel and waits for room in the account.

A request that has to wait for the answers to others takes no memory of this process meanwhile. After
MAX_WAIT_MS it is read whether there is room or not, and then refused if there is none.

Bounds. One entry for each connection.
"""

from collections import deque
from dataclasses import dataclass

from greenlet import getcurrent, greenlet

from hitchtiller.account import Holding
from hitchtiller.sched import Scheduler, now_ms

MAX_WAIT_MS = 80.0
CHECK_INTERVAL_MS = 5.0


@dataclass(slots=True)
class Waiting:
    """A connection that waits for room."""

    task: greenlet
    holding: Holding
    size: int  # bytes to be read, with the cost of the open request
    until_ms: float


class RoomQueue:
    """Lets connections go on in order of arrival as room becomes free."""

    def __init__(self, sched: Scheduler) -> None:
        """Wait for room in the scheduler's account."""
        self.sched, self.account = sched, sched.account
        self.waiting: deque[Waiting] = deque()
        self.is_checking = False

    def wait(self, holding: Holding, size: int) -> bool:
        """Park until `size` bytes have room; return False if they had none within MAX_WAIT_MS."""
        if self.has_room(holding, size):
            return True
        self.waiting.append(Waiting(getcurrent(), holding, size, now_ms() + MAX_WAIT_MS))
        if not self.is_checking:
            self.is_checking = True
            self.sched.keep_running(self._check)
        return bool(self.sched.park())

    def has_room(self, holding: Holding, size: int) -> bool:
        """Return whether `size` bytes have room and nobody waits for it."""
        return not self.waiting and self.account.may_hold_request(holding, size)

    def _check(self) -> None:
        while self.waiting:
            self.sched.sleep(CHECK_INTERVAL_MS)
            self.release(now_ms())
        self.is_checking = False

    def release(self, now: float) -> None:
        """Wake the connections that have room, in order, and those that have waited long enough."""
        granted_bytes, kept = 0, deque[Waiting]()
        for each in self.waiting:
            if self.account.may_hold_request(each.holding, each.size + granted_bytes):
                granted_bytes += each.size
                self.sched.wake(each.task, True)
            elif now >= each.until_ms:
                self.sched.wake(each.task, False)
            else:
                kept.append(each)
        self.waiting = kept
