"""A scheduler of greenlets over select.poll: timers in a heap, non-blocking sockets, bounded buffers."""

import contextlib
import errno
import heapq
import select
import socket
import time
from collections import deque
from collections.abc import Callable
from itertools import count
from typing import Any

from greenlet import getcurrent, greenlet

from hitchtiller.log import logger

RECV_BYTES = 65_536  # bytes asked of a socket at once
MAX_SEND_BUFFERS = 16  # buffers handed to one sendmsg
MIN_STALL_MS = 300.0  # between two turns: sweeps alone come oftener, so the process did not run
LAG_LIMIT_MS = 20.0  # since the last look, from which what has come meanwhile is read before anything is sent
READ = select.POLLIN
WRITE = select.POLLOUT


def now_ms() -> float:
    """Read the one clock that everything here goes by: Unix milliseconds."""
    return time.time() * 1000.0


class Timer:
    """A call that is due at a time, unless it is cancelled."""

    __slots__ = ("call", "due_s")

    def __init__(self, due_s: float, call: Callable[[], object]) -> None:
        """Note when to call what."""
        self.due_s = due_s
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        """Let it pass; what it holds is freed at once."""
        self.call = None


class PollInterrupted(Exception):  # noqa: N818  it is no error: the name says what happened
    """A signal came while the loop waited in poll: raised by its handler so that poll returns at once."""


