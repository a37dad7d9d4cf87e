"""The scheduler and its streams, one turn of the loop at a time."""

import errno
import socket
import struct
import time
import unittest
from functools import partial
from unittest.mock import Mock, patch

from hitchtiller.account import PART_BYTES, Kind
from hitchtiller.bus import CATCH_UP_LIMIT_MS, BusLink
from hitchtiller.sched import (
    MIN_CANCELLED_TIMERS,
    MIN_STALL_MS,
    PAUSED_SHARE_S,
    Scheduler,
    from_monotonic_ms,
    now_ms,
    to_monotonic_ms,
    wall_ms,
)
from hitchtiller.stream import TCP_CLOSE, Stream, StreamClosed


class Clocks(unittest.TestCase):
    def test_a_step_of_the_wall_clock_does_not_show_in_spans(self) -> None:
        before_ms = now_ms()
        with patch("time.time", lambda: 0.0):
            self.assertEqual(wall_ms(), 0.0)
            self.assertGreaterEqual(now_ms(), before_ms)
            self.assertLess(now_ms() - before_ms, 1_000.0)

    def test_a_time_told_to_another_process_is_one_of_the_monotonic_clock(self) -> None:
        at_ms = now_ms()
        self.assertAlmostEqual(to_monotonic_ms(at_ms), time.monotonic() * 1000.0, delta=1_000.0)
        self.assertAlmostEqual(from_monotonic_ms(to_monotonic_ms(at_ms)), at_ms, places=3)


class SchedulerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sched = Scheduler()
        server = socket.create_server(("127.0.0.1", 0))
        self.peer = socket.create_connection(server.getsockname())
        self.stream = Stream(self.sched, server.accept()[0])
        server.close()
        self.addCleanup(self.peer.close)
        self.addCleanup(self.stream.close, "end")
        self.received: list[bytes | str] = []

    def read(self) -> None:
        try:
            while True:
                self.received.append(self.stream.read())
        except StreamClosed as error:
            self.received.append(str(error))

    def run_until(self, count: int) -> None:
        while len(self.received) < count:
            self.sched.run_once()

    def test_a_poll_that_fails_does_not_end_the_loop(self) -> None:
        self.sched.spawn(self.read)
        self.sched.run_once()
        real_poll, failures = self.sched.poll, [errno.ENOMEM, errno.EINVAL, errno.ENOMEM]
        failing = Mock(wraps=real_poll)
        failing.poll.side_effect = lambda timeout: (
            (_ for _ in ()).throw(OSError(failures.pop(), "poll")) if failures else real_poll.poll(timeout)
        )
        self.sched.poll = failing
        self.peer.sendall(b"a")
        self.run_until(1)
        self.assertEqual((self.received, failures), ([b"a"], []))

    def test_bytes_and_the_end_are_read_in_order(self) -> None:
        self.sched.spawn(self.read)
        self.peer.sendall(b"a")
        self.run_until(1)
        self.peer.close()
        self.run_until(2)
        self.assertEqual(self.received, [b"a", "eof"])

    def test_data_left_unread_in_a_busy_turn_counts_from_the_previous_poll(self) -> None:
        """When deadlines counted from the read, they were late by the loop's lag, and requests were lost."""
        self.sched.spawn(self.read)
        self.sched.run_once()
        self.sched.spawn(time.sleep, 0.02)
        self.sched.run_once()
        polled_ms = self.sched.last_poll_ms
        self.peer.sendall(b"a")
        self.run_until(1)
        self.assertLessEqual(self.sched.earliest_arrival_ms, polled_ms)

    def test_a_due_timer_does_not_wait_for_the_rest_of_a_busy_turn(self) -> None:
        """At a lag of 0.15 s, answers due at the deadline came too late."""
        order: list[str] = []
        self.sched.later(5.0, lambda: order.append("due"))
        self.sched.spawn(time.sleep, 0.02)
        self.sched.spawn(order.append, "task")
        self.sched.run_once()
        self.assertEqual(order, ["due", "task"])

    def test_an_exception_in_a_task_or_timer_does_not_stop_the_loop(self) -> None:
        self.sched.spawn(lambda: 1 / 0)
        self.sched.later(0.0, lambda: 1 / 0)
        self.sched.spawn(self.read)
        self.peer.sendall(b"a")
        self.run_until(1)
        self.assertEqual(self.received, [b"a"])

    def test_a_task_that_has_to_go_on_runs_again_after_an_exception_until_it_returns(self) -> None:
        """A fault in one round ended such a task for good."""
        calls = list[int]()

        def run() -> None:
            calls.append(1)
            if len(calls) < 3:
                raise ValueError("a fault")

        with patch("hitchtiller.sched.RESTART_DELAY_MS", 1.0):
            task = self.sched.keep_running(run)
            end = time.monotonic() + 5.0
            while not task.dead and time.monotonic() < end:
                self.sched.later(1.0, lambda: None)
                self.sched.run_once()
        self.assertEqual(len(calls), 3)

    def test_a_write_task_that_fails_closes_its_stream(self) -> None:
        """What was unsent stayed so, and the connection open, until the deadlines of its requests."""
        with patch.object(self.stream, "_flush", side_effect=ValueError("a fault")):
            self.stream.write(bytes(8_000_000))
            self.sched.run_once()
        self.assertEqual(self.stream.close_code, "fault")

    def test_writes_beyond_the_socket_buffer_wait_and_arrive_complete(self) -> None:
        data = bytes(8_000_000)
        self.stream.write(data)
        self.assertGreater(self.stream.unsent_bytes, 0)
        self.peer.setblocking(False)
        received = 0
        while received < len(data):
            self.sched.later(1.0, lambda: None)
            self.sched.run_once()
            try:
                received += len(self.peer.recv(1_000_000))
            except BlockingIOError:
                continue
        self.assertEqual((received, self.stream.unsent_bytes), (len(data), 0))

    def test_a_read_from_a_silent_peer_times_out(self) -> None:
        def read() -> None:
            try:
                self.stream.read(5.0)
            except StreamClosed as error:
                self.received.append(str(error))

        self.sched.spawn(read)
        self.run_until(1)
        self.assertEqual(self.received, ["silent"])


