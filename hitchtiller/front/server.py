"""The listener for clients: accepts connections and enforces the limits over all of them.

The number of connections, the total of buffered bytes and the age of an unread request are bounded. A client
that neither reads its answers nor completes its requests is disconnected.
"""

import socket
from collections.abc import Callable
from itertools import count

from hitchtiller import interface as api
from hitchtiller.account import Kind
from hitchtiller.engine import Engine
from hitchtiller.front.client import Client
from hitchtiller.front.leave import HANDED_OVER, SERVING, DrainControl
from hitchtiller.front.recent_requests import RecentRequests
from hitchtiller.front.room import RoomQueue
from hitchtiller.log import log_connection_end
from hitchtiller.ops.stats import Rejection
from hitchtiller.sched import READ, Scheduler, now_ms
from hitchtiller.stream import Stream

BACKLOG, MAX_ACCEPTS_PER_TURN = 512, 32
MAX_SEND_STALL_MS = 5_000.0  # a client that reads nothing of its answers for longer is disconnected
SWEEP_INTERVAL_MS = 200.0
MAX_REQUEST_AGE_MS = 150.0  # older unread requests are refused


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
        """Serve at most `max_clients` at once, with at most `max_buffered_bytes` in all buffers together."""
        self.sched, self.engine, self.settings, self.max_clients = sched, engine, settings, max_clients
        self.account = sched.account
        self.account.limit_bytes = max_buffered_bytes
        self.clients: set[Client] = set()
        self.room_queue = RoomQueue(sched)
        self.recent_requests = RecentRequests()
        self.state = SERVING
        self.refusing = False  # new requests are refused
        self.leave = DrainControl(self)
        self.accepting = True
        self.not_ready_reason: Callable[[], str] = str  # returns "" when ready
        self.not_ready_reasons: list[Callable[[], str]] = []  # the same, of optional components
        self.listener = socket.socket()

    def listen(self, address: tuple[str, int], inherited_fd: int | None = None) -> tuple[str, int]:
        """Start to accept connections; return the address, with the port that the system chose for 0.

        `inherited_fd` is a listening socket of the platform. Other processes accept from it too, so it is
        never shut down.
        """
        if inherited_fd is not None:
            self.listener = socket.socket(fileno=inherited_fd)
            if not self.listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise OSError(f"descriptor {inherited_fd} does not listen")
            self.listener.setblocking(False)  # shared flag: one connection may wake several processes
        else:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.setblocking(False)
            self.listener.bind(address)
            self.listener.listen(BACKLOG)
        self.sched.keep_running(self._accept_loop)
        self.sched.keep_running(self._sweep)
        host, port = self.listener.getsockname()
        return str(host), int(port)

    def unready_reason(self) -> str:
        """Return why this gateway should get no requests, or an empty string if it is ready."""
        if self.state != SERVING:
            return self.state
        if not self.engine.router.nodes:
            return "no list of station caches yet"
        return self.not_ready_reason() or next(
            filter(None, (reason() for reason in self.not_ready_reasons)), ""
        )

    def client_unready_reason(self) -> str:
        """Return the reason that clients are told: after a hand-over the next version serves, so none."""
        return "" if self.state == HANDED_OVER else self.unready_reason()

    def close(self) -> None:
        """Stop listening; accept what is in the kernel's queue first, unless another process does."""
        try:
            if self.accepting:
                self._accept_pending()
        finally:
            self.sched.unregister(self.listener.fileno())
            self.listener.close()

    def refusal_reason(self, arrived_ms: float) -> Rejection | None:
        """Return why a new request is refused; None if it fits the buffers and the event loop keeps up."""
        if self.refusing:
            return Rejection.DRAINING
        if self.account.is_full():
            return Rejection.MEMORY
        # A refusal costs a fraction of the time of an attempt, so that under overload the other requests
        # still meet their aims.
        if now_ms() - arrived_ms >= MAX_REQUEST_AGE_MS:
            return Rejection.LATE
        return None

    def remove_client(self, client: Client) -> None:
        """Remove a client whose connection has ended."""
        self.clients.discard(client)

    def _sweep(self) -> None:
        while True:
            self.sched.sleep(SWEEP_INTERVAL_MS)
            self.sweep(now_ms())

    def sweep(self, now: float) -> None:
        """Disconnect clients that read no answers or complete no requests: they use up the limits."""
        for client in list(self.clients):
            if client.reads_nothing(now, MAX_SEND_STALL_MS):
                client.stream.close("slow")
            elif code := client.timeout_code(now):
                if client.has_pending_answers() and not client.close_code:
                    client.close_when_done(code)
                # Unread input may be the rest of the frame that it is waiting for.
                elif client.close_code or client.lacks_input():
                    client.stream.close(code)

    def relieve_memory(self, size: int = 0, only_stopped: bool = False) -> None:
        """Drop partial requests until `size` bytes have room: stopped ones first, then the largest."""
        now = now_ms()
        while self.account.lacks_room(size):
            victim = max(self.clients, key=lambda client: client.relief_order(now), default=None)
            if victim is None or (only_stopped and not victim.relief_order(now)[0]):
                return
            if not victim.drop_partial_request():
                return

    def make_room(self) -> bool:
        """Disconnect the client that has been idle longest; return False if there is none.

        Clients that have closed their connection themselves make room before all others. Of the rest, those
        that have sent no whole frame go first. A client that is closing and has had its last answer is chosen
        only if no other is idle: closing over its unread input may reset the connection and discard that
        answer.
        """
        if gone := next((client for client in self.clients if client.check_closed()), None):
            self.clients.discard(gone)
            return True
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
                self._accept_pending(MAX_ACCEPTS_PER_TURN)
            else:  # not polled: the pending connections are for the other process and would wake this one
                self.sched.sleep(20.0)

    def _accept_pending(self, limit: int | None = None) -> None:
        """Accept the connections that wait in the kernel's queue, at most `limit` of them."""
        for _ in count() if limit is None else range(limit):
            if not self.accepting or self.listener.fileno() < 0:
                return
            try:
                sock, address = self.listener.accept()
            except BlockingIOError:
                return
            except OSError:
                self.sched.sleep(10.0)  # out of descriptors, or the client has left: the loop goes on
                return
            peer = f"{address[0]}:{address[1]}"
            # Silent connections must not use up the whole limit: regular clients were rejected for them.
            if len(self.clients) >= self.max_clients and not self.make_room():
                sock.close()
                log_connection_end("client", peer, "full")
                continue
            try:
                stream = Stream(self.sched, sock, Kind.PARTIAL_REQUEST, Kind.UNSENT_ANSWER)
                client = Client(self, stream, peer)
            except OSError:  # the client has left in the meantime, which must not end the listener
                sock.close()
                continue
            self.clients.add(client)
            self.sched.spawn(client.run)