class Scheduler:
    """Runs greenlets on one thread; each waits for a socket, a signal or a time."""

    def __init__(self) -> None:
        """Start with nothing to run."""
        self.poll = select.poll()
        self.waiters: dict[int, dict[int, greenlet]] = {}  # descriptor: event: who waits
        self.poll_masks: dict[int, int] = {}  # what poll was told to look for
        self.runnable: deque[tuple[greenlet, Any]] = deque()
        self.timers: list[tuple[float, int, Timer]] = []
        self.timer_order = count()
        self.urgent: set[greenlet] = set()  # these run before all others of a turn
        self.hub: greenlet = getcurrent()
        self.stopped = False
        self.last_poll_ms = self.arrival_ms = now_ms()
        self.lag_ms = 0.0  # longest turn of the loop since it was last read
        self.resumed_ms = 0.0  # when it last went on after a time in which it did not run
        self.signal_calls: deque[Callable[[], object]] = deque()  # calls of signals not yet begun
        self.is_polling = False  # the loop is in poll, or about to be: a signal has to break it

    def spawn(self, run: Callable[..., object], *args: Any, urgent: bool = False) -> greenlet:
        """Start a greenlet; an exception in it is logged and ends it alone, never the loop."""

        def guarded(_: object = None) -> None:
            try:
                run(*args)
            except Exception:  # noqa: BLE001  one connection's fault must not take the others along
                logger.exception("a task failed")
            finally:
                self.urgent.discard(task)

        task = greenlet(guarded, parent=self.hub)
        if urgent:
            self.urgent.add(task)
        self.wake(task)
        return task

    def later(self, delay_ms: float, call: Callable[[], object]) -> Timer:
        """Call something after a while, in the loop."""
        timer = Timer(time.monotonic() + max(0.0, delay_ms) / 1000.0, call)
        heapq.heappush(self.timers, (timer.due_s, next(self.timer_order), timer))
        return timer

    def wake(self, task: greenlet, value: Any = None) -> None:
        """Let a parked greenlet go on in this turn of the loop."""
        if task in self.urgent:  # guards operators' calls against a loop that is full of client work
            self.runnable.appendleft((task, value))
        else:
            self.runnable.append((task, value))

    def park(self) -> Any:
        """Stop the current greenlet until it is woken; gives what it was woken with."""
        return self.hub.switch()

    def pause(self) -> None:
        """Let the others have a turn."""
        self.wake(getcurrent())
        self.park()

    def is_lagging(self) -> bool:
        """Tell whether much may have come that was not looked for yet."""
        return now_ms() - self.last_poll_ms > LAG_LIMIT_MS

    def look(self) -> None:
        """Let the loop look once more, and those run for whom something has come."""
        self.pause()

    def sleep(self, delay_ms: float) -> None:
        """Park for a while."""
        current = getcurrent()
        self.later(delay_ms, lambda: self.wake(current))
        self.park()

    def wait(self, fd: int, event: int, timeout_ms: float | None = None) -> bool:
        """Park until a descriptor is ready (also: has failed or was closed); False if time ran out."""
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
            self.wake(task, value)  # still registered: mostly it waits for the same again

    def forget(self, fd: int) -> None:
        """Wake whoever waits for a descriptor that is about to be closed."""
        for event in list(self.waiters.get(fd, ())):
            self._wake_waiter(fd, event, True)
        self.waiters.pop(fd, None)
        if self.poll_masks.pop(fd, 0):
            self.poll.unregister(fd)

    def run(self) -> None:
        """Run until stopped."""
        self.hub = getcurrent()
        while not self.stopped:
            self.turn()

    def call_from_signal(self, call: Callable[[], object]) -> None:
        """Run `call` in a greenlet of its own at the next turn; made from a signal handler, in no greenlet.

        No descriptor is written: the fleet's platform refuses socketpair and leads a socket's send and
        poll to itself, and neither a write from C nor a datagram to oneself was ever seen there. A handler
        runs in the main thread between two steps of Python, or inside poll on EINTR; if the loop is in
        poll, or about to enter it, the handler raises `PollInterrupted`, which poll gives back at once.
        """
        self.signal_calls.append(call)
        if self.is_polling:
            self.is_polling = False  # once: a second signal in the same turn must not raise outside the try
            raise PollInterrupted

    def turn(self) -> None:
        """Wait for what comes first, then run all that is due."""
        timeout_ms = None
        if self.runnable:
            timeout_ms = 0.0
        elif self.timers:
            timeout_ms = max(0.0, (self.timers[0][0] - time.monotonic()) * 1000.0)
        poll_start_s = time.monotonic()
        try:
            self.is_polling = True
            if self.signal_calls:  # came before the flag was up: nobody else would break the wait
                timeout_ms = 0.0
            # poll counts whole milliseconds; rounding up keeps a timer from spinning the loop
            ready_events = self.poll.poll(None if timeout_ms is None else int(timeout_ms + 0.999))
            self.is_polling = False
        except (
            InterruptedError,
            PollInterrupted,
        ):  # what poll had found is found again: poll is level-triggered
            self.is_polling = False
            ready_events = []
        # what has come is heard before what was made ready earlier goes on: a client may have gone meanwhile
        carried_over, self.runnable = self.runnable, deque()
        while self.signal_calls:
            self.spawn(self.signal_calls.popleft())
        turn_start_s = time.monotonic()
        # what has come since the last look may be that old, unless poll had to wait for it: deadlines of
        # requests that lay unread in a busy turn are counted from here
        previous_poll_ms, self.last_poll_ms = self.last_poll_ms, now_ms()
        if previous_poll_ms and self.last_poll_ms - previous_poll_ms > MIN_STALL_MS:
            self.resumed_ms = self.last_poll_ms
        self.arrival_ms = self.last_poll_ms if turn_start_s - poll_start_s > 0.001 else previous_poll_ms
        for fd, mask in ready_events:
            failed = mask & ~(READ | WRITE)
            woken = False
            for event in list(self.waiters.get(fd, ())):
                if failed or mask & event:
                    self._wake_waiter(fd, event, True)
                    woken = True
            if not woken:  # guards against spinning on what nobody waits for
                self._update_poll(fd)
        for task, value in carried_over:
            self.wake(task, value)
        self._run_due_timers(turn_start_s)
        for _ in range(len(self.runnable)):
            task, value = self.runnable.popleft()
            if not task.dead:
                task.switch(value)
            # guards deadlines in a busy turn: at 0.15 s of lag some answers came after the client had gone
            if self.timers and self.timers[0][0] <= (now_s := time.monotonic()):
                self._run_due_timers(now_s)
        self.lag_ms = max(self.lag_ms, (time.monotonic() - turn_start_s) * 1000.0)

    def _run_due_timers(self, now_s: float) -> None:
        """Make the calls that are due."""
        while self.timers and self.timers[0][0] <= now_s:
            timer = heapq.heappop(self.timers)[2]
            if timer.call is not None:
                try:
                    timer.call()
                except Exception:  # noqa: BLE001  one late call must not take the loop along
                    logger.exception("a timer failed")


class Clock:
    """The scheduler's time, as the engine wants it."""

    def __init__(self, sched: Scheduler) -> None:
        """Call later by way of a scheduler."""
        self.now_ms = now_ms
        self.later = sched.later


class Closed(Exception):
    """A socket's stream has ended; the text is the reason code."""


