"""The gateway uses no call that the fleet's platform refuses, and its own ways to wake the loop work."""

import ast
import signal
import threading
import tomllib
from collections.abc import Iterator
from pathlib import Path

from hitchtiller.sched import Scheduler
from hitchtiller.signals import Signals
from hitchtiller.wake import Wakeup

ROOT = Path(__file__).resolve().parent.parent
# Names that are only used for refused calls: child processes, fork, Unix sockets, pipes (which the platform
# may not intercept), zero-copy calls, IPv6.
REFUSED_NAMES = {
    "socketpair",
    "pipe",
    "pipe2",
    "mkfifo",
    "fork",
    "forkpty",
    "posix_spawn",
    "posix_spawnp",
    "system",
    "popen",
    "execv",
    "execve",
    "execvp",
    "execl",
    "execlp",
    "spawnv",
    "spawnl",
    "sendfile",
    "splice",
    "copy_file_range",
    "AF_UNIX",
    "AF_INET6",
    "register_at_fork",
}
REFUSED_MODULES = {"subprocess", "multiprocessing", "pty", "concurrent.futures.process"}


def gateway_files() -> Iterator[Path]:
    """Yield the Python files that the deploy file lists as those of the real gateway."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    for name in [*deploy["node"], *deploy["policy"]]:
        path = ROOT / name
        yield from sorted(path.rglob("*.py")) if path.is_dir() else [path]


def refused_uses(source: str) -> list[tuple[int, str]]:
    """Return the line and name of each refused call or import in a module's source."""
    found = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Attribute) and node.attr in REFUSED_NAMES:
            found.append((node.lineno, node.attr))
        elif isinstance(node, ast.ImportFrom) and node.module:
            found += [(node.lineno, f"{node.module}.{a.name}") for a in node.names if a.name in REFUSED_NAMES]
            if node.module in REFUSED_MODULES:
                found.append((node.lineno, node.module))
        elif isinstance(node, ast.Import):
            found += [(node.lineno, a.name) for a in node.names if a.name in REFUSED_MODULES]
    return found


def test_the_checker_finds_each_kind_of_refused_use() -> None:
    assert refused_uses("import socket\na, b = socket.socketpair()\n") == [(2, "socketpair")]
    assert refused_uses("import os\nr, w = os.pipe2(0)\n") == [(2, "pipe2")]
    assert refused_uses("from os import fork\n") == [(1, "os.fork")]
    assert refused_uses("import subprocess\n") == [(1, "subprocess")]
    assert refused_uses("import socket\ns = socket.socket(socket.AF_UNIX)\n") == [(2, "AF_UNIX")]
    assert refused_uses("import socket\ns = socket.socket(socket.AF_INET)\n") == []


def test_no_file_of_the_gateway_uses_a_call_the_platform_refuses() -> None:
    files = list(gateway_files())
    assert len(files) > 40  # the list of the deploy file was read and is not empty
    found = {
        f"{path.relative_to(ROOT)}:{line} {name}"
        for path in files
        for line, name in refused_uses(path.read_text())
    }
    assert not found, "refused on the fleet's platform: " + ", ".join(sorted(found))


def test_a_poke_from_another_thread_wakes_the_loop() -> None:
    sched, wakeup, received = Scheduler(), Wakeup(), []

    def wait() -> None:
        sched.wait(wakeup.fileno(), 1)
        received.append(wakeup.read_pending())
        sched.stopped = True

    sched.spawn(wait)
    sched.run_once()  # the greenlet now waits on the descriptor
    threading.Thread(target=wakeup.notify, args=(7,)).start()
    sched.run()
    wakeup.close()
    assert received == [b"\x07"]


def test_a_full_socket_drops_pokes_without_an_error() -> None:
    wakeup = Wakeup()
    for _ in range(100_000):  # far beyond a datagram socket's buffer
        wakeup.notify()
    assert 0 < len(wakeup.read_pending(max_datagrams=1_000_000)) < 100_000
    assert wakeup.read_pending() == b""
    wakeup.close()


def test_the_wakeup_ignores_datagrams_from_other_sockets() -> None:
    import socket

    wakeup = Wakeup()
    other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    other.sendto(b"x", wakeup.sock.getsockname())
    wakeup.notify(1)
    assert wakeup.read_pending() == b"\x01"
    other.close()
    wakeup.close()


def count_signal(sched: Scheduler, number: int) -> list[int]:
    received: list[int] = []

    def call() -> None:
        received.append(number)
        sched.stopped = True

    Signals(sched, {number: call})
    return received


def test_a_signal_before_the_loop_waits_is_handled_at_the_next_turn() -> None:
    sched = Scheduler()
    previous = signal.getsignal(signal.SIGUSR1)
    try:
        received = count_signal(sched, signal.SIGUSR1)
        signal.raise_signal(signal.SIGUSR1)  # its handler runs here, outside poll
        sched.run()
    finally:
        signal.signal(signal.SIGUSR1, previous)
    assert received == [signal.SIGUSR1]


def test_a_signal_interrupts_a_poll_that_has_nothing_else_to_wait_for() -> None:
    """Without `PollInterrupted`, a turn without timers and descriptors would never end.

    The alarm ends the test in that case.
    """
    sched, main = Scheduler(), threading.get_ident()
    previous = signal.getsignal(signal.SIGUSR1), signal.getsignal(signal.SIGALRM)

    def send_when_polling() -> None:
        for _ in range(2000):  # for at most 2 s
            if sched.is_polling:
                break
            threading.Event().wait(0.001)
        threading.Event().wait(0.01)  # so that the main thread is in poll, not only past setting the flag
        signal.pthread_kill(main, signal.SIGUSR1)

    def fail_on_alarm(*_: object) -> None:
        raise TimeoutError("the signal did not interrupt poll")

    try:
        received = count_signal(sched, signal.SIGUSR1)
        signal.signal(signal.SIGALRM, fail_on_alarm)
        signal.alarm(5)
        threading.Thread(target=send_when_polling, daemon=True).start()
        sched.run()
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGUSR1, previous[0])
        signal.signal(signal.SIGALRM, previous[1])
    assert received == [signal.SIGUSR1] and not sched.is_polling
