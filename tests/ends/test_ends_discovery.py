"""Discovery that goes silent or down at any moment, also while idle clients use up their limit."""

import contextlib
import resource
import socket
import time
import unittest
from collections.abc import Callable

from conftest import BASE
from scenario import TIMEOUT_S, Gateway, Party, answer

from hitchtiller.bus import BusLink
from hitchtiller.codec import frames
from hitchtiller.codec.bus import HEAD, RECORD
from hitchtiller.discovery.subscriptions import CONNECT_MS, SILENT_MS
from hitchtiller.news import Event
from hitchtiller.sched import Scheduler, now_ms

WITHIN_S = 2.0 * (CONNECT_MS + SILENT_MS) / 1000.0
CAUGHT_UP = HEAD.pack(1, 0)
PROMPT_S = 1.5  # before silent clients time out, after 2.2 s
READY_S = 10.0  # within which nine in ten restarted processes have to be ready


def drain_frame(number: int, id: int) -> bytes:
    body = HEAD.pack(number, 2) + RECORD.pack(id, bytes([127, 0, 0, 1]), 9, 1, 1, 0, 0, 8000, 0)
    return len(body).to_bytes(4, "big") + body


def framed(body: bytes) -> bytes:
    return len(body).to_bytes(4, "big") + body


class SilentBus(unittest.TestCase):
    """A subscription whose bus goes silent at a chosen point."""

    def setUp(self) -> None:
        self.sched, self.received_events = Scheduler(), list[Event]()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)
        address = ("127.0.0.1", int(self.listener.getsockname()[1]))
        kinds = ("box", "parent", "origin")
        self.bus = BusLink(self.sched, self.received_events.append, address, (BASE.zones, kinds))
        self.sched.spawn(self.bus.run)
        self.addCleanup(lambda: self.bus.stream and self.bus.stream.close("end"))

    def wait_until(self, done: Callable[[], bool], within_s: float = TIMEOUT_S) -> None:
        end = time.monotonic() + within_s
        while not done():
            self.assertLess(time.monotonic(), end)
            self.sched.later(1.0, lambda: None)
            self.sched.run_once()

    def accept_subscription(self, within_s: float = TIMEOUT_S) -> socket.socket:
        """Accept the next connection of the gateway."""
        accepted: list[socket.socket] = []

        def has_accepted() -> bool:
            try:
                accepted.append(self.listener.accept()[0])
            except BlockingIOError:
                return False
            return True

        self.wait_until(has_accepted, within_s)
        self.addCleanup(accepted[0].close)
        accepted[0].setblocking(False)
        return accepted[0]

    def check_silence_after(self, sent: bytes, last: int) -> None:
        """Send bytes and go silent; the gateway has to subscribe again after the last whole event."""
        first = self.accept_subscription()
        first.sendall(sent)
        second = self.accept_subscription(WITHIN_S)
        number = bytearray()

        def has_number() -> bool:
            try:
                number.extend(second.recv(8))
            except BlockingIOError:
                return False
            return len(number) == 8

        self.wait_until(has_number)
        self.assertEqual(int.from_bytes(number, "big"), last)
        second.sendall(drain_frame(last + 1, 7))
        self.wait_until(lambda: self.bus.last_number == last + 1)

    def test_silence_right_after_connecting(self) -> None:
        self.check_silence_after(b"", 0)

    def test_silence_after_the_bus_has_caught_up(self) -> None:
        self.check_silence_after(drain_frame(3, 5) + framed(CAUGHT_UP), 3)

    def test_silence_in_the_middle_of_an_event(self) -> None:
        self.check_silence_after(drain_frame(3, 5) + drain_frame(4, 6)[:20], 3)

    def test_silence_in_the_middle_of_a_length(self) -> None:
        self.check_silence_after(drain_frame(3, 5) + b"\0\0", 3)

    def test_a_quiet_connection_that_speaks_again_is_kept_and_the_second_one_closed(self) -> None:
        """It was ended after 1.8 s, and what was on its way was lost with it (review/8)."""
        first = self.accept_subscription()
        second = self.accept_subscription()
        self.wait_until(lambda: all(s.is_connected() for s in self.bus.subscriptions.open))
        first.sendall(drain_frame(1, 5))
        self.wait_until(lambda: self.bus.last_number == 1)
        self.wait_until(lambda: len(self.bus.streams) == 1)
        second.setblocking(True)
        second.settimeout(TIMEOUT_S)
        self.assertEqual(second.recv(8), bytes(8))
        self.assertEqual(second.recv(1), b"")
        first.sendall(drain_frame(2, 6))
        self.wait_until(lambda: self.bus.last_number == 2)

    def test_what_two_connections_bring_is_passed_on_once_and_in_order(self) -> None:
        """The second one brings the list anew; a late frame of the first must not undo what came since."""
        first = self.accept_subscription()
        second = self.accept_subscription()
        second.sendall(drain_frame(1, 5) + drain_frame(2, 6))
        self.wait_until(lambda: self.bus.last_number == 2)
        with contextlib.suppress(OSError):
            first.sendall(drain_frame(1, 7))
        second.sendall(drain_frame(2, 8) + drain_frame(3, 9))
        self.wait_until(lambda: self.bus.last_number == 3)
        self.assertEqual(len(self.received_events), 3)

    def test_the_new_process_of_an_upgrade_gets_ready_beside_a_slow_bus(self) -> None:
        """It waits for all events so far, and its subscription was ended before they came."""
        first = self.accept_subscription()
        self.accept_subscription()
        self.assertFalse(self.bus.is_followed(True))
        first.sendall(drain_frame(1, 5) + framed(CAUGHT_UP))
        self.wait_until(lambda: self.bus.is_followed(True))

    def test_moving_to_another_bus_while_the_old_one_is_silent(self) -> None:
        """SIGHUP arrives while the gateway connects to the old address, or waits to do so."""
        self.accept_subscription()
        other = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(other.close)
        self.listener.close()
        self.listener = other
        other.setblocking(False)
        started = now_ms()
        self.bus.move(("127.0.0.1", int(other.getsockname()[1])))
        self.accept_subscription(1.0)
        self.assertLess(now_ms() - started, 1_000.0)