class Stream:
    """A non-blocking TCP socket: reads park, writes are buffered up to a bound."""

    opened = 0  # sockets of this process
    buffered_bytes = 0  # bytes buffered in all of them, both ways

    def __init__(self, sched: Scheduler, sock: socket.socket) -> None:
        """Take a socket over."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sched, self.sock, self.fd = sched, sock, sock.fileno()
        self.unsent: deque[memoryview] = deque()
        self.size = 0  # bytes that wait in `out`
        self.progress_ms = 0.0  # when bytes last left it
        self.is_flushing = False
        self.drained = True  # the last read took all there was
        self.code = ""  # why it was closed
        self.kept = 0  # bytes that its reader holds
        self.shutdown_requested = False  # nothing more will be written
        Stream.opened += 1

    def connect(self, address: tuple[str, int], timeout_ms: float) -> None:
        """Connect or raise Closed: `refused`, or `silent` where nothing came in time."""
        error = self.sock.connect_ex(address)
        if error == errno.EINPROGRESS:
            if not self.sched.wait(self.fd, WRITE, timeout_ms):
                raise Closed("silent")
            if self.code:
                raise Closed(self.code)
            error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise Closed("refused")

    def read(self, timeout_ms: float | None = None) -> bytes:
        """Wait for bytes; raise Closed with eof, reset, silent or the code it was closed with."""
        while True:
            if self.code:
                raise Closed(self.code)
            if self.drained:  # nothing is there: asking the socket first would cost a call each time
                self.drained = False
                if not self.sched.wait(self.fd, READ, timeout_ms):
                    raise Closed("silent")
                continue
            try:
                data = self.sock.recv(RECV_BYTES)
            except BlockingIOError:
                self.drained = True
                continue
            except OSError:
                raise Closed("reset") from None
            if not data:
                raise Closed("eof")
            self.drained = len(data) < RECV_BYTES
            return data

    def write(self, *parts: bytes | memoryview) -> None:
        """Send at once what the socket takes and buffer the rest; the caller bounds `size`."""
        if self.code:
            return
        if not self.unsent:
            self.progress_ms = now_ms()
        for part in parts:
            if len(part):
                self.unsent.append(memoryview(part))
                self.size += len(part)
                Stream.buffered_bytes += len(part)
        if not self.is_flushing:
            self._send_unsent()
            if self.unsent and not self.code:
                self.is_flushing = True
                self.sched.spawn(self._flush)

    def write_whole(self, data: bytes) -> bool:
        """Send all of it, parking while the socket takes no more; False if the end came first."""
        self.is_flushing = True
        self.write(data)
        self._send_unsent()
        self._flush()
        return not self.code

    def keep(self, size: int) -> None:
        """Count the bytes that its reader holds of what can't be read whole yet."""
        if size != self.kept and not self.code:
            Stream.buffered_bytes += size - self.kept
            self.kept = size

    def waiting(self) -> bool:
        """Tell whether something has come that was not read, the end included."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return not isinstance(error, BlockingIOError)
        return True

    def at_end(self) -> bool:
        """Tell whether nothing is left to read but the end: the other side has closed, or broken off."""
        try:
            return not self.code and not self.sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return not isinstance(error, BlockingIOError)

    def discard(self) -> None:
        """Drop what has not been sent: nothing sensible can be written after it."""
        self.unsent.clear()
        Stream.buffered_bytes -= self.size
        self.size = 0

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
            self.size -= sent
            Stream.buffered_bytes -= sent
            self.progress_ms = now_ms()
            while sent:
                head = self.unsent[0]
                if sent < len(head):
                    self.unsent[0] = head[sent:]
                    break
                sent -= len(head)
                self.unsent.popleft()

    def _flush(self) -> None:
        while self.unsent and not self.code:
            self.sched.wait(self.fd, WRITE)
            if not self.code:
                self._send_unsent()
        self.is_flushing = False
        if self.shutdown_requested:
            self.finish()

    def finish(self) -> None:
        """Shut down writing once all that is buffered has gone out; reading goes on."""
        self.shutdown_requested = True
        if not self.unsent and not self.code:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)

    def close(self, code: str) -> None:
        """Close it once; the first reason code stays, and a parked reader wakes with it."""
        if self.code:
            return
        self.keep(0)
        self.code = code
        self.discard()
        self.sched.forget(self.fd)
        self.sock.close()
        Stream.opened -= 1
