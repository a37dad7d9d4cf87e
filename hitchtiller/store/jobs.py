"""Runs file calls outside the event loop, on a few threads with bounded queues.

Each lane is one queue. `write` and `log` have one thread each, so that their calls keep their order; `read`
has several. A call for a full queue is refused at once. A descriptor wakes the loop, which delivers the
results in the order in which the calls ended.
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
MAX_RESULTS_PER_TURN = 4  # results delivered in one turn of the event loop
JobCallback = Callable[[Any, BaseException | None], None]


class Jobs(Protocol):
    """Runs the store's file calls."""

    def submit(self, lane: str, run: Callable[[], Any], done: JobCallback) -> bool:
        """Submit a call; `done` is called in the loop with its result or error. False if the lane is full."""


class InlineJobs:
    """Runs each call at once in the caller, for tools and tests."""

    def submit(self, lane: str, run: Callable[[], Any], done: JobCallback) -> bool:
        """Run the call and deliver its result."""
        try:
            result = run()
        except (OSError, ValueError) as error:
            done(None, error)
        else:
            done(result, None)
        return True


class ThreadJobs:
    """Worker threads for one scheduler.

    The store's state is changed only by `submit` and `done`, which both run in the event loop.
    """

    def __init__(self, sched: Scheduler, readers: int = 2, depth: int = 64) -> None:
        """Start the threads; the queue of each lane holds at most `depth` calls."""
        self.sched = sched
        self.queues: dict[str, queue.Queue[tuple[Callable[[], Any], JobCallback] | None]] = {}
        self.results: deque[tuple[str, JobCallback, Any, BaseException | None]] = deque()
        # calls submitted whose results have not been delivered
        self.undelivered = dict.fromkeys((READ_LANE, WRITE_LANE, LOG_LANE), 0)
        self.wakeup = Wakeup()  # no pipe: on the fleet's platform only sockets are certain to be intercepted
        self.wakeup_fd = self.wakeup.fileno()
        self.threads: list[threading.Thread] = []
        for lane, thread_count in ((READ_LANE, readers), (WRITE_LANE, 1), (LOG_LANE, 1)):
            self.queues[lane] = queue.Queue(depth)
            for number in range(thread_count):
                thread = threading.Thread(
                    target=self._run_lane, args=(lane,), name=f"{lane}-{number}", daemon=True
                )
                thread.start()
                self.threads.append(thread)
        sched.keep_running(self._deliver_results)

    def submit(self, lane: str, run: Callable[[], Any], done: JobCallback) -> bool:
        """Queue a call; return False if its lane is full."""
        try:
            self.queues[lane].put_nowait((run, done))
        except queue.Full:
            return False
        self.undelivered[lane] += 1
        return True

    def _run_lane(self, lane: str) -> None:
        while (job := self.queues[lane].get()) is not None:
            run, done = job
            result, error = None, None
            try:
                result = run()
            except Exception as caught:  # noqa: BLE001  the loop handles it
                error = caught
            self.results.append((lane, done, result, error))
            self.wakeup.notify()  # if it is full, the loop has been woken already

    def _deliver_results(self) -> None:
        while self.wakeup_fd >= 0:
            self.sched.wait(self.wakeup_fd, READ)
            if self.wakeup_fd < 0:
                return
            self.wakeup.read_pending()
            while self.results:
                self.drain(MAX_RESULTS_PER_TURN)
                if self.results:  # prevents a long turn after a stall, when all waiting calls end at once
                    self.sched.pause()

    def drain(self, max_results: int = 1 << 30) -> None:
        """Deliver the results of ended calls; an error in one delivery does not affect the others."""
        for _ in range(max_results):
            if not self.results:
                return
            lane, done, result, error = self.results.popleft()
            self.undelivered[lane] -= 1
            try:
                done(result, error)
            except Exception:  # noqa: BLE001  one copy's error must not stop the others
                logger.exception("the result of a store job could not be delivered")

    def wait_until_idle(self, timeout_s: float) -> None:
        """Wait, outside the event loop, until the queues are empty and all results are delivered."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s and (self.results or any(self.undelivered.values())):
            self.drain()
            time.sleep(0.001)

    def close(self, timeout_s: float = 1.0) -> bool:
        """End the threads when their queues are empty; return False if one is busy after the timeout."""
        for lane, lane_queue in self.queues.items():
            for _ in range(sum(thread.name.startswith(lane) for thread in self.threads)):
                with contextlib.suppress(queue.Full):
                    lane_queue.put_nowait(None)
        for thread in self.threads:
            thread.join(timeout_s / len(self.threads))
        self.drain()
        self.sched.unregister(self.wakeup_fd)
        self.wakeup_fd = -1
        self.wakeup.close()
        return not any(thread.is_alive() for thread in self.threads)