class PeerCloseTest(unittest.TestCase):
    def setUp(self) -> None:
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        self.peer = socket.create_connection(server.getsockname())
        self.addCleanup(self.peer.close)
        self.stream = Stream(Scheduler(), server.accept()[0])
        self.addCleanup(self.stream.close, "end")

    def closed_within(self, seconds: float) -> bool:
        end = time.monotonic() + seconds
        while not self.stream.peer_has_closed() and time.monotonic() < end:
            time.sleep(0.001)
        return self.stream.peer_has_closed()

    def test_a_close_or_reset_is_seen_behind_unread_input(self) -> None:
        self.peer.sendall(bytes(100_000))
        self.assertFalse(self.stream.peer_has_closed())
        self.peer.close()
        self.assertTrue(self.closed_within(5.0))

    def test_a_reset_is_seen(self) -> None:
        self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.peer.close()
        self.assertTrue(self.closed_within(5.0))

    def test_a_system_that_shows_no_connection_as_established_is_not_believed(self) -> None:
        """Every client would have counted as gone."""
        self.stream.was_established = False
        with patch.object(self.stream, "_tcp_state", lambda: TCP_CLOSE):
            self.assertFalse(self.stream.peer_has_closed())


class ShortageTest(unittest.TestCase):
    """The kernel has no memory for buffers for a while."""

    def setUp(self) -> None:
        self.sched = Scheduler()
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        self.peer = socket.create_connection(server.getsockname())
        self.addCleanup(self.peer.close)
        self.stream = Stream(self.sched, server.accept()[0])
        self.addCleanup(self.stream.close, "end")
        self.sock = self.stream.sock

    def fail(self, call: str, error: int, times: int) -> None:  # type: ignore[override]
        """Make a call of the socket fail some times."""
        real, left = getattr(self.sock, call), [OSError(error, "shortage")] * times

        def failing(*args: object) -> object:
            if left:
                raise left.pop()
            return real(*args)

        stand_in = Mock(wraps=self.sock)
        setattr(stand_in, call, failing)
        self.stream.sock = stand_in

    def test_what_can_not_be_sent_for_want_of_kernel_memory_is_sent_later(self) -> None:
        """The connection was closed, and its answers were lost."""
        for error in (errno.ENOBUFS, errno.ENOMEM):
            self.fail("send", error, 3)
            self.stream.write(b"answer")
            while self.stream.unsent:
                self.sched.run_once()
            self.assertEqual((self.peer.recv(100), self.stream.close_code), (b"answer", ""))

    def test_what_a_partly_sent_answer_still_holds_is_charged_and_mostly_sent_ones_are_freed(self) -> None:
        """300 clients that had read half of an answer each made the process hold 17 MB in no account."""
        body = bytes(range(256)) * 1_000
        for sent_bytes in (100_000, 240_000):
            stand_in = Mock(wraps=self.sock)
            stand_in.send = Mock(side_effect=[sent_bytes, BlockingIOError])
            self.stream.sock, self.stream.is_flushing = stand_in, False
            self.stream.write(body)
            part = self.stream.unsent[0]
            self.assertEqual(bytes(part), body[sent_bytes:])
            held_bytes = len(part.obj)  # type: ignore[arg-type]
            self.assertEqual(self.stream.holding.get(Kind.OTHER_OUTPUT), held_bytes + PART_BYTES)
            self.assertEqual(held_bytes, 256_000 if sent_bytes == 100_000 else 16_000)
            self.stream.discard_unsent()
            self.assertEqual(self.stream.holding.held_bytes, 0)

    def test_what_can_not_be_received_for_want_of_kernel_memory_is_read_later(self) -> None:
        received: list[bytes] = []
        self.fail("recv_into", errno.ENOBUFS, 3)
        self.peer.sendall(b"request")
        self.sched.spawn(lambda: received.append(self.stream.read()))
        while not received:
            self.sched.run_once()
        self.assertEqual(received, [b"request"])


