"""Clients that leave, give up, flood or send partial frames at the worst moments."""

import contextlib
import socket
import time
from unittest.mock import patch

from greenlet import greenlet
from sides import FrontCase, request_frame

from hitchtiller.codec import frames
from hitchtiller.front.client import MAX_EXCESS_REQUESTS, MAX_OPEN_REQUESTS
from hitchtiller.ops.stats import Rejection
from hitchtiller.sched import PAUSED_SHARE_S, now_ms


def give_up_frame(stream: int) -> bytes:
    return frames.head(frames.GIVE_UP, stream, 0)


class Departures(FrontCase):
    def test_a_give_up_is_read_while_answers_wait_unsent(self) -> None:
        """While a megabyte was unsent nothing was read: attempts went on for up to 5 s."""
        number = self.send_request(2)
        self.fill_send_buffer()
        self.client_socket.sendall(give_up_frame(2))
        self.wait_until(lambda: bool(self.engine.left), "the GIVE_UP frame is not read")
        self.assertEqual(self.engine.left, [self.engine.open[number].request.id])

    def test_a_disconnect_is_seen_while_answers_wait_unsent(self) -> None:
        self.send_request(2)
        self.fill_send_buffer()
        self.client_socket.shutdown(socket.SHUT_WR)
        self.wait_until(lambda: bool(self.engine.left), "the disconnect is not read")

    def test_a_queued_request_that_is_given_up_is_never_taken(self) -> None:
        self.fill_send_buffer()
        self.client_socket.sendall(request_frame(2) + request_frame(3) + give_up_frame(2))
        self.wait_until(lambda: list(self.client.queued_requests) == [3])
        self.client_socket.setblocking(False)

        def has_read_all() -> bool:
            with contextlib.suppress(BlockingIOError):
                self.client_socket.recv(1_000_000)
            return len(self.engine.taken) == 2

        self.wait_until(has_read_all, "a queued request is taken once the client reads its answers")
        self.assertEqual(
            self.client.stream.reader_bytes, 0, "and its bytes are not counted as buffered any more"
        )
        self.assertEqual(self.engine.taken[1], f"{3:016x}")

    def test_a_request_whose_client_left_during_a_busy_turn_is_not_taken(self) -> None:
        """The disconnect was read a long turn after the request, which was forwarded in between."""

        def busy() -> None:
            self.client_socket.sendall(request_frame(1))  # both arrive while the loop is busy
            self.client_socket.close()
            time.sleep(0.05)

        self.sched.run_once()
        self.sched.spawn(busy)
        self.wait_until(lambda: bool(self.client.stream.close_code))
        self.assertEqual((self.engine.taken, self.client.stream.close_code), ([], "eof"))

    def test_a_give_up_is_read_while_the_connection_is_closing(self) -> None:
        """Once a close had begun nothing was parsed: attempts went on until the deadline."""
        self.send_request(1)
        self.client.close_when_done("half")
        self.client_socket.sendall(give_up_frame(1))
        self.wait_until(lambda: bool(self.engine.left))

    def test_requests_on_a_closing_connection_are_refused_not_dropped(self) -> None:
        number = self.send_request(1)
        self.client.close_when_done("half")
        self.client_socket.sendall(request_frame(2))
        self.wait_until(lambda: self.engine.stats.answer_totals()["refused"] == 1)
        self.engine.answer(number, b"x")
        answers = [(f.stream, f.payload[0]) for f in frames.FrameReader().feed(self.read_until_end())]
        self.assertEqual(answers, [(2, frames.REFUSED), (1, frames.SERVED)])


class Bursts(FrontCase):
    def test_a_client_whose_requests_wait_for_a_shorter_turn_is_neither_idle_nor_timed_out(self) -> None:
        """Its requests had been read, and were lost when it made room or timed out."""
        with patch.object(self.sched, "is_turn_long", lambda: True):
            for _ in range(3):
                self.sched.paused.append(
                    greenlet(lambda _: time.sleep(PAUSED_SHARE_S), parent=self.sched.hub)
                )
            self.client_socket.sendall(b"".join(request_frame(stream) for stream in range(1, 21)))
            self.wait_until(lambda: self.client.is_parsing)
            self.assertEqual(self.engine.taken, [])
            late_ms = now_ms() + 10_000.0
            self.assertEqual((self.client.is_idle(), self.client.timeout_code(late_ms)), (False, ""))
            self.front.sweep(late_ms)
            self.assertFalse(self.front.make_room())
            self.client.send_going()
            self.front.leave._release_clients(final=True)
            self.wait_until(lambda: len(self.engine.taken) == 20)
        self.assertEqual((self.client.close_code, self.client.stream.close_code), ("", ""))


