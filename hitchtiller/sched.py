"""A cooperative scheduler: greenlets on one thread over `select.poll`, with timers and non-blocking streams.

A greenlet parks until a socket is ready, a time has come or another greenlet wakes it. `Scheduler.run_once`
is one round of the loop: poll, wake the greenlets whose events came, make the calls that are due, then run
what is runnable. `Stream` is a TCP socket for greenlets. A greenlet is never preempted, so none may compute
long.
"""

import contextlib
import errno
import fcntl
import heapq
import select
import socket
import struct
import termios
import time
from collections import deque
from collections.abc import Callable
from itertools import count
from typing import Any

from greenlet import getcurrent, greenlet

from hitchtiller.log import logger

RECV_BYTES = 65_536  # requested by one recv
MAX_SEND_BUFFERS = 16  # passed to one sendmsg
# A longer time between two polls means that the process did not run: its own sweeps are more frequent.
MIN_STALL_MS = 300.0
# After a longer time since the last poll, sockets are read before anything is sent, as clients may have left.
LAG_LIMIT_MS = 20.0
READ = select.POLLIN
WRITE = select.POLLOUT
KERNEL_INT = struct.Struct("i")  # the result of an ioctl


def now_ms() -> float:
    """Return the current time in Unix milliseconds, the clock of all points in time named `..._ms`."""
    return time.time() * 1000.0


class Timer:
    """A call that is made at a given time unless it is cancelled."""

    __slots__ = ("call", "due_s")

    def __init__(self, due_s: float, call: Callable[[], object]) -> None:
        """Schedule `call` for a time of the monotonic clock, in seconds."""
        self.due_s = due_s
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        """Cancel the call and release its references at once."""
        self.call = None


class PollInterrupted(Exception):  # noqa: N818  not an error: raised to end a wait
    """Raised by a signal handler while the loop waits in poll, so that poll returns at once."""


class Scheduler:
    """Runs greenlets on one thread; each may wait for a socket, for a time or for another greenlet."""

    def __init__(self) -> None:
        """Create a scheduler without tasks; the calling greenlet is its loop until `run` is called."""
        self.poll = select.poll()
        self.waiters: dict[int, dict[int, greenlet]] = {}  # by descriptor and event
        self.poll_masks: dict[int, int] = {}  # by descriptor: the events registered with poll
        self.runnable: deque[tuple[greenlet, Any]] = deque()
        self.timers: list[tuple[float, int, Timer]] = []
        self.timer_order = count()
        self.urgent_tasks: set[greenlet] = set()  # run before all others of a turn
        self.hub: greenlet = getcurrent()
        self.stopped = False
        # when the loop last polled, and the earliest time at which the data found then may have arrived
        self.last_poll_ms = self.earliest_arrival_ms = now_ms()
        self.lag_ms = 0.0  # longest turn since a reader last reset it
        self.resumed_ms = 0.0  # when the process last resumed after a stall
        self.signal_calls: deque[Callable[[], object]] = deque()  # from signal handlers, not started yet
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

    def later(self, delay_ms: float, call: Callable[[], object]) -> Timer:
        """Make a call in the loop after a delay; the returned timer can cancel it."""
        timer = Timer(time.monotonic() + max(0.0, delay_ms) / 1000.0, call)
        heapq.heappush(self.timers, (timer.due_s, next(self.timer_order), timer))
        return timer

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
        """Let the other runnable greenlets run first."""
        self.wake(getcurrent())
        self.park()

    def is_lagging(self) -> bool:
        """Return whether much data may have arrived since the last poll."""
        return now_ms() - self.last_poll_ms > LAG_LIMIT_MS

    def poll_again(self) -> None:
        """Let the loop poll again, and let the greenlets run whose events have come."""
        self.pause()

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
        if self.runnable:
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
        # tasks with new events run before those that were runnable already: a client may have left meanwhile
        carried_over, self.runnable = self.runnable, deque()
        while self.signal_calls:
            self.spawn(self.signal_calls.popleft())
        turn_start_s = time.monotonic()
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
            if not task.dead:
                task.switch(value)
            # Prevents late timers in a long turn: at a lag of 0.15 s, some answers due at a deadline were
            # sent after the client had left.
            if self.timers and self.timers[0][0] <= (now_s := time.monotonic()):
                self._run_due_timers(now_s)
        self.lag_ms = max(self.lag_ms, (time.monotonic() - turn_start_s) * 1000.0)

    def _run_due_timers(self, now_s: float) -> None:
        """Make the calls that are due at `now_s`."""
        while self.timers and self.timers[0][0] <= now_s:
            timer = heapq.heappop(self.timers)[2]
            if timer.call is not None:
                try:
                    timer.call()
                except Exception:  # noqa: BLE001  a fault in one call must not end the loop
                    logger.exception("a timer's call failed")


