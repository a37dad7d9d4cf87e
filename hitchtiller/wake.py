"""A descriptor that wakes the loop from other threads: a UDP socket on loopback, connected to itself.

The fleet's platform only offers a process TCP and UDP over IPv4: no Unix sockets (so no `socketpair`), no
fork and no child processes. The store's worker threads therefore write to a datagram socket that is bound to
127.0.0.1 on a port chosen by the kernel and connected to its own address. It accepts datagrams from itself
only, so no other socket can reach it. It is used by `hitchtiller serve` on an ordinary kernel. On the fleet's
platform a datagram that a socket sent to itself never arrived (seen in a rough roll+mass run, seed 3), so
signals wake the loop without a descriptor (`Scheduler.call_from_signal`).

Bounds: one descriptor. Each `notify` is one datagram of one byte, which is dropped if the socket's buffer is
full (the loop is due to wake anyway). `read_pending` reads at most `max_datagrams` datagrams in one turn.
"""

import contextlib
import socket

LOOPBACK = "127.0.0.1"
MAX_DATAGRAMS_PER_TURN = 64  # by one `read_pending`; also the bytes requested by a recv, where 1 would do


class Wakeup:
    """A socket whose writes wake its reader; usable from any thread and from C (`signal.set_wakeup_fd`)."""

    def __init__(self) -> None:
        """Bind and connect the socket; raise OSError if loopback is not available."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.sock.bind((LOOPBACK, 0))
            self.sock.connect(self.sock.getsockname())
            self.sock.setblocking(False)
        except OSError:
            self.sock.close()
            raise

    def fileno(self) -> int:
        """Return the descriptor to wait on or to pass to `signal.set_wakeup_fd`; -1 once closed."""
        return self.sock.fileno()

    def notify(self, byte: int = 0) -> None:
        """Wake the reader; a full buffer is ignored, as the reader is due to wake already."""
        with contextlib.suppress(BlockingIOError, InterruptedError):
            self.sock.send(bytes((byte & 0xFF,)))

    def read_pending(self, max_datagrams: int = MAX_DATAGRAMS_PER_TURN) -> bytes:
        """Return the bytes of at most `max_datagrams` received datagrams; empty if there are none."""
        received = bytearray()
        for _ in range(max_datagrams):
            try:
                received += self.sock.recv(MAX_DATAGRAMS_PER_TURN)
            except (BlockingIOError, InterruptedError):
                break
        return bytes(received)

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()
