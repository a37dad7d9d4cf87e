"""Notes to and from the other gateways, as datagrams."""

import contextlib
import socket
from collections.abc import Callable

from hitchtiller import interface as api
from hitchtiller.codec.notes import pack, unpack
from hitchtiller.engine import Engine
from hitchtiller.sched import READ, Scheduler

MAX_DATAGRAM_BYTES = 256  # bytes of a datagram
MAX_DATAGRAMS_PER_TURN = 64  # datagrams read in one turn


class Peers:
    """One UDP socket; a sender is known by its address."""

    def __init__(self, sched: Scheduler, listen: tuple[str, int], peers: tuple[tuple[str, int], ...]) -> None:
        """Bind; a gateway's number is its address's place in `peers`."""
        self.sched, self.peers = sched, peers
        self.number_by_address = {address: number for number, address in enumerate(peers)}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        # guards a new version's start beside the old one; the kernel gives datagrams to the later of the two
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(listen)
        # takes what is no note, where switched on
        self.on_other_datagram: Callable[[int, bytes], bool] | None = None

    def send_note(self, peer: int, note: api.PeerNote | api.LeaseNote) -> None:
        """Send a note; like any datagram it may be lost."""
        self.send(peer, pack(note))

    def send(self, peer: int, data: bytes) -> None:
        """Send a datagram that fits."""
        if 0 <= peer < len(self.peers) and len(data) <= MAX_DATAGRAM_BYTES:
            with contextlib.suppress(OSError):
                self.sock.sendto(data, self.peers[peer])

    def run(self, engine: Engine) -> None:
        """Carry notes to the engine; what is no note of a known peer is dropped."""
        while True:
            self.sched.wait(self.sock.fileno(), READ)
            for _ in range(MAX_DATAGRAMS_PER_TURN):
                try:
                    data, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
                except OSError:
                    break
                number = self.number_by_address.get(sender)
                if self.on_other_datagram and number is not None and self.on_other_datagram(number, data):
                    continue
                note = unpack(data)
                if number is not None and note is not None:
                    engine.submit(api.PeerMessage(number, note))
