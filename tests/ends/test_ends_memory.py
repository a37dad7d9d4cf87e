"""Memory that clients make the gateway hold: who may hold how much, and that all of it is freed."""

import contextlib
import sys
import time

from sides import FrontCase, request_frame

from hitchtiller.account import Kind
from hitchtiller.codec import frames
from hitchtiller.front.asks import MAX_REQUEST_BYTES
from hitchtiller.front.client import OPEN_REQUEST_BYTES
from hitchtiller.front.frame_timeout import FRAME_TIMEOUT_MS, MAX_FRAME_MS
from hitchtiller.ops.stats import Rejection
from hitchtiller.sched import now_ms

LIMIT_BYTES = 1_000_000
WRITE_BYTES = 47_000


def write_frame(stream: int, size: int = WRITE_BYTES) -> bytes:
    """Return a request with a body of `size` bytes."""
    fields = {"c": "once", "i": f"{stream:016x}", "d": "2000", "o": f"{42:016x}"}
    payload = frames.write_fields(fields) + bytes(size)
    return frames.head(frames.REQUEST, stream, len(payload)) + payload


class MemoryCase(FrontCase):
    """A front whose connections may hold LIMIT_BYTES together."""

    def setUp(self) -> None:
        super().setUp()
        self.front.account.limit_bytes = LIMIT_BYTES

    def send(self, data: bytes) -> None:
        """Send all of it while the loop runs."""
        self.client_socket.setblocking(False)
        rest = memoryview(data)

        def sent() -> bool:
            nonlocal rest
            with contextlib.suppress(BlockingIOError):
                rest = rest[self.client_socket.send(rest) :]
            return not rest

        self.wait_until(sent)

    def answers(self, wanted: int) -> list[tuple[int, int]]:
        """Read answers; return their streams and codes."""
        reader, found = frames.FrameReader(), list[tuple[int, int]]()
        self.client_socket.setblocking(False)

        def complete() -> bool:
            with contextlib.suppress(BlockingIOError):
                data = self.client_socket.recv(1_000_000)
                found.extend((f.stream, f.payload[0]) for f in reader.feed(data) if f.kind == frames.ANSWER)
            return len(found) >= wanted

        self.wait_until(complete, f"only {found}")
        return found

    def held(self, kind: Kind) -> int:
        return self.front.account.bytes_by_kind[kind]


class PartialFrames(MemoryCase):
    def test_a_frame_longer_than_any_request_is_not_held_and_its_request_fails(self) -> None:
        data = write_frame(7, 250_000)
        self.send(data[:-1])
        self.wait_until(lambda: self.client.reader.arrived_bytes == len(data) - 1)
        self.assertEqual(self.held(Kind.PARTIAL_REQUEST), 0)
        self.send(data[-1:] + request_frame(8))
        self.assertEqual(self.answers(1), [(7, frames.FAILED)])
        self.wait_until(lambda: self.engine.taken == [f"{8:016x}"])
        self.assertEqual(self.engine.stats.rejections[Rejection.TOO_LONG], 1)

    def test_the_longest_valid_request_is_accepted(self) -> None:
        fields = {"c": "once", "i": "1" * 16, "d": "2000", "o": f"{42:016x}", "pad": ""}
        spare = MAX_REQUEST_BYTES - 48_000 - len(frames.write_fields(fields))
        payload = frames.write_fields(fields | {"pad": "x" * spare}) + bytes(48_000)
        self.assertEqual(len(payload), MAX_REQUEST_BYTES)
        self.send(frames.head(frames.REQUEST, 1, len(payload)) + payload)
        self.wait_until(lambda: len(self.engine.taken) == 1)

    def test_a_stopped_partial_request_is_dropped_when_another_client_needs_its_room(self) -> None:
        """Requests of others were refused for it, until its connection timed out."""
        stopped, stopped_socket = self.client, self.client_socket
        self.send(write_frame(1)[:-1])
        self.wait_until(lambda: self.held(Kind.PARTIAL_REQUEST) >= WRITE_BYTES)
        self.front.account.limit_bytes = 60_000  # as when another process comes to share the memory
        stopped.last_input_ms -= 1_000.0
        self.client_socket = self.connect()
        self.send(write_frame(2))
        self.wait_until(lambda: self.engine.taken == [f"{2:016x}"])
        self.assertIsNotNone(stopped.reader.dropping)
        self.client_socket = stopped_socket
        self.send(write_frame(1)[-1:])
        self.assertEqual(self.answers(1), [(1, frames.FAILED)])
        self.assertEqual(self.engine.stats.rejections[Rejection.MEMORY], 1)


