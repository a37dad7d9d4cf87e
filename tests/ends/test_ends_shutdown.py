"""Stopping and draining: which answers clients still get at each moment until the process has ended."""

import copy
import json
import time
import unittest
from unittest import mock

from scenario import TIMEOUT_S, Gateway
from sides import FrontCase, request_frame

from hitchtiller.codec import frames
from hitchtiller.front import leave as leave_module
from hitchtiller.front.client import Client


class Crossings(FrontCase):
    """A stop, with client messages that arrive exactly between two of its steps."""

    def setUp(self) -> None:
        super().setUp()
        for name in ("ACCEPT_GRACE_MS", "REQUEST_GRACE_MS"):
            patch = mock.patch.object(leave_module, name, 5.0)
            patch.start()
            self.addCleanup(patch.stop)

    def frames_until_end(self) -> list[frames.Frame]:
        return list(frames.FrameReader().feed(self.read_until_end()))

    def test_a_request_after_the_last_check_is_dropped_and_the_last_answer_arrives(self) -> None:
        """Closing with unread bytes reset the connection and discarded the answer."""
        self.engine.answer(self.send_request(1), b"last")
        is_idle = Client.is_idle

        def send_and_check(client: Client) -> bool:
            found = is_idle(client)
            if found:
                self.client_socket.sendall(request_frame(2))  # after the check, before the close
            return found

        with mock.patch.object(Client, "is_idle", send_and_check):
            self.sched.spawn(self.front.leave.stop)
            got = self.frames_until_end()
        self.assertEqual([(f.kind, f.stream) for f in got], [(frames.ANSWER, 1), (frames.GOING, 0)])
        self.assertEqual(len(self.engine.taken), 1, "a request read after the shutdown is never forwarded")

    def test_a_request_before_the_last_check_is_answered(self) -> None:
        is_idle = Client.is_idle

        def send_and_check(client: Client) -> bool:
            if not self.engine.taken and not client.stream.has_input():
                self.client_socket.sendall(request_frame(1))  # unread at the time of the check
            return is_idle(client)

        with mock.patch.object(Client, "is_idle", send_and_check):
            self.sched.spawn(self.front.leave.stop)
            self.wait_until(lambda: len(self.engine.taken) == 1)
        self.engine.answer(0, b"x")
        self.assertIn((frames.ANSWER, 1), [(f.kind, f.stream) for f in self.frames_until_end()])

    def test_an_idle_connection_is_closed_while_another_still_waits(self) -> None:
        """All were kept until the last answer: some clients keep idle ones until the gateway closes."""
        self.engine.answer(self.send_request(1), b"x")
        idle, self.client_socket = self.client_socket, self.connect()
        number = self.send_request(1)
        self.sched.spawn(self.front.leave.stop)
        waiting, self.client_socket = self.client_socket, idle
        self.frames_until_end()
        self.client_socket = waiting
        self.engine.answer(number, b"x")
        answers = [f for f in self.frames_until_end() if f.kind == frames.ANSWER]
        self.assertEqual([(f.stream, f.payload[0]) for f in answers], [(1, frames.SERVED)])

    def test_the_loop_stops_once_all_clients_have_left(self) -> None:
        self.sched.spawn(self.front.leave.stop)
        self.frames_until_end()
        self.client_socket.close()
        self.wait_until(lambda: self.sched.stopped)


class ShortDeadlines(unittest.TestCase):
    """A deployment whose longest deadline is 0.5 s: SIGKILL may come 1.2 s after SIGTERM."""

    KILL_S = 1.2

    def setUp(self) -> None:
        self.gateway = Gateway()
        self.addCleanup(self.gateway.stop)
        config = copy.deepcopy(self.gateway.config)
        for cls in config["settings"]["classes"]:
            cls["deadline_ms"] = cls["aim_ms"] = 500.0
        self.gateway.configure(json.dumps(config))
        self.gateway.kill()
        self.gateway.start()
        self.gateway.expect_line("INFO n0 ready")

    def test_a_partial_request_does_not_delay_the_exit_past_the_kill(self) -> None:
        """It waited 3.3 s whatever the deadlines: requests completed in between were lost at the kill."""
        client = self.gateway.client()
        self.addCleanup(client.close)
        client.send(b"\0\0\1\0\7")
        started = time.monotonic()
        self.gateway.terminate()
        self.assertEqual(self.gateway.process.wait(TIMEOUT_S), 0)
        self.assertLess(time.monotonic() - started, self.KILL_S)


class Drains(FrontCase):
    def test_a_request_that_crosses_the_close_of_a_drain_loses_no_answer(self) -> None:
        """The connection was closed at once: with the unread request this reset it."""
        self.engine.answer(self.send_request(1), b"last")
        self.client.last_activity_ms -= 10_000.0
        is_idle = Client.is_idle

        def send_and_check(client: Client) -> bool:
            found = is_idle(client)
            if found:
                self.client_socket.sendall(request_frame(2))
            return found

        with mock.patch.object(Client, "is_idle", send_and_check):
            self.front.leave._release_clients(final=True)
        got = list(frames.FrameReader().feed(self.read_until_end()))
        self.assertEqual([(f.kind, f.stream) for f in got], [(frames.ANSWER, 1), (frames.GOING, 0)])
        self.assertEqual(len(self.engine.taken), 1)