class StallTest(unittest.TestCase):
    def test_a_stall_of_the_process_is_detected_and_the_first_turn_is_not_one(self) -> None:
        sched = Scheduler()
        sched.later(1.0, lambda: None)
        sched.run_once()
        self.assertEqual(sched.resumed_ms, 0.0)
        sched.last_poll_ms -= MIN_STALL_MS / 2
        sched.later(1.0, lambda: None)
        sched.run_once()
        self.assertEqual(sched.resumed_ms, 0.0)
        sched.last_poll_ms -= MIN_STALL_MS + 1.0
        sched.later(1.0, lambda: None)
        sched.run_once()
        self.assertEqual(sched.resumed_ms, sched.last_poll_ms)

    def test_after_a_stall_events_may_lack_until_a_frame_comes_or_a_limit_passes(self) -> None:
        sched = Scheduler()
        bus = BusLink(sched, lambda event: None, ("127.0.0.1", 1), ((), ()))
        self.assertFalse(bus.may_lack_events())
        sched.resumed_ms = now_ms()
        self.assertTrue(bus.may_lack_events())
        bus.last_frame_ms = sched.resumed_ms + 1.0
        self.assertFalse(bus.may_lack_events())
        bus.last_frame_ms, sched.resumed_ms = 0.0, now_ms() - CATCH_UP_LIMIT_MS - 1.0
        self.assertFalse(bus.may_lack_events(), "an unreachable bus holds nothing back")


class FairnessTest(unittest.TestCase):
    def test_paused_tasks_share_a_part_of_each_turn_and_the_longest_waiting_goes_first(self) -> None:
        """A turn with 16 requests of each of 300 clients took over a second."""
        sched, order = Scheduler(), list[int]()

        def work(number: int) -> None:
            for _ in range(2):
                sched.pause()
                time.sleep(PAUSED_SHARE_S)
                order.append(number)

        for number in range(5):
            sched.spawn(work, number)
        sched.run_once()
        turns = 1
        while len(order) < 10:
            before = len(order)
            sched.run_once()
            turns += 1
            self.assertEqual(len(order), before + 1)
        self.assertEqual(order, [0, 1, 2, 3, 4] * 2)
        self.assertLessEqual(turns, 11)

    def test_tasks_that_are_woken_do_not_wait_for_the_paused_ones(self) -> None:
        sched, order = Scheduler(), list[str]()

        def work(number: int) -> None:
            sched.pause()
            time.sleep(PAUSED_SHARE_S)
            order.append(str(number))

        for number in range(5):
            sched.spawn(work, number)
        sched.run_once()
        sched.spawn(order.append, "woken")
        sched.run_once()
        self.assertEqual(order, ["0", "woken", "1"])


class TimerTest(unittest.TestCase):
    def test_cancelled_timers_do_not_pile_up_until_they_are_due(self) -> None:
        """Each answered request left one behind until its deadline, under ever new ids without end."""
        sched, calls = Scheduler(), list[int]()
        kept = [sched.later(1.0 + n, partial(calls.append, n)) for n in range(20)]
        for _ in range(50_000):
            sched.later(3_600_000.0, sched.poll_again).cancel()
        self.assertLessEqual(len(sched.timers), MIN_CANCELLED_TIMERS + len(kept) + 1)
        while len(calls) < len(kept):
            sched.run_once()
        self.assertEqual(calls, list(range(20)))

    def test_timers_cancelled_by_a_due_call_are_not_made(self) -> None:
        sched, calls = Scheduler(), list[str]()
        others = [sched.later(200.0, partial(calls.append, "other")) for _ in range(MIN_CANCELLED_TIMERS + 2)]

        def cancel_all() -> None:
            calls.append("due")
            for other in others:
                other.cancel()

        sched.later(0.0, cancel_all)
        sched.later(300.0, partial(calls.append, "last"))
        while "last" not in calls:
            sched.run_once()
        self.assertEqual(calls, ["due", "last"])