class DeferredRequests(MemoryCase):
    """While room is short, the rest of a large request stays in the kernel."""

    def setUp(self) -> None:
        super().setUp()
        self.front.account.limit_bytes = 80_000  # room for one write, but not for the parts of another

    def test_the_parts_of_a_slow_request_are_not_held_and_it_is_served_once_it_is_whole(self) -> None:
        data = write_frame(1)
        for start in range(0, len(data) - 1, 4_000):
            self.send(data[start : min(start + 4_000, len(data) - 1)])
            self.sched.run_once()
        self.wait_until(lambda: self.client.is_deferred and self.client.stream.unread_bytes() > 40_000)
        self.assertLess(self.held(Kind.PARTIAL_REQUEST), 8_000)
        self.send(data[-1:])
        self.wait_until(lambda: self.engine.taken == [f"{1:016x}"])

    def test_a_slow_request_that_is_deferred_is_not_dropped_for_others(self) -> None:
        data = write_frame(1)
        self.send(data[:-1])
        self.wait_until(lambda: self.client.is_deferred and self.client.stream.unread_bytes() > 40_000)
        self.client.last_input_ms -= 1_000.0
        slow_socket, self.client_socket = self.client_socket, self.connect()
        self.front.account.limit_bytes = 1_000
        self.front.relieve_memory()
        self.assertIsNone(self.client.reader.dropping)
        self.front.account.limit_bytes = 80_000
        self.client_socket = slow_socket
        self.send(data[-1:])
        self.wait_until(lambda: self.engine.taken == [f"{1:016x}"])

    def test_a_whole_request_waits_for_the_room_of_another(self) -> None:
        self.send(write_frame(1))
        self.wait_until(lambda: len(self.engine.taken) == 1)
        self.client_socket = self.connect()
        self.send(write_frame(2))
        self.wait_until(lambda: bool(self.front.room_queue.waiting))
        self.engine.answer(0, b"x")
        self.wait_until(lambda: self.engine.taken[1:] == [f"{2:016x}"])

    def test_a_whole_request_that_finds_no_room_in_time_is_answered_and_the_next_one_is_served(self) -> None:
        self.send(write_frame(1))
        self.wait_until(lambda: len(self.engine.taken) == 1)
        self.client_socket = self.connect()
        self.send(write_frame(2) + request_frame(3))
        self.assertEqual(self.answers(1), [(2, frames.FAILED)])
        self.assertEqual(self.engine.stats.rejections[Rejection.MEMORY], 1)
        self.wait_until(lambda: self.engine.taken[1:] == [f"{3:016x}"])

    def test_a_deferred_request_that_stops_is_closed_after_its_time(self) -> None:
        self.send(write_frame(1)[:-1])
        self.wait_until(lambda: self.client.is_deferred and self.client.stream.unread_bytes() > 40_000)
        now = now_ms()
        self.front.sweep(now)
        self.assertIn(self.client, self.front.clients)
        self.front.sweep(now + FRAME_TIMEOUT_MS + 1.0)
        self.wait_until(lambda: not self.front.clients)

    def test_a_deferred_request_that_is_whole_is_not_closed_for_its_time(self) -> None:
        data = write_frame(1)
        self.send(data[:-1])
        self.wait_until(lambda: self.client.is_deferred and self.client.stream.unread_bytes() > 40_000)
        self.client_socket.sendall(data[-1:])  # the loop has not seen it yet
        missing_bytes = self.client.reader.missing_bytes
        while self.client.stream.unread_bytes() < missing_bytes:
            time.sleep(0.001)
        self.front.sweep(now_ms() + MAX_FRAME_MS + 1.0)
        self.wait_until(lambda: self.engine.taken == [f"{1:016x}"])

    def test_a_stopped_request_that_held_much_before_it_was_deferred_is_dropped_and_times_out(self) -> None:
        self.front.account.limit_bytes = LIMIT_BYTES
        self.send(write_frame(1)[:-10_000])
        self.wait_until(lambda: self.held(Kind.PARTIAL_REQUEST) > 35_000)
        self.front.account.limit_bytes = 60_000
        self.send(bytes(100))  # makes the client look at its room again
        self.wait_until(lambda: self.client.is_deferred)
        self.front.relieve_memory(LIMIT_BYTES)
        self.assertIsNotNone(self.client.reader.dropping)
        self.front.sweep(now_ms() + MAX_FRAME_MS + 1.0)
        self.wait_until(lambda: not self.front.clients)

    def test_a_deferred_request_that_grows_is_not_closed(self) -> None:
        data = write_frame(1)
        self.send(data[:30_000])
        self.wait_until(lambda: self.client.is_deferred and self.client.stream.unread_bytes() > 20_000)
        now = now_ms()
        self.front.sweep(now)
        self.send(data[30_000:31_000])
        self.wait_until(lambda: self.client.stream.unread_bytes() > 28_000)
        self.front.sweep(now + FRAME_TIMEOUT_MS - 1.0)
        self.front.sweep(now + FRAME_TIMEOUT_MS + 1.0)
        self.assertIn(self.client, self.front.clients)

    def test_the_input_of_a_deferred_request_is_dropped_once_its_connection_closes(self) -> None:
        """A close over unread input resets the connection, and with it answers under way."""
        self.send(write_frame(1)[:-1])
        self.wait_until(lambda: self.client.is_deferred and self.client.stream.unread_bytes() > 40_000)
        self.client.close_when_done("half")
        self.wait_until(lambda: self.client.stream.unread_bytes() == 0)
        self.assertFalse(self.client.stream.close_code)

    def test_a_client_that_leaves_a_deferred_request_is_removed_at_once(self) -> None:
        self.send(write_frame(1)[:-1])
        self.wait_until(lambda: self.client.is_deferred and self.client.stream.unread_bytes() > 40_000)
        self.client_socket.close()
        self.wait_until(lambda: not self.front.clients)
        self.assertEqual(self.front.account.held_bytes, 0)


