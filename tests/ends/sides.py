"""A front on real sockets in an event loop that the test steps, with an engine that records its calls."""

import socket
import time
import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from conftest import BASE

from hitchtiller.codec import frames, resp
from hitchtiller.engine import Engine
from hitchtiller.exchange import SERVED, Answer, ClientRequest, Exchange, Requester
from hitchtiller.front.client import Client
from hitchtiller.front.server import Front
from hitchtiller.ops.request_log import RequestLog
from hitchtiller.ops.stats import Rejection, Stats
from hitchtiller.sched import Scheduler

TIMEOUT_S = 5.0


def run_until(sched: Scheduler, done: Callable[[], bool]) -> bool:
    """Run turns of the loop until a condition holds; return False if it does not within TIMEOUT_S."""
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        if done():
            return True
        sched.later(1.0, lambda: None)
        sched.run_once()
    return False


def request_frame(stream: int, **fields: str) -> bytes:
    """Return an encoded request frame."""
    base = {"c": "small", "i": f"{stream:016x}", "d": "2000", "o": f"{42:016x}", "m": "10", "lot": "3"}
    payload = frames.write_fields(base | fields)
    return frames.head(frames.REQUEST, stream, len(payload)) + payload


class Job:
    """A job that records the statuses with which it ended."""

    def __init__(self, name: bytes = b"1", repeatable: bool = True, question: int = 0) -> None:
        self.name, self.due_ms, self.reassignments, self.repeatable = name, 1e18, 0, repeatable
        self.question, self.fits = question, True
        self.statuses: list[str] = []
        self.blocked_until_ms, self.process_is_certain = 0.0, True

    def command(self) -> bytes:
        return resp.write_command(b"PULL", self.name, b"-", b"")

    def on_sent(self) -> None:
        """Ignore it."""

    def is_answered_by(self, reply: str, fields: dict[str, str]) -> bool:
        return self.fits

    def on_answer(self, reply: str, fields: dict[str, str], body: bytes) -> None:
        if reply not in ("DONE", "WAIT"):
            raise resp.RespError(reply)
        self.statuses.append(reply)

    def block_until(self, until_ms: float) -> None:
        self.blocked_until_ms = until_ms

    def on_connection_end(self, status: str) -> None:
        self.statuses.append(status)


class RecordingEngine:
    """Records the accepted requests and those whose clients have left; the test answers them."""

    def __init__(self) -> None:
        self.stats, self.request_log = Stats(dict(BASE.classes)), RequestLog()
        self.open: dict[int, Exchange] = {}
        self.taken: list[str] = []
        self.left: list[str] = []

    def has_request(self, id: str) -> bool:
        return False

    def accept(
        self, request: ClientRequest, deliver: Callable[[Answer], None], requester: Requester | None = None
    ) -> Exchange:
        exchange = Exchange(len(self.taken), request, deliver, requester)
        self.taken.append(request.id)
        self.open[exchange.number] = exchange
        return exchange

    def client_left(self, exchange: Exchange) -> None:
        if exchange.close():
            self.left.append(exchange.request.id)

    def fail(self, exchange: Exchange, reason: Rejection) -> None:
        exchange.finish(Answer("failed"))

    def answer(self, number: int, body: bytes = b"") -> None:
        """Answer a request, given by its number in the order of acceptance."""
        self.open[number].finish(Answer(SERVED, body))


class FrontCase(unittest.TestCase):
    """A test with one front and one client."""

    def setUp(self) -> None:
        self.sched, self.engine = Scheduler(), RecordingEngine()
        stand_in: Any = self.engine
        assert not isinstance(stand_in, Engine)
        self.front = Front(self.sched, stand_in, replace(BASE), 8, 50_000_000)
        self.address = self.front.listen(("127.0.0.1", 0))
        self.addCleanup(self.front.listener.close)
        self.client_socket = self.connect()
        self.client = self.newest_client()

    def connect(self) -> socket.socket:
        before = len(self.front.clients)
        sock = socket.create_connection(self.address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(TIMEOUT_S)
        self.addCleanup(sock.close)
        self.assertTrue(run_until(self.sched, lambda: len(self.front.clients) > before))
        return sock

    def newest_client(self) -> Client:
        client = max(self.front.clients, key=lambda client: client.arrived_ms)
        self.addCleanup(client.stream.close, "end")
        return client

    def wait_until(self, done: Callable[[], bool], message: str = "") -> None:
        self.assertTrue(run_until(self.sched, done), message)

    def send_request(self, stream: int, **fields: str) -> int:
        """Send a request and wait until it is accepted; return its number in the order of acceptance."""
        number = len(self.engine.taken)
        self.client_socket.sendall(request_frame(stream, **fields))
        self.wait_until(lambda: len(self.engine.taken) > number)
        return number

    def fill_send_buffer(self) -> None:
        """Leave more answer bytes unsent on the connection than its high-water mark."""
        self.engine.answer(self.send_request(1), bytes(16_000_000))
        self.assertGreater(self.client.stream.unsent_bytes, 1_000_000)
        # A GIVE_UP of the answered request, as one more frame to read.
        self.client_socket.sendall(frames.head(frames.GIVE_UP, 1, 0))
        last_activity_ms = self.client.last_activity_ms
        self.wait_until(lambda: self.client.last_activity_ms > last_activity_ms)
        self.sched.run_once()

    def release_finally(self) -> None:
        """Make the last check of a drain once the client's kernel has everything that was written."""
        self.client.send_going()
        self.wait_until(lambda: self.client.stream.undelivered_bytes() == 0)
        self.front.leave._release_clients(final=True)

    def read_until_end(self) -> bytes:
        """Read until the gateway closes the connection; a reset fails the test."""
        self.client_socket.setblocking(False)
        received = bytearray()

        def ended() -> bool:
            try:
                while data := self.client_socket.recv(1_000_000):
                    received.extend(data)
            except BlockingIOError:
                return False
            return True

        self.wait_until(ended, "the connection does not end")
        return bytes(received)
