"""The client side's limits, without a network."""

import socket
import unittest
from typing import Any
from unittest.mock import patch

from conftest import BASE

from hitchtiller.codec import frames
from hitchtiller.front.asks import read_request
from hitchtiller.front.client import Client
from hitchtiller.front.server import Front
from hitchtiller.sched import Scheduler, Stream, now_ms


class Deadlines(unittest.TestCase):
    def test_nearly_all_of_what_a_client_waits_is_used(self) -> None:
        """A quarter of it, up to 60 ms, was kept: a fifth of impatient clients' requests were given up."""
        fields = {"c": "small", "i": "1" * 16, "o": "2" * 16, "lot": "1", "d": "80"}
        for wait, until in (("80", 1076.0), ("5000", 5940.0)):
            ask = read_request(frames.write_fields(fields | {"d": wait}), BASE, 1000.0)
            self.assertEqual(ask.deadline_ms, min(until, 1000.0 + 3000.0 - 60.0))


class Pieces(unittest.TestCase):
    def setUp(self) -> None:
        engine: Any = None
        sched = Scheduler()
        front = Front(sched, engine, BASE, 4, 1000)
        self.addCleanup(front.listener.close)
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        stream = Stream(sched, socket.create_connection(server.getsockname()))
        self.addCleanup(stream.close, "end")
        self.client, self.reader, self.begun = Client(front, stream, "peer"), frames.FrameReader(), now_ms()

    def feed(self, size: int, at: float) -> str:
        """Give the next bytes of a long frame; tells why it would have been closed just before."""
        with patch("hitchtiller.front.client.now_ms", lambda: self.begun + at):
            why = self.client.timeout_code(self.begun + at)
            first = not self.reader.buffer
            self.client._receive(self.reader, (b"\0\0\x80\0" if first else b"") + bytes(size))
        return why

    def test_a_frame_that_grows_is_not_cut_at_2_s(self) -> None:
        self.assertEqual([self.feed(100, at) for at in (100.0, 2_000.0, 4_000.0, 5_500.0)], [""] * 4)
        self.assertEqual(self.client.timeout_code(self.begun + 6_300.0), "unasked")  # but it ends

    def test_one_that_trickles_is(self) -> None:
        self.assertEqual([self.feed(1, at) for at in (100.0, 1_200.0, 2_500.0)], ["", "", "unasked"])


class Limits(unittest.TestCase):
    def setUp(self) -> None:
        engine: Any = None
        self.front = Front(Scheduler(), engine, BASE, 4, 1000)
        self.addCleanup(self.front.listener.close)
        self.addCleanup(setattr, Stream, "buffered_bytes", Stream.buffered_bytes)
        Stream.buffered_bytes = 0

    def test_what_lay_unread_in_a_loop_that_lags_is_turned_away(self) -> None:
        """At lags of 0.2 to 0.3 s all were taken, and all were late."""
        self.assertTrue(self.front.accepts_request(now_ms()))
        self.assertFalse(self.front.accepts_request(now_ms() - 300.0))

    def test_buffers_have_a_bound_in_all(self) -> None:
        Stream.buffered_bytes = 1001
        self.assertFalse(self.front.accepts_request(now_ms()))
