"""A descriptor that wakes the loop: one UDP socket on loopback, connected to itself.

The fleet's platform gives a process TCP and UDP over IPv4 and nothing else: no Unix sockets (so no
`socketpair`), no fork, no child programs. So the store's worker threads write into one datagram socket
bound to 127.0.0.1 on a port the kernel picks and connected to that same address: it takes datagrams from
itself alone, so nobody else can reach it. It serves `hitchtiller serve` on an ordinary kernel; on the
fleet's platform a datagram to oneself was never seen (a rough roll+mass, seed 3), which is why signals
wake the loop without any descriptor (`Scheduler.call_from_signal`).

Bounds: one descriptor; each `poke` is one datagram of one byte, dropped when the socket's buffer is full
(the loop has been told already); `drain` reads at most `max_datagrams` datagrams in one turn.
"""

import contextlib
import socket

LOOPBACK = "127.0.0.1"
MAX_DATAGRAMS_PER_TURN = 64  # datagrams read in one turn


class Wakeup:
    """Writes that wake a reader; safe to poke from any thread or from C (`signal.set_wakeup_fd`)."""

    def __init__(self) -> None:
        """Bind and connect; OSError if loopback can't be had."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.sock.bind((LOOPBACK, 0))
            self.sock.connect(self.sock.getsockname())
            self.sock.setblocking(False)
        except OSError:
            self.sock.close()
            raise

    def fileno(self) -> int:
        """The descriptor to wait on, or to hand to `signal.set_wakeup_fd`; -1 once closed."""
        return self.sock.fileno()

    def poke(self, byte: int = 0) -> None:
        """Wake the reader; a full buffer is no error: it is awake already."""
        with contextlib.suppress(BlockingIOError, InterruptedError):
            self.sock.send(bytes((byte & 0xFF,)))

    def drain(self, max_datagrams: int = MAX_DATAGRAMS_PER_TURN) -> bytes:
        """Give the bytes of what arrived, at most `max_datagrams` datagrams; empty when nothing had."""
        received = bytearray()
        for _ in range(max_datagrams):
            try:
                received += self.sock.recv(MAX_DATAGRAMS_PER_TURN)
            except (BlockingIOError, InterruptedError):
                break
        return bytes(received)

    def close(self) -> None:
        """Let the descriptor go."""
        self.sock.close()
