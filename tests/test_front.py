"""Limits of the client side: request deadlines, partial frames, overload."""

import socket
import unittest
from typing import Any
from unittest.mock import patch

from conftest import BASE

from hitchtiller.account import Holding, Kind
from hitchtiller.codec import frames
from hitchtiller.front.asks import read_request
from hitchtiller.front.client import Client
from hitchtiller.front.server import Front
from hitchtiller.ops.stats import Rejection
from hitchtiller.sched import Scheduler, now_ms
from hitchtiller.stream import Stream


class Deadlines(unittest.TestCase):
    def test_the_deadline_keeps_only_a_small_margin(self) -> None:
        """With a quarter reserved, up to 60 ms, a fifth of impatient clients' requests were given up."""
        fields = {"c": "small", "i": "1" * 16, "o": "2" * 16, "lot": "1", "d": "80"}
        for wait_ms, deadline_ms in (("80", 1076.0), ("5000", 5940.0)):
            request = read_request(frames.write_fields(fields | {"d": wait_ms}), BASE, 1000.0)
            self.assertEqual(request.deadline_ms, min(deadline_ms, 1000.0 + 3000.0 - 60.0))


class PartialFrames(unittest.TestCase):
    def setUp(self) -> None:
        engine: Any = None
        sched = Scheduler()
        front = Front(sched, engine, BASE, 4, 1000)
        self.addCleanup(front.listener.close)
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        stream = Stream(sched, socket.create_connection(server.getsockname()))
        self.addCleanup(stream.close, "end")
        self.client, self.reader, self.started_ms = (
            Client(front, stream, "peer"),
            frames.FrameReader(),
            now_ms(),
        )

    def feed(self, size: int, elapsed_ms: float) -> str:
        """Feed more bytes of a long frame; return the timeout code just before."""
        with patch("hitchtiller.front.client.now_ms", lambda: self.started_ms + elapsed_ms):
            code = self.client.timeout_code(self.started_ms + elapsed_ms)
            first = not self.reader.buffer
            self.client._receive(self.reader, (b"\0\0\x80\0" if first else b"") + bytes(size))
        return code

    def test_a_growing_frame_does_not_time_out_after_2_s(self) -> None:
        self.assertEqual(
            [self.feed(100, elapsed_ms) for elapsed_ms in (100.0, 2_000.0, 4_000.0, 5_500.0)], [""] * 4
        )
        self.assertEqual(self.client.timeout_code(self.started_ms + 6_300.0), "unasked")  # but it times out

    def test_a_trickling_frame_times_out(self) -> None:
        self.assertEqual(
            [self.feed(1, elapsed_ms) for elapsed_ms in (100.0, 1_200.0, 2_500.0)], ["", "", "unasked"]
        )


class Limits(unittest.TestCase):
    def setUp(self) -> None:
        engine: Any = None
        self.front = Front(Scheduler(), engine, BASE, 4, 1000)
        self.addCleanup(self.front.listener.close)

    def test_a_request_that_waited_unread_too_long_is_refused(self) -> None:
        """With the loop 0.2 to 0.3 s behind, all requests were accepted and all were answered too late."""
        self.assertIsNone(self.front.refusal_reason(now_ms()))
        self.assertEqual(self.front.refusal_reason(now_ms() - 300.0), Rejection.LATE)

    def test_the_total_of_buffered_bytes_is_bounded(self) -> None:
        Holding(self.front.account).add(Kind.UNSENT_ANSWER, 1001)
        self.assertEqual(self.front.refusal_reason(now_ms()), Rejection.MEMORY)