class Clock:
    """The scheduler's time and timers, as the engine's `Clock` protocol."""

    def __init__(self, sched: Scheduler) -> None:
        """Schedule calls by a scheduler."""
        self.now_ms = now_ms
        self.later = sched.later


class StreamClosed(Exception):
    """The stream of a socket has ended; the text is the reason code."""


class Stream:
    """A non-blocking TCP socket: reads park the greenlet, writes are buffered.

    The caller has to bound `unsent_bytes`; `buffered_bytes` is the total over all streams of the process.
    """

    open_count = 0  # open sockets of this process
    buffered_bytes = 0  # in all of them, received and to be sent

    def __init__(self, sched: Scheduler, sock: socket.socket) -> None:
        """Take over a socket; it is closed by `close` only."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sched, self.sock, self.fd = sched, sock, sock.fileno()
        self.unsent: deque[memoryview] = deque()
        self.unsent_bytes = 0  # bytes in `unsent`
        self.sent_bytes = self.acknowledged_bytes = (
            0  # handed to the kernel, and acknowledged at the last check
        )
        # When bytes were last sent or seen to be acknowledged, or a write last found `unsent` empty.
        self.last_progress_ms = 0.0
        self.is_flushing = False
        self.input_drained = True  # no unread input is known: the last read emptied the receive buffer
        self.close_code = ""  # reason code of the close; empty while open
        self.reader_bytes = 0  # bytes of incomplete input that its reader holds
        self.shutdown_requested = False  # writing is shut down once `unsent` is empty
        Stream.open_count += 1

    def connect(self, address: tuple[str, int], timeout_ms: float) -> None:
        """Connect, or raise StreamClosed: `refused`, `silent` on a timeout, or the code of its close."""
        error = self.sock.connect_ex(address)
        if error == errno.EINPROGRESS:
            if not self.sched.wait(self.fd, WRITE, timeout_ms):
                raise StreamClosed("silent")
            if self.close_code:
                raise StreamClosed(self.close_code)
            error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise StreamClosed("refused")

    def read(self, timeout_ms: float | None = None) -> bytes:
        """Wait for bytes, or raise StreamClosed: `eof`, `reset`, `silent` on a timeout, or its code."""
        while True:
            if self.close_code:
                raise StreamClosed(self.close_code)
            if self.input_drained:  # nothing to read: trying recv first would waste a system call
                self.input_drained = False
                if not self.sched.wait(self.fd, READ, timeout_ms):
                    raise StreamClosed("silent")
                continue
            try:
                data = self.sock.recv(RECV_BYTES)
            except BlockingIOError:
                self.input_drained = True
                continue
            except OSError:
                raise StreamClosed("reset") from None
            if not data:
                raise StreamClosed("eof")
            self.input_drained = len(data) < RECV_BYTES
            return data

    def write(self, *parts: bytes | memoryview) -> None:
        """Send what the socket accepts and buffer the rest; the caller has to bound `unsent_bytes`."""
        if self.close_code:
            return
        if not self.unsent:
            self.last_progress_ms = now_ms()
        for part in parts:
            if len(part):
                self.unsent.append(memoryview(part))
                self.unsent_bytes += len(part)
                Stream.buffered_bytes += len(part)
        if not self.is_flushing:
            self._send_unsent()
            if self.unsent and not self.close_code:
                self.is_flushing = True
                self.sched.spawn(self._flush)

    def write_whole(self, data: bytes) -> bool:
        """Send all of `data`, parking while the socket accepts no more; False if it was closed first."""
        self.is_flushing = True
        self.write(data)
        self._send_unsent()
        self._flush()
        return not self.close_code

    def set_reader_bytes(self, size: int) -> None:
        """Set how many bytes of incomplete input its reader holds, for `buffered_bytes`."""
        if size != self.reader_bytes and not self.close_code:
            Stream.buffered_bytes += size - self.reader_bytes
            self.reader_bytes = size

    def has_input(self) -> bool:
        """Return whether unread input has arrived; the end of the stream counts as input."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return not isinstance(error, BlockingIOError)
        return True

    def is_at_end(self) -> bool:
        """Return whether the other side has closed or reset the connection and no data is left to read."""
        try:
            return not self.close_code and not self.sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return not isinstance(error, BlockingIOError)

    def undelivered_bytes(self) -> int:
        """Return how many written bytes the other side's kernel has not acknowledged.

        Where the system does not tell what its send buffer holds, only the unsent bytes count.
        """
        return self.unsent_bytes + self._bytes_in_send_buffer()

    def _bytes_in_send_buffer(self) -> int:
        """Return the size of the kernel's send queue (ioctl SIOCOUTQ, see tcp(7)); 0 if it can't be had."""
        if self.close_code:
            return 0
        try:
            result = fcntl.ioctl(self.fd, termios.TIOCOUTQ, bytes(KERNEL_INT.size))
        except OSError:
            return 0
        return int(KERNEL_INT.unpack(result)[0])

    def check_progress(self, now: float) -> None:
        """Record progress at `now` if more bytes were acknowledged than at the last check."""
        acknowledged_bytes = self.sent_bytes - self._bytes_in_send_buffer()
        if acknowledged_bytes > self.acknowledged_bytes:
            self.acknowledged_bytes, self.last_progress_ms = acknowledged_bytes, now

    def discard_unsent(self) -> None:
        """Drop all unsent data; nothing meaningful can be written on the stream after that."""
        self.unsent.clear()
        Stream.buffered_bytes -= self.unsent_bytes
        self.unsent_bytes = 0

    def _send_unsent(self) -> None:
        while self.unsent:
            try:
                if len(self.unsent) == 1:
                    sent = self.sock.send(self.unsent[0])
                else:
                    sent = self.sock.sendmsg(
                        [self.unsent[i] for i in range(min(MAX_SEND_BUFFERS, len(self.unsent)))]
                    )
            except BlockingIOError:
                return
            except OSError:
                self.close("reset")
                return
            self.unsent_bytes -= sent
            self.sent_bytes += sent
            Stream.buffered_bytes -= sent
            self.last_progress_ms = now_ms()
            while sent:
                head = self.unsent[0]
                if sent < len(head):
                    self.unsent[0] = head[sent:]
                    break
                sent -= len(head)
                self.unsent.popleft()

    def _flush(self) -> None:
        while self.unsent and not self.close_code:
            self.sched.wait(self.fd, WRITE)
            if not self.close_code:
                self._send_unsent()
        self.is_flushing = False
        if self.shutdown_requested:
            self.finish()

    def finish(self) -> None:
        """Shut down writing once all buffered data is sent; reading continues."""
        self.shutdown_requested = True
        if not self.unsent and not self.close_code:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)

    def close(self, code: str) -> None:
        """Close the socket once; the first reason code is kept, and a parked reader is woken with it."""
        if self.close_code:
            return
        self.set_reader_bytes(0)
        self.close_code = code
        self.discard_unsent()
        self.sched.unregister(self.fd)
        self.sock.close()
        Stream.open_count -= 1
