"""Stopping and draining: which answers clients still get at each moment until the process has ended."""

import copy
import json
import socket
import time
import unittest
from unittest import mock

from scenario import TIMEOUT_S, Gateway
from sides import FrontCase, request_frame

from hitchtiller.codec import frames
from hitchtiller.front import leave as leave_module
from hitchtiller.front.client import CLOSE_LINGER_MS, Client
from hitchtiller.front.reading import MAX_READING_MS, ReadingEstimate
from hitchtiller.front.server import MAX_SEND_STALL_MS
from hitchtiller.sched import now_ms


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

    def test_a_client_whose_close_fails_keeps_no_other_from_being_answered(self) -> None:
        """One exception ended the stop: the process went on serving until it was killed."""
        other, self.client_socket = self.client_socket, self.connect()
        number = self.send_request(1)
        failing = next(client for client in self.front.clients if not client.open_exchanges)
        with mock.patch.object(failing, "send_going", side_effect=ValueError("a fault")):
            self.sched.spawn(self.front.leave.stop)
            self.wait_until(lambda: self.front.listener.fileno() < 0)
            self.engine.answer(number, b"x")
            got = self.frames_until_end()
        self.assertEqual([(f.kind, f.stream) for f in got], [(frames.GOING, 0), (frames.ANSWER, 1)])
        other.close()
        self.client_socket.close()
        self.wait_until(lambda: self.sched.stopped)

    def test_a_stop_that_does_not_end_by_itself_is_ended_in_time(self) -> None:
        with (
            mock.patch.object(self.front.leave, "_close_idle", side_effect=ValueError("a fault")),
            mock.patch.object(self.front.leave, "_shutdown_times", lambda now: (now + 900.0, now + 1_000.0)),
        ):
            self.sched.spawn(self.front.leave.stop)
            self.wait_until(lambda: self.sched.stopped)

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
            self.release_finally()
        got = list(frames.FrameReader().feed(self.read_until_end()))
        self.assertEqual([(f.kind, f.stream) for f in got], [(frames.ANSWER, 1), (frames.GOING, 0)])
        self.assertEqual(len(self.engine.taken), 1)


