"""A cooperative scheduler: greenlets on one thread over `select.poll`, with timers.

A greenlet parks until a socket is ready, a time has come or another greenlet wakes it. `Scheduler.run_once`
is one round of the loop: poll, wake the greenlets whose events came, make the calls that are due, then run
what is runnable. A greenlet is never preempted, so none may compute long.
"""

import heapq
import math
import select
import time
from collections import deque
from collections.abc import Callable
from itertools import count
from typing import Any

from greenlet import getcurrent, greenlet

from hitchtiller.account import Account
from hitchtiller.error_boundary import ErrorBoundary
from hitchtiller.log import logger

# A longer time between two polls means that the process was stopped: its own sweeps are more frequent.
MIN_STALL_MS = 300.0
# After a longer time since the last poll, sockets are read before anything is sent, as clients may have left.
LAG_LIMIT_MS = 20.0
LONG_TURN_S = 0.01
MIN_CANCELLED_TIMERS = 1_000  # removing fewer of them is not worth the time
PAUSED_SHARE_S = 0.02  # of a turn
RESTART_DELAY_MS = 100.0  # of a task that has to go on, after an exception
POLL_RETRY_S, POLL_FAILURE_LOG_S = 0.001, 1.0  # after poll has failed; between two lines about it
READ = select.POLLIN
WRITE = select.POLLOUT


# What the wall clock was ahead of the monotonic clock when this process started.
START_OFFSET_MS = float(round((time.time() - time.monotonic()) * 1000.0))


def now_ms() -> float:
    """Return the clock of all spans and deadlines: Unix milliseconds that don't follow steps of the clock.

    It goes on from the wall clock at the start of the process by the monotonic clock.
    """
    return START_OFFSET_MS + time.monotonic() * 1000.0


def wall_ms() -> float:
    """Return the wall clock in Unix milliseconds, for comparisons with times that other machines state."""
    return time.time() * 1000.0


def to_monotonic_ms(at_ms: float) -> float:
    """Return a time of `now_ms` as one of the monotonic clock, which all processes of a machine share."""
    return at_ms - START_OFFSET_MS


def from_monotonic_ms(at_ms: float) -> float:
    """Return a time of the monotonic clock as one of `now_ms`."""
    return at_ms + START_OFFSET_MS


class Timer:
    """A call that is made at a given time unless it is cancelled."""

    __slots__ = ("call", "due_s", "on_cancel")

    def __init__(self, due_s: float, call: Callable[[], object], on_cancel: Callable[[], None]) -> None:
        """Schedule `call` for a time of the monotonic clock, in seconds; a cancel calls `on_cancel`."""
        self.due_s, self.on_cancel = due_s, on_cancel
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        """Cancel the call and release its references at once."""
        if self.call is not None:
            self.call = None
            self.on_cancel()


class PollInterrupted(Exception):  # noqa: N818  not an error: raised to end a wait
    """Raised by a signal handler while the loop waits in poll, so that poll returns at once."""


