"""Accepts clients and keeps them within the limits; leaves in order when told to stop."""

import socket

from loguru import logger

from hitchtiller import interface as api
from hitchtiller.engine import Engine
from hitchtiller.front.client import Client
from hitchtiller.log import ended
from hitchtiller.sched import READ, Scheduler, Stream, now_ms

BACKLOG = 512
ACCEPT_MS = 450.0  # after the word to stop, connections may come for 0.4 s
REQUESTS_MS = 350.0  # and on open ones requests for 0.2 s more
LEAVE_MS = 3_300.0  # after that word all is answered: the program may be killed from 3.7 s on
LAST_MS = 250.0  # for the last answers to go out
SLOW_MS = 5_000.0  # without progress, from which a client is given up
SWEEP_MS = 200.0
LAG_MS = 150.0  # that a request has lain unread, from which on it is turned away


class Front:
    """The listener and its clients."""

    def __init__(
        self, sched: Scheduler, engine: Engine, settings: api.Settings, most: int, room: int
    ) -> None:
        """Serve at most `most` clients at once; buffers may hold `room` bytes in all."""
        self.sched, self.engine, self.settings, self.most = sched, engine, settings, most
        self.room = room
        self.clients: set[Client] = set()
        self.stopping = False
        self.shut = False  # no more requests are taken
        self.listener = socket.socket()

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Start to accept; gives the address, with the port that the system chose for 0."""
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(address)
        self.listener.listen(BACKLOG)
        self.sched.spawn(self._accept)
        self.sched.spawn(self._sweep)
        host, port = self.listener.getsockname()
        return str(host), int(port)

    def ready(self) -> bool:
        """Tell whether requests can be served here."""
        return bool(self.engine.router.nodes) and not self.stopping

    def takes(self, arrived_ms: float) -> bool:
        """Tell whether one more request can be held, and served by a loop that keeps up."""
        # guards the others' aims in an overload: a refusal takes a fraction of the time of an attempt
        return not self.shut and Stream.held < self.room and now_ms() - arrived_ms < LAG_MS

    def gone(self, client: Client) -> None:
        """Forget a client."""
        self.clients.discard(client)

    def _sweep(self) -> None:
        while True:
            self.sched.sleep(SWEEP_MS)
            self.sweep(now_ms())

    def sweep(self, now: float) -> None:
        """Close clients that take nothing of what waits for them, or say nothing: they hold all there is."""
        for client in list(self.clients):
            if client.stream.size and now - client.stream.progress_ms > SLOW_MS:
                client.stream.close("slow")
            elif code := client.overdue(now):
                if client.open:
                    client.close_when_done(code)
                else:
                    client.stream.close(code)

    def make_room(self) -> bool:
        """Close the client idle longest, those that never asked first; False if none is idle."""
        order = sorted(self.clients, key=lambda client: (client.asked, client.seen_ms))
        idle = next((client for client in order if client.closing or client.idle()), None)
        if idle:
            idle.stream.close("full")
            self.clients.discard(idle)
        return idle is not None

    def _accept(self) -> None:
        while not self.shut and self.listener.fileno() >= 0:
            self.sched.wait(self.listener.fileno(), READ)
            self._accept_all()

    def _accept_all(self) -> None:
        while not self.shut and self.listener.fileno() >= 0:
            try:
                sock, address = self.listener.accept()
            except BlockingIOError:
                return
            except OSError:
                self.sched.sleep(10.0)  # out of descriptors, or the client left: neither may end the loop
                return
            peer = f"{address[0]}:{address[1]}"
            # guards against silent connections that hold the whole third: usual ones were turned away
            if len(self.clients) >= self.most and not self.make_room():
                sock.close()
                ended("client", peer, "full")
                continue
            client = Client(self, Stream(self.sched, sock), peer)
            self.clients.add(client)
            self.sched.spawn(client.run)

    def stop(self) -> None:
        """Leave: accept for the stated while, say so to all, answer what is in hand, then end the loop."""
        if self.stopping:
            return
        self.stopping, leave_ms = True, now_ms() + LEAVE_MS
        logger.info("told to stop")
        self.sched.sleep(ACCEPT_MS)
        self._accept_all()  # what the machine accepted counts as ours
        self.sched.forget(self.listener.fileno())
        self.listener.close()
        for client in list(self.clients):
            client.going()
        self.sched.sleep(REQUESTS_MS)
        while self._busy() and now_ms() < leave_ms:
            self.sched.sleep(10.0)
        self.shut = True  # whatever still comes is refused at once
        for exchange in [exchange for client in self.clients for exchange in client.open.values()]:
            self.engine.fail(exchange)  # guards against a kill while a request has no answer
        self.sched.sleep(10.0)
        while any(client.stream.size for client in self.clients) and now_ms() < leave_ms + LAST_MS:
            self.sched.sleep(10.0)
        for client in list(self.clients):
            client.stream.close("stop")
        self.sched.sleep(10.0)
        self.sched.stopped = True

    def _busy(self) -> bool:
        return any(client.open or client.stream.size for client in self.clients)
