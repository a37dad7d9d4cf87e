"""The datagram network between gateways, with faults: one socket for each ordered pair, read by one loop.

A gateway identifies a peer by the source address of a datagram, which must be the one in its own `peers`.
Therefore socket S(i, j) represents i towards j: j's list has it as the address of i. What j sends to it is
forwarded to i's real address out of S(j, i), which i's list has as the address of j. Every datagram is a row
of the history: time, sender, receiver, size and result.
"""

import asyncio
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.truth import now_ms


@dataclass(slots=True)
class Faults:
    """The faults of datagrams; `cut(sender, receiver)` returns whether all datagrams are lost."""

    loss_share: float = 0.0
    repeat: float = 0.0
    delay_ms: tuple[float, float] = (0.0, 0.0)
    alter: float = 0.0
    cut: Callable[[int, int], bool] = field(default=lambda a, b: False)


class Fabric:
    """Forwards datagrams among `size` gateways."""

    def __init__(self, size: int, seed: int) -> None:
        """Open the sockets."""
        self.size, self.rng, self.faults = size, random.Random(seed), Faults()
        self.socks: dict[tuple[int, int], socket.socket] = {}
        self.home: dict[int, tuple[str, int]] = {}
        self.history: list[tuple[float, int, int, int, str]] = []
        for i in range(size):
            for j in range(size):
                if i != j:
                    sock = self.socks[i, j] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    sock.setblocking(False)
                    sock.bind(("127.0.0.1", 0))

    def start(self) -> None:
        """Start to forward datagrams, in the running event loop."""
        loop = asyncio.get_running_loop()
        for (i, j), sock in self.socks.items():
            loop.add_reader(sock.fileno(), self._read, i, j, sock)

    def close(self) -> None:
        """Stop forwarding and close the sockets."""
        loop = asyncio.get_running_loop()
        for sock in self.socks.values():
            loop.remove_reader(sock.fileno())
            sock.close()

    def address(self, number: int) -> tuple[str, int]:
        """Return the address on which a gateway is to listen; it stays the same when the gateway restarts."""
        if number not in self.home:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.bind(("127.0.0.1", 0))
                self.home[number] = sock.getsockname()
        return self.home[number]

    def peers(self, number: int) -> list[str]:
        """Return a gateway's list of peers by number; its own entry is the address on which it listens."""
        addresses = []
        for other in range(self.size):
            address = self.address(number) if other == number else self.socks[other, number].getsockname()
            addresses.append(f"{address[0]}:{address[1]}")
        return addresses

    def _read(self, i: int, j: int, sock: socket.socket) -> None:
        """Read what gateway j has sent to S(i, j), which is for i, and apply the faults."""
        while True:
            try:
                data, sender = sock.recvfrom(2048)
            except OSError:
                return
            if sender != self.home.get(j):
                continue
            faults, draw_share = self.faults, self.rng.random
            if faults.cut(j, i) or draw_share() < faults.loss_share:
                self.history.append((now_ms(), j, i, len(data), "lost"))
                continue
            if draw_share() < faults.alter:
                position = self.rng.randrange(len(data))
                data = (
                    data[:position]
                    + bytes((data[position] ^ (1 + self.rng.randrange(255)),))
                    + data[position + 1 :]
                )
            for _ in range(1 + (draw_share() < faults.repeat)):
                delay = self.rng.uniform(*faults.delay_ms) / 1000.0
                self.history.append((now_ms(), j, i, len(data), "passed"))
                asyncio.get_running_loop().call_later(delay, self._forward, i, j, data)

    def _forward(self, i: int, j: int, data: bytes) -> None:
        try:
            self.socks[j, i].sendto(data, self.home[i])
        except OSError:
            self.history.append(
                (now_ms(), j, i, len(data), "unsent")
            )  # a closed socket, or a process that ended
