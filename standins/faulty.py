"""Runs the platform's gateway in a process whose clock steps, or whose system calls or files fail; seeded.

    python -m standins.faulty --seed 1 --faults clock,calls,disk -- --memory-tier

The faults are those that the manual pages allow, and they begin once the gateway has had time to start:

- `clock`: the wall clock steps by up to an hour, either way; the monotonic clock goes on.
- `calls`: accept, connect, send, recv, poll and socket fail or do a part of their work. What ends a
  connection for good only happens on connections to servers.
- `disk`: writing, opening and renaming files below $TMPDIR fails, or half of a write is done.
"""

import argparse
import builtins
import errno
import io
import os
import random
import select
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

FAULTS = ("clock", "calls", "disk")
QUIET_S = 0.6  # without faults, after the start
CALL_FAULT_SHARE, DISK_FAULT_SHARE = 0.03, 0.3  # of all calls
FATAL_SHARE = 0.05  # of the faults of connections to servers
STEPS_S = (3600.0, -3600.0, 1.5, -1.5, 30.0)
STEP_INTERVALS_S = (0.3, 2.5)
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPERM)
CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ECONNREFUSED,
)  # fmt: skip
SOCKET_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
SHORTAGES = (errno.ENOBUFS, errno.ENOMEM)
FATAL_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
POLL_ERRORS = (errno.ENOMEM, errno.EINTR)
DISK_ERRORS = (errno.ENOSPC, errno.EIO)


def error(number: int) -> OSError:
    """Return the exception of an error number, of the class that Python gives it."""
    return OSError(number, os.strerror(number))


class Dice:
    """Draws whether a call fails, from one seed."""

    def __init__(self, seed: int, name: str) -> None:
        """Start the time without faults."""
        self.rng, self.begin_s = random.Random(f"{seed}/{name}"), time.monotonic() + QUIET_S

    def fails(self, share: float) -> bool:
        """Return whether the next call fails."""
        return time.monotonic() > self.begin_s and self.rng.random() < share


class SteppingClock:
    """A wall clock that steps from time to time."""

    def __init__(self, seed: int) -> None:
        """Draw the first step."""
        self.dice, self.offset_s = Dice(seed, "clock"), 0.0
        self.real_time, self.next_step_s = time.time, self.dice.begin_s

    def time(self) -> float:
        """Return the time of the wall clock in seconds."""
        while time.monotonic() > self.next_step_s:
            self.next_step_s += self.dice.rng.uniform(*STEP_INTERVALS_S)
            self.offset_s = self.dice.rng.choice((0.0, *STEPS_S))
        return self.real_time() + self.offset_s

    def time_ns(self) -> int:
        """Return the time of the wall clock in nanoseconds."""
        return int(self.time() * 1e9)


