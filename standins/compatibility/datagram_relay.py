"""A relay of datagrams between gateways, which counts them."""

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import Iterable
from typing import Any

from standins.compatibility.datagrams import DENIAL, GRANT, REQUEST, RETURN
from standins.compatibility.gateway import LOOPBACK, free_port

PERMIT_COUNT = 24  # the gateways with lower numbers own one permit for fills at the origin each
ABSENT_ADDRESS = f"{LOOPBACK}:9"  # of a gateway that does not run
MAX_DATAGRAM_BYTES = 2_048

Address = tuple[str, int]


class DatagramRelay:
    """Carries datagrams between gateways and counts them by sender, receiver and first byte.

    Socket (i, j) stands for gateway i towards gateway j: j's list of peers holds its address in the place of
    i, and what j sends to it is carried to i's own address from socket (j, i). If a `lender` is given, notes
    on leases to all owners of permits that do not run are carried to the lender, because the owner of a
    permit is drawn at random, and a request has to reach a process that runs.
    """

    def __init__(self, size: int, numbers: tuple[int, ...], lender: int | None = None) -> None:
        """Open the sockets for the gateways that run, out of `size` that are configured."""
        self.size, self.lender = size, lender
        self.addresses: dict[int, Address] = {
            number: (LOOPBACK, free_port(socket.SOCK_DGRAM)) for number in numbers
        }
        self.sockets: dict[tuple[int, int], socket.socket] = {}
        self.last_owner: dict[int, int] = {}  # by borrower: the owner that its latest request was sent to
        self.counts: Counter[tuple[int, int, int]] = Counter()
        reachable = {*numbers, *range(PERMIT_COUNT if lender is not None else 0)}
        for pair in ((i, j) for i in sorted(reachable) for j in numbers if i != j):
            sock = self.sockets[pair] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind((LOOPBACK, 0))

    def start(self) -> None:
        """Carry datagrams from now on, in the running loop."""
        loop = asyncio.get_running_loop()
        for pair, sock in self.sockets.items():
            loop.add_reader(sock.fileno(), self._read, *pair)

    def close(self) -> None:
        """Close the sockets."""
        loop = asyncio.get_running_loop()
        for sock in self.sockets.values():
            loop.remove_reader(sock.fileno())
            sock.close()

    def config(self, number: int) -> dict[str, Any]:
        """Return the entries of a gateway's configuration on its own address and on the other gateways."""
        peers = [ABSENT_ADDRESS] * self.size
        for (peer, receiver), sock in self.sockets.items():
            if receiver == number:
                peers[peer] = f"{LOOPBACK}:{sock.getsockname()[1]}"
        host, port = self.addresses[number]
        peers[number] = f"{host}:{port}"
        return {"peers": peers, "peer_listen": peers[number]}

    def count_between(self, senders: Iterable[int], receivers: Iterable[int], kind: int) -> int:
        """Return the number of datagrams of a kind that were carried from some gateways to others."""
        pairs = [(sender, receiver) for sender in senders for receiver in receivers]
        return sum(self.counts[sender, receiver, kind] for sender, receiver in pairs)

    def _read(self, peer: int, sender: int) -> None:
        """Carry all datagrams that a gateway has sent to the socket of one peer."""
        while True:
            try:
                data, address = self.sockets[peer, sender].recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            if data and address == self.addresses[sender]:
                self._carry(peer, sender, data)

    def _carry(self, peer: int, sender: int, data: bytes) -> None:
        """Carry a datagram to the peer, or to the lender in place of an owner that does not run."""
        kind, receiver = data[0], peer
        if peer not in self.addresses:
            if kind not in (REQUEST, RETURN) or self.lender is None or self.lender == sender:
                return
            receiver = self.lender
        if kind == REQUEST:
            self.last_owner[sender] = peer
        source = self.last_owner.get(receiver, sender) if kind in (GRANT, DENIAL) else sender
        self.counts[sender, receiver, kind] += 1
        with contextlib.suppress(OSError):  # the receiver has ended
            self.sockets[source, receiver].sendto(data, self.addresses[receiver])
