"""Notes between gateways, sent as UDP datagrams, which may be lost."""

import contextlib
import socket
from collections.abc import Callable

from hitchtiller import interface as api
from hitchtiller.codec.notes import pack, unpack
from hitchtiller.engine import Engine
from hitchtiller.sched import READ, Scheduler

MAX_DATAGRAM_BYTES = 256
MAX_DATAGRAMS_PER_TURN = 64  # read in one turn of the loop, so that a flood can't stall it


class Peers:
    """The UDP socket for notes; senders are identified by their address."""

    def __init__(self, sched: Scheduler, listen: tuple[str, int], peers: tuple[tuple[str, int], ...]) -> None:
        """Bind the socket; a gateway's number is the index of its address in `peers`."""
        self.sched, self.peers = sched, peers
        self.number_by_address = {address: number for number, address in enumerate(peers)}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        # lets a new version start beside the old one; the kernel delivers datagrams to the later of the two
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(listen)
        # called first with each datagram of a peer; returns whether it has handled it, as it is not a note
        self.on_other_datagram: Callable[[int, bytes], bool] | None = None

    def send_note(self, peer: int, note: api.PeerNote | api.LeaseNote) -> None:
        """Send a note to a gateway; it may be lost."""
        self.send(peer, pack(note))

    def send(self, peer: int, data: bytes) -> None:
        """Send a datagram to a gateway; one that is too long is dropped."""
        if 0 <= peer < len(self.peers) and len(data) <= MAX_DATAGRAM_BYTES:
            with contextlib.suppress(OSError):
                self.sock.sendto(data, self.peers[peer])

    def run(self, engine: Engine) -> None:
        """Submit received notes to the engine for ever; drop datagrams that are not notes of a known peer."""
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
