"""File calls off the loop: a few threads with bounded queues, and a descriptor that wakes the loop.

Each lane is one queue: `write` and `log` have one thread each, so that their calls keep their order; `read`
has several. A full queue says no at once. Results are handed over in the loop, in the order in which calls
ended.
"""

import contextlib
import queue
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from hitchtiller.log import logger
from hitchtiller.sched import READ, Scheduler
from hitchtiller.wake import Wakeup

READ_LANE, WRITE_LANE, LOG_LANE = "read", "write", "log"
AT_ONCE = 4  # results handed over in one turn of the loop
Done = Callable[[Any, BaseException | None], None]


class Jobs(Protocol):
    """Where the store's file calls run."""

    def submit(self, lane: str, run: Callable[[], Any], done: Done) -> bool:
        """Run a call; `done` hears of its result or its error, in the loop. False: the lane is full."""


class InlineJobs:
    """Runs each call at once: for tools and tests."""

    def submit(self, lane: str, run: Callable[[], Any], done: Done) -> bool:
        """Run it here."""
        try:
            result = run()
        except (OSError, ValueError) as error:
            done(None, error)
        else:
            done(result, None)
        return True


class ThreadJobs:
    """Worker threads beside one scheduler.

    Only `submit` and `done` touch the store's state, both in the loop.
    """

    def __init__(self, sched: Scheduler, readers: int = 2, depth: int = 64) -> None:
        """Start the threads; each lane holds at most `depth` calls."""
        self.sched = sched
        self.queues: dict[str, queue.Queue[tuple[Callable[[], Any], Done] | None]] = {}
        self.results: deque[tuple[str, Done, Any, BaseException | None]] = deque()
        self.open = dict.fromkeys((READ_LANE, WRITE_LANE, LOG_LANE), 0)  # submitted and not handed over
        self.wakeup = Wakeup()  # no pipe: on the fleet's platform only sockets are sure to be led
        self.ear = self.wakeup.fileno()
        self.threads: list[threading.Thread] = []
        for lane, many in ((READ_LANE, readers), (WRITE_LANE, 1), (LOG_LANE, 1)):
            self.queues[lane] = queue.Queue(depth)
            for number in range(many):
                thread = threading.Thread(
                    target=self._work, args=(lane,), name=f"{lane}-{number}", daemon=True
                )
                thread.start()
                self.threads.append(thread)
        sched.spawn(self._hear)

    def submit(self, lane: str, run: Callable[[], Any], done: Done) -> bool:
        """Queue a call; False if its lane is full."""
        try:
            self.queues[lane].put_nowait((run, done))
        except queue.Full:
            return False
        self.open[lane] += 1
        return True

    def _work(self, lane: str) -> None:
        while (job := self.queues[lane].get()) is not None:
            run, done = job
            result, error = None, None
            try:
                result = run()
            except Exception as fault:  # noqa: BLE001  it is the loop's to judge
                error = fault
            self.results.append((lane, done, result, error))
            self.wakeup.poke()  # full: the loop has been told already

    def _hear(self) -> None:
        while self.ear >= 0:
            self.sched.wait(self.ear, READ)
            if self.ear < 0:
                return
            self.wakeup.drain()
            while self.results:
                self.drain(AT_ONCE)
                if self.results:  # guards the loop after a stall, when all that waited ends at once
                    self.sched.pause()

    def drain(self, most: int = 1 << 30) -> None:
        """Hand over what has ended; a fault in one hand-over ends that one alone."""
        for _ in range(most):
            if not self.results:
                return
            lane, done, result, error = self.results.popleft()
            self.open[lane] -= 1
            try:
                done(result, error)
            except Exception:  # noqa: BLE001  one copy's fault must not stop the others
                logger.exception("a result of the store's could not be taken")

    def settle(self, patience_s: float) -> None:
        """Wait, outside the loop, until the queues are empty and what ended is handed over."""
        until = time.monotonic() + patience_s
        while time.monotonic() < until and (self.results or any(self.open.values())):
            self.drain()
            time.sleep(0.001)

    def close(self, patience_s: float = 1.0) -> bool:
        """End the threads once their queues are empty; False if one is stuck in a call past the patience."""
        for lane, lane_queue in self.queues.items():
            for _ in range(sum(thread.name.startswith(lane) for thread in self.threads)):
                with contextlib.suppress(queue.Full):
                    lane_queue.put_nowait(None)
        for thread in self.threads:
            thread.join(patience_s / len(self.threads))
        self.drain()
        self.sched.forget(self.ear)
        self.ear = -1
        self.wakeup.close()
        return not any(thread.is_alive() for thread in self.threads)