class FullGateway(unittest.TestCase):
    """Idle clients hold all descriptors that they may and try to get more, while discovery is down."""

    LIMIT = 120

    def setUp(self) -> None:
        self.gateway = Gateway(sockets=self.LIMIT)
        self.addCleanup(self.gateway.stop)

    def connect_crowd(self) -> list[socket.socket]:
        """Open three times as many connections as the process has descriptors."""
        pid = self.gateway.process.pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (self.LIMIT, self.LIMIT))
        crowd = []
        for _ in range(3 * self.LIMIT):
            crowd.append(socket.create_connection(("127.0.0.1", self.gateway.port), timeout=TIMEOUT_S))
            self.addCleanup(crowd[-1].close)
        return crowd

    def test_bus_and_links_keep_descriptors_and_a_later_drain_is_applied(self) -> None:
        address = self.gateway.bus.getsockname()
        self.gateway.subscription().close()
        self.gateway.bus.close()  # discovery is down
        self.connect_crowd()
        client = self.gateway.client()
        self.addCleanup(client.close)
        client.sock.settimeout(PROMPT_S)
        client.send_request(1)
        started = time.monotonic()
        cache = self.gateway.server()
        self.assertLess(time.monotonic() - started, PROMPT_S)
        self.addCleanup(cache.close)
        cache.send(answer(cache.expect_pull()[0], b"DONE", body=b"x"))
        client.expect_answer(1, frames.SERVED, b"x")
        self.gateway.bus = socket.create_server(address, reuse_port=False)
        bus = Party(self.gateway.bus.accept()[0], None)
        self.addCleanup(bus.close)
        record = RECORD.pack(
            0, bytes([127, 0, 0, 1]), self.gateway.caches["cache"].getsockname()[1], 1, 1, 0, 0, 8000, 0
        )
        bus.send(framed(HEAD.pack(2, 2) + record) + b"\xff" * 64)
        self.gateway.expect_line("code=junk last=2")  # the malformed bytes after it show that it was applied
        client.send_request(2)
        self.gateway.server("parent").expect_pull()  # the draining cache gets no new request

    def test_a_restarted_process_is_ready_in_time_while_discovery_is_down(self) -> None:
        self.gateway.bus.close()
        durations_s = []
        for _ in range(5):
            self.gateway.kill()
            started = time.monotonic()
            self.gateway.start()
            self.connect_crowd()
            self.gateway.expect_line("INFO n0 ready")
            probe = self.gateway.client()
            self.addCleanup(probe.close)
            probe.send(frames.head(frames.READY, 0, 1) + b"\0")
            probe.expect(
                lambda accepted: accepted.kind == frames.READY_ANSWER and accepted.payload[0] == frames.SERVED
            )
            durations_s.append(time.monotonic() - started)
        self.assertLess(max(durations_s), READY_S, durations_s)
        print("ready after s:", [round(each, 2) for each in durations_s])