class FaultySocket(socket.socket):
    """A socket whose calls fail; those that a peer would lose data by only on connections to servers."""

    dice: Dice

    def __init__(self, *args: Any, **names: Any) -> None:
        """Create a socket, or fail for want of descriptors or memory."""
        is_new = names.get("fileno") is None and len(args) < 4
        if is_new and self.dice.fails(CALL_FAULT_SHARE):
            raise error(self.dice.rng.choice(SOCKET_ERRORS))
        super().__init__(*args, **names)
        self.is_outgoing = False

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept, or fail and leave the connection in the queue."""
        if self.dice.fails(CALL_FAULT_SHARE):
            raise error(self.dice.rng.choice(ACCEPT_ERRORS))
        return super().accept()

    def connect_ex(self, address: Any) -> int:
        """Connect, or return an error."""
        self.is_outgoing = True
        if self.dice.fails(CALL_FAULT_SHARE):
            return self.dice.rng.choice(CONNECT_ERRORS)
        return super().connect_ex(address)

    def _check(self) -> None:
        if self.dice.fails(CALL_FAULT_SHARE):
            if self.is_outgoing and self.dice.rng.random() < FATAL_SHARE:
                self.shutdown(socket.SHUT_RDWR)
                raise error(self.dice.rng.choice(FATAL_ERRORS))
            raise error(self.dice.rng.choice(SHORTAGES))

    def _part(self, size: int) -> int:
        return self.dice.rng.randint(1, size) if size and self.dice.fails(CALL_FAULT_SHARE) else size

    def send(self, data: Any, *flags: int) -> int:
        """Send all, a part, or nothing."""
        self._check()
        return super().send(memoryview(data)[: self._part(len(data))], *flags)

    def sendmsg(self, buffers: Any, *more: Any) -> int:
        """Send all, a part of the first buffer, or nothing."""
        self._check()
        if self.dice.fails(CALL_FAULT_SHARE):
            return super().send(memoryview(buffers[0])[: self._part(len(buffers[0]))])
        return super().sendmsg(buffers, *more)

    def recv_into(self, buffer: Any, size: int = 0, flags: int = 0) -> int:
        """Receive what there is, a part of it, or nothing."""
        self._check()
        return super().recv_into(buffer, self._part(size or len(buffer)), flags)


class FaultyPoll:
    """A poll object whose wait fails now and then."""

    dice: Dice
    real_poll: Callable[[], Any]

    def __init__(self) -> None:
        """Wrap a real poll object."""
        real = type(self).real_poll()
        self.register, self.unregister, self.real_wait = real.register, real.unregister, real.poll

    def poll(self, timeout: float | None = None) -> list[tuple[int, int]]:
        """Wait for events, or fail."""
        if self.dice.fails(CALL_FAULT_SHARE):
            raise error(self.dice.rng.choice(POLL_ERRORS))
        events: list[tuple[int, int]] = self.real_wait(timeout)
        return events


class FaultyFiles:
    """Calls on files below one folder that fail or do half of their work."""

    def __init__(self, seed: int, folder: str) -> None:
        """Fail for paths below `folder`."""
        self.dice, self.folder = Dice(seed, "disk"), folder
        self.real_open, self.real_os_open = io.open, os.open
        self.real_write, self.real_rename = os.write, os.rename

    def install(self) -> None:
        """Put the failing calls in place of the real ones."""
        builtins.open = io.open = self.open
        os.open, os.write, os.rename = self.os_open, self.write, self.rename  # type: ignore[assignment]

    def _check(self, path: Any) -> None:
        if isinstance(path, str | Path) and str(path).startswith(self.folder):
            self._fail()

    def _fail(self) -> None:
        if self.dice.fails(DISK_FAULT_SHARE):
            raise error(self.dice.rng.choice(DISK_ERRORS))

    def open(self, file: Any, *args: Any, **names: Any) -> Any:
        """Open a file, or fail."""
        self._check(file)
        return self.real_open(file, *args, **names)

    def os_open(self, path: Any, *args: Any, **names: Any) -> int:
        """Open a descriptor, or fail."""
        self._check(path)
        return self.real_os_open(path, *args, **names)

    def write(self, descriptor: int, data: bytes) -> int:
        """Write all; or write half and fail, or only write half."""
        if descriptor > 2 and self.dice.fails(DISK_FAULT_SHARE):
            written = self.real_write(descriptor, data[: len(data) // 2])
            if self.dice.rng.random() < 0.5:
                raise error(self.dice.rng.choice(DISK_ERRORS))
            return written
        return self.real_write(descriptor, data)

    def rename(self, source: Any, target: Any, **names: Any) -> None:
        """Rename a file, or fail."""
        self._check(source)
        self.real_rename(source, target, **names)


def install(faults: list[str], seed: int) -> None:
    """Put the faults in place; called before any module of the gateway is imported."""
    if "clock" in faults:
        clock = SteppingClock(seed)
        time.time, time.time_ns = clock.time, clock.time_ns
    if "calls" in faults:
        FaultySocket.dice, FaultyPoll.dice = Dice(seed, "calls"), Dice(seed, "poll")
        FaultyPoll.real_poll = staticmethod(select.poll)
        socket.socket, select.poll = FaultySocket, FaultyPoll  # type: ignore[misc, assignment]
    if "disk" in faults:
        FaultyFiles(seed, os.environ.get("TMPDIR", "/nowhere")).install()


def main() -> int:
    """Install the faults and run the gateway with the words behind `--`."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", default=",".join(FAULTS), help="comma-separated: " + ", ".join(FAULTS))
    parser.add_argument("words", nargs="*", help="of the gateway's command line, behind --")
    options = parser.parse_args()
    faults = [name for name in options.faults.split(",") if name]
    if unknown := set(faults) - set(FAULTS):
        parser.error(f"unknown faults: {', '.join(sorted(unknown))}")
    install(faults, options.seed)
    from hitchtiller.__main__ import main as run_gateway

    sys.argv[1:] = options.words
    return run_gateway()


if __name__ == "__main__":
    sys.exit(main())
