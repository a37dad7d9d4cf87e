"""The network between gateways, with faults: sockets of its own for each ordered pair, one poller for all.

A gateway knows a peer by the address that a datagram comes from, and that must be the one in its own `peers`.
So S(i, j) stands for i towards j: j's list names it for i; what j sends to it is carried on to i's own
address out of S(j, i), which i's list names for j. Every datagram is a row of the history: when, from, to,
its size, what became of it.
"""

import asyncio
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.truth import now_ms


@dataclass(slots=True)
class Faults:
    """What befalls datagrams; shares from 0 to 1, times in ms."""

    loss_share: float = 0.0
    repeat: float = 0.0
    delay_ms: tuple[float, float] = (0.0, 0.0)
    alter: float = 0.0
    cut: Callable[[int, int], bool] = field(default=lambda a, b: False)


class Fabric:
    """Carries datagrams among `size` gateways; `peers(i)` is i's list, `address(i)` where it listens."""

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
        """Carry from now on, in the running loop."""
        loop = asyncio.get_running_loop()
        for (i, j), sock in self.socks.items():
            loop.add_reader(sock.fileno(), self._read, i, j, sock)

    def close(self) -> None:
        """End it."""
        loop = asyncio.get_running_loop()
        for sock in self.socks.values():
            loop.remove_reader(sock.fileno())
            sock.close()

    def address(self, number: int) -> tuple[str, int]:
        """Find a free address for a gateway to listen at; the same for all its lives."""
        if number not in self.home:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.bind(("127.0.0.1", 0))
                self.home[number] = sock.getsockname()
        return self.home[number]

    def peers(self, number: int) -> list[str]:
        """Give a gateway's list of peers, by number; its own place is where it listens."""
        names = []
        for other in range(self.size):
            place = self.address(number) if other == number else self.socks[other, number].getsockname()
            names.append(f"{place[0]}:{place[1]}")
        return names

    def _read(self, i: int, j: int, sock: socket.socket) -> None:
        """Take what j sent to S(i, j): it is meant for i."""
        while True:
            try:
                data, sender = sock.recvfrom(2048)
            except OSError:
                return
            if sender != self.home.get(j):
                continue
            faults, draw = self.faults, self.rng.random
            if faults.cut(j, i) or draw() < faults.loss_share:
                self.history.append((now_ms(), j, i, len(data), "lost"))
                continue
            if draw() < faults.alter:
                place = self.rng.randrange(len(data))
                data = (
                    data[:place] + bytes((data[place] ^ (1 + self.rng.randrange(255)),)) + data[place + 1 :]
                )
            for _ in range(1 + (draw() < faults.repeat)):
                delay = self.rng.uniform(*faults.delay_ms) / 1000.0
                self.history.append((now_ms(), j, i, len(data), "passed"))
                asyncio.get_running_loop().call_later(delay, self._pass, i, j, data)

    def _pass(self, i: int, j: int, data: bytes) -> None:
        try:
            self.socks[j, i].sendto(data, self.home[i])
        except OSError:
            self.history.append((now_ms(), j, i, len(data), "unsent"))  # a closed socket, or a dead process