class Shares(MemoryCase):
    def test_one_connection_can_not_use_up_the_room_of_the_others(self) -> None:
        self.send(b"".join(write_frame(stream) for stream in range(1, 33)))
        rejections = self.engine.stats.rejections
        self.wait_until(lambda: len(self.engine.taken) + rejections[Rejection.MEMORY] == 32)
        self.assertGreaterEqual(len(self.engine.taken), 1)
        self.assertEqual({code for _, code in self.answers(rejections[Rejection.MEMORY])}, {frames.REFUSED})
        self.assertLess(self.front.account.held_bytes, 0.5 * LIMIT_BYTES)
        for client in range(4):
            self.client_socket = self.connect()
            self.send(write_frame(100 + client))
            self.wait_until(lambda id=f"{100 + client:016x}": id in self.engine.taken)  # type: ignore[misc]

    def test_a_client_that_reads_nothing_loses_its_own_answers_not_those_of_others(self) -> None:
        body = bytes(200_000)
        account = self.front.account
        self.front.account.limit_bytes = 50_000_000
        for stream in range(1, 33):
            self.send_request(stream)
        self.front.account.limit_bytes = LIMIT_BYTES
        self.assertTrue(self.client.has_room(len(body)))
        answered = 0
        while self.client.has_room(len(body)) and answered < 32:
            self.engine.answer(answered, body)
            answered += 1
            self.sched.run_once()
        self.assertLess(answered, 32)
        self.assertLess(account.held_bytes, LIMIT_BYTES)
        self.client_socket = self.connect()
        other = self.newest_client()
        self.assertTrue(other.has_room(len(body)))


class QueuedRequests(MemoryCase):
    def test_a_task_that_waits_with_queued_requests_does_not_keep_the_last_one(self) -> None:
        handled, may_write = list[frames.Frame](), True
        self.client._handle_request = lambda frame, arrived_ms: handled.append(frame)  # type: ignore[method-assign]
        self.client._reads_answers = lambda: may_write and not handled  # type: ignore[method-assign]
        for stream in (1, 2):
            frame = frames.Frame(frames.REQUEST, stream, bytes(WRITE_BYTES))
            self.client.queued_requests[stream] = (frame, now_ms())
        del frame
        self.sched.spawn(self.client._process_queued)
        self.wait_until(lambda: len(handled) == 1 and len(self.client.queued_requests) == 1)
        self.sched.run_once()
        frame = handled.pop()
        may_write = False
        self.assertEqual(sys.getrefcount(frame), 2)  # the name here, and the argument of the call


class Release(MemoryCase):
    def test_an_open_request_is_charged_until_it_is_answered(self) -> None:
        self.send(write_frame(1))
        self.wait_until(lambda: len(self.engine.taken) == 1)
        self.assertEqual(self.held(Kind.OPEN_REQUEST), OPEN_REQUEST_BYTES + WRITE_BYTES)
        self.engine.answer(0, b"x")
        self.assertEqual(self.held(Kind.OPEN_REQUEST), 0)

    def test_a_request_that_is_given_up_is_not_charged_any_more(self) -> None:
        self.send(write_frame(1))
        self.wait_until(lambda: self.held(Kind.OPEN_REQUEST) > 0)
        self.send(frames.head(frames.GIVE_UP, 1, 0))
        self.wait_until(lambda: self.held(Kind.OPEN_REQUEST) == 0)

    def test_nothing_is_charged_once_a_client_has_left(self) -> None:
        self.send(write_frame(1) + write_frame(2)[:-5])
        self.wait_until(lambda: self.held(Kind.PARTIAL_REQUEST) > 0 and self.held(Kind.OPEN_REQUEST) > 0)
        self.client_socket.close()
        self.wait_until(lambda: not self.front.clients)
        self.assertEqual(self.front.account.held_bytes, 0)
        self.assertFalse(any(self.front.account.bytes_by_kind))