class Scheduler:
    """Runs greenlets on one thread; each may wait for a socket, for a time or for another greenlet."""

    def __init__(self) -> None:
        """Create a scheduler without tasks; the calling greenlet is its loop until `run` is called."""
        self.account = Account()  # of the memory that connections of this loop hold
        self.poll = select.poll()
        self.waiters: dict[int, dict[int, greenlet]] = {}  # by descriptor and event
        self.poll_masks: dict[int, int] = {}  # by descriptor: the events registered with poll
        self.runnable: deque[tuple[greenlet, Any]] = deque()
        self.paused: deque[greenlet] = deque()  # the one that has waited longest first
        self.timers: list[tuple[float, int, Timer]] = []
        self.timer_order = count()
        self.cancelled_timers = 0  # of `timers`
        self.urgent_tasks: set[greenlet] = set()  # run before all others of a turn
        self.hub: greenlet = getcurrent()
        self.stopped = False
        # when the loop last polled, and the earliest time at which the data found then may have arrived
        self.last_poll_ms = self.earliest_arrival_ms = now_ms()
        self.turn_start_s = 0.0  # when the present turn began, on the monotonic clock
        self.poll_failure_s = -math.inf  # when a failure of poll was last logged
        self.lag_ms = 0.0  # longest turn since a reader last reset it
        self.resumed_ms = 0.0  # when the process last resumed after a stall
        self.signal_calls: deque[Callable[[], object]] = deque()  # from signal handlers, not started yet
        self.errors = ErrorBoundary()
        self.is_polling = False  # in poll or about to enter it: a signal handler has to interrupt it

    def spawn(self, run: Callable[..., object], *args: Any, urgent: bool = False) -> greenlet:
        """Start a greenlet; an exception in it is logged and ends this greenlet only, never the loop."""

        def guarded(_: object = None) -> None:
            try:
                run(*args)
            except Exception:  # noqa: BLE001  a fault in one connection must not end the others
                logger.exception("a background task failed")
            finally:
                self.urgent_tasks.discard(task)

        task = greenlet(guarded, parent=self.hub)
        if urgent:
            self.urgent_tasks.add(task)
        self.wake(task)
        return task

    def keep_running(self, run: Callable[..., object], *args: Any, urgent: bool = False) -> greenlet:
        """Start a greenlet without which the process is of no use: after an exception `run` is called again.

        It ends when `run` returns.
        """
        name = getattr(run, "__qualname__", repr(run))

        def repeat() -> None:
            while not self.errors.call(name, run, *args):
                self.sleep(RESTART_DELAY_MS)

        return self.spawn(repeat, urgent=urgent)

    def later(self, delay_ms: float, call: Callable[[], object]) -> Timer:
        """Make a call in the loop after a delay; the returned timer can cancel it."""
        timer = Timer(time.monotonic() + max(0.0, delay_ms) / 1000.0, call, self._count_cancelled)
        heapq.heappush(self.timers, (timer.due_s, next(self.timer_order), timer))
        return timer

    def _count_cancelled(self) -> None:
        """Remove the cancelled timers once they are most of all: a deadline may be minutes away."""
        self.cancelled_timers += 1
        if self.cancelled_timers > max(MIN_CANCELLED_TIMERS, len(self.timers) // 2):
            # in place: the loop may be going through the list
            self.timers[:] = [entry for entry in self.timers if entry[2].call is not None]
            heapq.heapify(self.timers)
            self.cancelled_timers = 0

    def wake(self, task: greenlet, value: Any = None) -> None:
        """Resume a parked greenlet in this turn of the loop; `park` returns `value` to it."""
        if task in self.urgent_tasks:  # keeps operators' calls responsive in a loop full of client work
            self.runnable.appendleft((task, value))
        else:
            self.runnable.append((task, value))

    def park(self) -> Any:
        """Suspend the current greenlet until it is woken; return the value passed to `wake`."""
        return self.hub.switch()

    def pause(self) -> None:
        """Let all others run first; paused greenlets share a limited part of each turn.

        For long work of one connection, which would delay the others.
        """
        self.paused.append(getcurrent())
        self.park()

    def is_lagging(self) -> bool:
        """Return whether much data may have arrived since the last poll."""
        return now_ms() - self.last_poll_ms > LAG_LIMIT_MS

    def is_turn_long(self) -> bool:
        """Return whether this turn has taken so long that a task should do only a little before it pauses."""
        return time.monotonic() - self.turn_start_s > LONG_TURN_S

    def poll_again(self) -> None:
        """Let the loop poll again, and let the greenlets run whose events have come."""
        self.wake(getcurrent())
        self.park()

    def sleep(self, delay_ms: float) -> None:
        """Suspend the current greenlet for a delay."""
        current = getcurrent()
        self.later(delay_ms, lambda: self.wake(current))
        self.park()

    def wait(self, fd: int, event: int, timeout_ms: float | None = None) -> bool:
        """Park until a descriptor is ready, has failed or is being closed; return False on a timeout."""
        current = getcurrent()
        tasks = self.waiters.get(fd)
        if tasks is None:
            tasks = self.waiters[fd] = {}
        tasks[event] = current
        if self.poll_masks.get(fd, 0) & event == 0:
            self._update_poll(fd)
        timer = None
        if timeout_ms is not None:
            timer = self.later(timeout_ms, lambda: self._wake_waiter(fd, event, False))
        try:
            return bool(self.park())
        finally:
            if timer:
                timer.cancel()

    def _update_poll(self, fd: int) -> None:
        mask = 0
        for event in self.waiters.get(fd, ()):
            mask |= event
        if mask == self.poll_masks.get(fd, 0):
            return
        if mask:
            self.poll_masks[fd] = mask
            self.poll.register(fd, mask)
        else:
            self.waiters.pop(fd, None)
            del self.poll_masks[fd]
            self.poll.unregister(fd)

    def _wake_waiter(self, fd: int, event: int, value: bool) -> None:
        task = self.waiters.get(fd, {}).pop(event, None)
        if task is not None:
            self.wake(task, value)  # still registered: most tasks wait for the same event again

    def unregister(self, fd: int) -> None:
        """Wake the tasks that wait for a descriptor and unregister it; called before it is closed."""
        for event in list(self.waiters.get(fd, ())):
            self._wake_waiter(fd, event, True)
        self.waiters.pop(fd, None)
        if self.poll_masks.pop(fd, 0):
            self.poll.unregister(fd)

    def run(self) -> None:
        """Run the loop in the calling greenlet until `stopped` is set."""
        self.hub = getcurrent()
        while not self.stopped:
            self.run_once()

    def call_from_signal(self, call: Callable[[], object]) -> None:
        """Run `call` in its own greenlet at the next turn; called by signal handlers, outside any task.

        Wakes the loop without writing to a descriptor. The fleet's platform refuses socketpair and
        intercepts a socket's send and poll, and neither a write from C nor a datagram that a socket sent to
        itself ever arrived there. A handler runs in the main thread between two bytecode instructions, or
        inside poll on EINTR. If the loop is in poll or about to enter it, the handler raises
        `PollInterrupted`, which makes poll return at once.
        """
        self.signal_calls.append(call)
        if self.is_polling:
            self.is_polling = False  # a second signal in this turn must not raise outside the try
            raise PollInterrupted

    def run_once(self) -> None:
        """Run one round: wait for the first event or timer, then run all that is due or runnable."""
        timeout_ms = None
        if self.runnable or self.paused:
            timeout_ms = 0.0
        elif self.timers:
            timeout_ms = max(0.0, (self.timers[0][0] - time.monotonic()) * 1000.0)
        poll_start_s = time.monotonic()
        try:
            self.is_polling = True
            if self.signal_calls:  # it came before the flag was set, so nothing would interrupt poll
                timeout_ms = 0.0
            # poll takes whole milliseconds; rounding up prevents a busy loop until a timer is due
            ready_events = self.poll.poll(None if timeout_ms is None else int(timeout_ms + 0.999))
            self.is_polling = False
        except (InterruptedError, PollInterrupted):
            # no event is lost: poll is level-triggered and reports the same ones again
            self.is_polling = False
            ready_events = []
        except OSError as error:  # the kernel has no memory just now
            self.is_polling = False
            ready_events = []
            self._log_poll_failure(error)
            time.sleep(POLL_RETRY_S)
        # tasks with new events run before those that were runnable already: a client may have left meanwhile
        carried_over, self.runnable = self.runnable, deque()
        while self.signal_calls:
            self.spawn(self.signal_calls.popleft())
        self.turn_start_s = turn_start_s = time.monotonic()
        # Data may have arrived as early as the previous poll, unless this poll had to wait for it. Deadlines
        # of requests that stayed unread during a busy turn count from that time.
        previous_poll_ms, self.last_poll_ms = self.last_poll_ms, now_ms()
        if previous_poll_ms and self.last_poll_ms - previous_poll_ms > MIN_STALL_MS:
            self.resumed_ms = self.last_poll_ms
        self.earliest_arrival_ms = (
            self.last_poll_ms if turn_start_s - poll_start_s > 0.001 else previous_poll_ms
        )
        for fd, mask in ready_events:
            failed = mask & ~(READ | WRITE)
            woken = False
            for event in list(self.waiters.get(fd, ())):
                if failed or mask & event:
                    self._wake_waiter(fd, event, True)
                    woken = True
            if not woken:  # prevents a busy loop on an event that no task waits for
                self._update_poll(fd)
        for task, value in carried_over:
            self.wake(task, value)
        self._run_due_timers(turn_start_s)
        for _ in range(len(self.runnable)):
            task, value = self.runnable.popleft()
            self._run(task, value)
        self._run_paused()
        self.lag_ms = max(self.lag_ms, (time.monotonic() - turn_start_s) * 1000.0)

    def _log_poll_failure(self, error: OSError) -> None:
        """Log that poll failed, once a second at most."""
        now_s = time.monotonic()
        if now_s - self.poll_failure_s > POLL_FAILURE_LOG_S:
            self.poll_failure_s = now_s
            logger.warning("poll failed: {}", error.strerror or error)

    def _run(self, task: greenlet, value: Any = None) -> None:
        """Run a greenlet until it parks, then the timers that have become due."""
        if not task.dead:
            task.switch(value)
        # Prevents late timers in a long turn: at a lag of 0.15 s, some answers due at a deadline were sent
        # after the client had left.
        if self.timers and self.timers[0][0] <= (now_s := time.monotonic()):
            self._run_due_timers(now_s)

    def _run_paused(self) -> None:
        """Run paused greenlets, at least one, for PAUSED_SHARE_S at most."""
        end_s = time.monotonic() + PAUSED_SHARE_S
        for _ in range(len(self.paused)):
            self._run(self.paused.popleft())
            if time.monotonic() > end_s:
                return

    def _run_due_timers(self, now_s: float) -> None:
        """Make the calls that are due at `now_s`."""
        while self.timers and self.timers[0][0] <= now_s:
            timer = heapq.heappop(self.timers)[2]
            call, timer.call = timer.call, None
            if call is None:
                self.cancelled_timers = max(0, self.cancelled_timers - 1)
            else:
                try:
                    call()
                except Exception:  # noqa: BLE001  a fault in one call must not end the loop
                    logger.exception("a timer's call failed")


class Clock:
    """The scheduler's time and timers, as the engine's `Clock` protocol."""

    def __init__(self, sched: Scheduler) -> None:
        """Schedule calls by a scheduler."""
        self.now_ms, self.wall_ms = now_ms, wall_ms
        self.later = sched.later
