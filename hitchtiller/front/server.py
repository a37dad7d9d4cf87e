"""Accepts clients and keeps them within the limits."""

import socket
from collections.abc import Callable

from hitchtiller import interface as api
from hitchtiller.engine import Engine
from hitchtiller.front.client import Client
from hitchtiller.front.leave import HANDED_OVER, SERVING, DrainControl
from hitchtiller.log import ended
from hitchtiller.sched import READ, Scheduler, Stream, now_ms

BACKLOG = 512
MAX_SEND_STALL_MS = 5_000.0  # without progress, from which a client is given up
SWEEP_INTERVAL_MS = 200.0
MAX_REQUEST_AGE_MS = 150.0  # that a request has lain unread, from which on it is turned away


class Front:
    """The listener and its clients."""

    def __init__(
        self,
        sched: Scheduler,
        engine: Engine,
        settings: api.Settings,
        max_clients: int,
        max_buffered_bytes: int,
    ) -> None:
        """Serve at most `most` clients at once; buffers may hold `room` bytes in all."""
        self.sched, self.engine, self.settings, self.most = sched, engine, settings, max_clients
        self.room = max_buffered_bytes
        self.clients: set[Client] = set()
        self.state = SERVING
        self.refusing = False  # no more requests are taken
        self.leave = DrainControl(self)
        self.accepting = True
        self.not_ready_reason: Callable[[], str] = str  # a further reason not to be ready
        # and more of them, from what is joined to the gateway
        self.not_ready_reasons: list[Callable[[], str]] = []
        self.listener = socket.socket()

    def listen(self, address: tuple[str, int], inherited_fd: int | None = None) -> tuple[str, int]:
        """Start to accept; gives the address, with the port that the system chose for 0.

        `held` is a listening socket of the platform's: others accept from it too, so it is never shut down.
        """
        if inherited_fd is not None:
            self.listener = socket.socket(fileno=inherited_fd)
            if not self.listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise OSError(f"descriptor {inherited_fd} does not listen")
            self.listener.setblocking(False)  # for all who hold it: two may wake for one connection
        else:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.setblocking(False)
            self.listener.bind(address)
            self.listener.listen(BACKLOG)
        self.sched.spawn(self._accept_loop)
        self.sched.spawn(self._sweep)
        host, port = self.listener.getsockname()
        return str(host), int(port)

    def unready(self) -> str:
        """Tell why requests should not come here; nothing if they may."""
        if self.state != SERVING:
            return self.state
        if not self.engine.router.nodes:
            return "no list of station caches yet"
        return self.not_ready_reason() or next(
            filter(None, (reason() for reason in self.not_ready_reasons)), ""
        )

    def client_unready_reason(self) -> str:
        """Tell clients the same, but for a gateway whose next version is ready: the gateway as a whole is."""
        return "" if self.state == HANDED_OVER else self.unready()

    def close(self) -> None:
        """Listen no more; what the machine accepted until now counts as ours, unless another listens too."""
        if self.accepting:
            self._accept_pending()
        self.sched.forget(self.listener.fileno())
        self.listener.close()

    def accepts_request(self, arrived_ms: float) -> bool:
        """Tell whether one more request can be held, and served by a loop that keeps up."""
        # guards the others' aims in an overload: a refusal takes a fraction of the time of an attempt
        return (
            not self.refusing
            and Stream.buffered_bytes < self.room
            and now_ms() - arrived_ms < MAX_REQUEST_AGE_MS
        )

    def remove_client(self, client: Client) -> None:
        """Forget a client."""
        self.clients.discard(client)

    def _sweep(self) -> None:
        while True:
            self.sched.sleep(SWEEP_INTERVAL_MS)
            self.sweep(now_ms())

    def sweep(self, now: float) -> None:
        """Close clients that take nothing of what waits for them, or say nothing: they hold all there is."""
        for client in list(self.clients):
            if client.stream.size and now - client.stream.progress_ms > MAX_SEND_STALL_MS:
                client.stream.close("slow")
            elif code := client.timeout_code(now):
                if client.has_pending_answers() and not client.close_code:
                    client.close_when_done(code)
                elif client.close_code or not client.stream.waiting():  # else what it owed comes just now
                    client.stream.close(code)

    def make_room(self) -> bool:
        """Close the client idle longest, those that never asked first; False if none can be spared.

        One that is being closed and has had its last answer goes only where none is idle: what it has sent
        since lies unread, and a close over it may take that answer along.
        """
        by_priority = sorted(
            self.clients, key=lambda client: (client.has_sent_frame, client.last_activity_ms)
        )
        candidate = next((c for c in by_priority if c.is_idle()), None) or next(
            (c for c in by_priority if c.is_lingering()), None
        )
        if candidate:
            candidate.stream.close("full")
            self.clients.discard(candidate)
        return candidate is not None

    def _accept_loop(self) -> None:
        while self.listener.fileno() >= 0:
            if self.accepting:
                self.sched.wait(self.listener.fileno(), READ)
                self._accept_pending()
            else:  # not in poll: what waits there is the other process's and would wake us again and again
                self.sched.sleep(20.0)

    def _accept_pending(self) -> None:
        while self.accepting and self.listener.fileno() >= 0:
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
            try:
                client = Client(self, Stream(self.sched, sock), peer)
            except OSError:  # it left meanwhile: that must not end the listener for good
                sock.close()
                continue
            self.clients.add(client)
            self.sched.spawn(client.run)