class Floods(FrontCase):
    def test_a_client_that_floods_requests_is_closed_and_others_are_not(self) -> None:
        for stream in range(1, MAX_OPEN_REQUESTS + 1):
            self.client_socket.sendall(request_frame(stream))
        self.wait_until(lambda: len(self.engine.taken) == MAX_OPEN_REQUESTS)
        for stream in range(MAX_OPEN_REQUESTS + 1, MAX_OPEN_REQUESTS + MAX_EXCESS_REQUESTS + 2):
            self.client_socket.sendall(request_frame(stream))
        self.wait_until(lambda: self.client.close_code == "flood")
        self.assertEqual(self.client.open_exchanges, {})
        self.assertEqual(len(self.engine.taken), MAX_OPEN_REQUESTS)
        flooder = self.client
        self.client_socket.close()
        self.wait_until(lambda: bool(flooder.stream.close_code))
        self.assertEqual(flooder.stream.close_code, "flood")
        self.client_socket = self.connect()
        self.engine.answer(self.send_request(1), b"x")

    def test_a_client_that_reads_no_answers_is_closed_at_the_queue_limit(self) -> None:
        """Requests may be queued while answers are unsent, but no more of them than may be open."""
        self.fill_send_buffer()
        for stream in range(2, MAX_OPEN_REQUESTS + 3):
            self.client_socket.sendall(request_frame(stream))
        self.wait_until(lambda: self.client.close_code == "flood")
        self.assertEqual((len(self.engine.taken), self.client.queued_requests), (1, {}))


class PartialRequests(FrontCase):
    def test_the_rest_of_a_request_that_arrives_at_its_timeout_is_read(self) -> None:
        """The sweep closed the connection although the rest was unread: a whole request was lost."""
        data = request_frame(1)
        self.client_socket.sendall(data[:20])
        self.wait_until(lambda: self.client.stream.reader_bytes > 0)
        self.client_socket.sendall(data[20:])  # unread, as the loop has not run
        late_ms = now_ms() + 10_000.0
        self.assertEqual(self.client.timeout_code(late_ms), "unasked")
        self.front.sweep(late_ms)
        self.wait_until(lambda: len(self.engine.taken) == 1)
        self.engine.answer(0, b"x")


class ReusedIds(FrontCase):
    """A request id that comes again: each request has an id of its own (PROTOCOL, clients to gateways)."""

    def test_one_that_was_taken_back_is_failed_if_it_asks_for_another_object(self) -> None:
        """It was sent to a server that may still have been answering the first request under the same id."""
        self.client_socket.sendall(request_frame(1, i="a" * 16) + give_up_frame(1))
        self.wait_until(lambda: bool(self.engine.left))
        self.client_socket.sendall(request_frame(2, i="A" * 16, o="0" * 16))
        self.assertEqual(self.read_answer().payload[0], frames.FAILED)
        self.assertEqual(len(self.engine.taken), 1)
        self.assertEqual(self.engine.stats.rejections, {Rejection.REUSED: 1})

    def test_one_that_was_taken_back_is_accepted_if_it_asks_for_the_same(self) -> None:
        self.client_socket.sendall(request_frame(1, i="a" * 16) + give_up_frame(1))
        self.wait_until(lambda: bool(self.engine.left))
        self.client_socket.sendall(request_frame(2, i="a" * 16))
        self.wait_until(lambda: len(self.engine.taken) == 2)

    def test_one_whose_client_closed_its_connection_is_failed_on_another_connection(self) -> None:
        self.client_socket.sendall(request_frame(1, i="a" * 16))
        self.wait_until(lambda: len(self.engine.taken) == 1)
        self.client_socket.close()
        self.wait_until(lambda: bool(self.engine.left))
        self.client_socket = self.connect()
        self.client_socket.sendall(request_frame(1, i="a" * 16, o="0" * 16))
        self.assertEqual(self.read_answer().payload[0], frames.FAILED)

    def read_answer(self) -> frames.Frame:
        """Return the next frame that the gateway sends."""
        reader, received = frames.FrameReader(), list[frames.Frame]()
        self.client_socket.setblocking(False)

        def has_frame() -> bool:
            with contextlib.suppress(BlockingIOError):
                received.extend(reader.feed(self.client_socket.recv(65_536)))
            return bool(received)

        self.wait_until(has_frame, "there is no answer")
        return received[0]