class SlowReaders(FrontCase):
    """A client that has answers to read while the gateway releases it."""

    BODY = bytes(range(250)) * 800
    LARGEST_WINDOW = 32_768

    def setUp(self) -> None:
        super().setUp()
        for name in ("ACCEPT_GRACE_MS", "REQUEST_GRACE_MS"):
            patch = mock.patch.object(leave_module, name, 5.0)
            patch.start()
            self.addCleanup(patch.stop)
        self.client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.LARGEST_WINDOW)
        self.client.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * len(self.BODY))

    def answer_unread(self) -> None:
        """Answer a request so that the kernel takes the whole answer and the client reads none of it."""
        self.engine.answer(self.send_request(1), self.BODY)
        self.assertEqual(self.client.stream.unsent_bytes, 0)
        self.assertGreater(self.client.stream.undelivered_bytes(), self.LARGEST_WINDOW)
        self.client.last_activity_ms -= 10_000.0

    def run_for(self, duration_ms: float) -> None:
        end_ms = now_ms() + duration_ms
        self.wait_until(lambda: now_ms() > end_ms)

    def check_nothing_is_lost(self) -> None:
        """The client sends one more request before it reads, then gets both answers whole."""
        self.engine.answer(self.send_request(2), b"small")
        got = list(frames.FrameReader().feed(self.read_until_end()))
        bodies = [f.payload[-len(self.BODY) :] for f in got if f.kind == frames.ANSWER]
        self.assertEqual(bodies[0], self.BODY)
        self.assertTrue(bodies[1].endswith(b"small"))
        self.assertEqual(len(bodies), 2)

    def test_a_drain_waits_until_a_client_has_its_answers(self) -> None:
        """It closed sockets whose kernel held answers: the next request reset the connection."""
        self.answer_unread()
        self.front.leave.drain()
        self.run_for(400.0)
        self.check_nothing_is_lost()

    def test_a_hand_over_waits_until_a_client_has_its_answers(self) -> None:
        """As in a drain: of 10 answers 7 were lost at an upgrade."""
        self.answer_unread()
        self.front.leave.hand_over()
        self.run_for(400.0)
        self.check_nothing_is_lost()

    def test_a_stop_waits_until_a_client_has_its_answers(self) -> None:
        self.answer_unread()
        self.sched.spawn(self.front.leave.stop)
        self.run_for(400.0)
        self.check_nothing_is_lost()

    def test_the_last_check_of_a_drain_waits_for_what_the_kernel_holds(self) -> None:
        self.answer_unread()
        self.front.leave._release_clients(final=True)
        self.assertEqual(self.client.close_code, "")

    def test_a_closed_connection_lingers_while_its_client_may_still_read(self) -> None:
        """The client's kernel has all answers, its program not: a close was answered with a reset."""
        self.client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * len(self.BODY))
        self.engine.answer(self.send_request(1), self.BODY)
        self.release_finally()
        self.assertEqual(self.client.close_code, "drained")
        self.run_for(CLOSE_LINGER_MS + 30.0)
        self.front.sweep(now_ms())
        self.assertEqual(self.client.stream.close_code, "")
        self.client_socket.sendall(request_frame(2))
        self.assertIn(self.BODY, self.read_until_end())
        self.front.sweep(now_ms() + 10_000.0)
        self.assertEqual(self.client.stream.close_code, "drained")

    def test_a_client_that_reads_nothing_does_not_hold_up_a_drain_for_ever(self) -> None:
        self.answer_unread()
        self.client.send_going()
        self.front.sweep(now_ms())
        self.front.sweep(now_ms() + MAX_SEND_STALL_MS / 2)
        self.assertEqual(self.client.stream.close_code, "")
        self.front.sweep(now_ms() + MAX_SEND_STALL_MS + 1.0)
        self.assertEqual(self.client.stream.close_code, "slow")

    def test_a_client_that_is_not_told_to_go_may_leave_an_answer_unread(self) -> None:
        self.answer_unread()
        self.front.sweep(now_ms() + 10.0 * MAX_SEND_STALL_MS)
        self.assertEqual(self.client.stream.close_code, "")

    def test_a_client_that_reads_steadily_is_not_closed_as_slow(self) -> None:
        """The kernel reports room only after a third of its buffer: at 0.2 MB/s that took over 5 s."""
        self.engine.answer(self.send_request(1), bytes(16_000_000))
        self.front.sweep(now_ms())
        self.assertGreater(self.client.stream.unsent_bytes, 0)
        for _ in range(3):
            self.client.stream.last_progress_ms -= MAX_SEND_STALL_MS + 1.0
            delivered = self.client.stream.undelivered_bytes()
            self.read_some(delivered)
            self.front.sweep(now_ms())
            self.assertEqual(self.client.stream.close_code, "")
        self.client.stream.last_progress_ms -= MAX_SEND_STALL_MS + 1.0
        self.front.sweep(now_ms())
        self.assertEqual(self.client.stream.close_code, "slow")

    def read_some(self, undelivered: int) -> None:
        """Read until the gateway's kernel has less to deliver, without a turn of the gateway's loop."""
        while self.client.stream.undelivered_bytes() >= undelivered:
            self.client_socket.recv(1_000)


class Reading(unittest.TestCase):
    def test_the_estimate_adds_up_is_bounded_and_ends(self) -> None:
        reading = ReadingEstimate()
        self.assertEqual(reading.remaining_ms(1_000.0), 0.0)
        reading.record_write(240_000, 1_000.0)
        reading.record_write(240_000, 1_100.0)
        self.assertEqual(reading.remaining_ms(1_200.0), 280.0)
        self.assertEqual(reading.remaining_ms(1_480.0), 0.0)
        for _ in range(100):
            reading.record_write(240_000, 2_000.0)
        self.assertEqual(reading.remaining_ms(2_000.0), MAX_READING_MS)
