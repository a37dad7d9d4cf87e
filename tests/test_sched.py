"""The scheduler, turn by turn."""

import socket
import time
import unittest

from hitchtiller.bus import CATCH_UP_LIMIT_MS, BusLink
from hitchtiller.sched import MIN_STALL_MS, Closed, Scheduler, Stream, now_ms


class Turns(unittest.TestCase):
    def setUp(self) -> None:
        self.sched = Scheduler()
        server = socket.create_server(("127.0.0.1", 0))
        self.other = socket.create_connection(server.getsockname())
        self.stream = Stream(self.sched, server.accept()[0])
        server.close()
        self.addCleanup(self.other.close)
        self.addCleanup(self.stream.close, "end")
        self.got: list[bytes | str] = []

    def read(self) -> None:
        try:
            while True:
                self.got.append(self.stream.read())
        except Closed as error:
            self.got.append(str(error))

    def until(self, count: int) -> None:
        while len(self.got) < count:
            self.sched.turn()

    def test_bytes_and_the_end_are_read_in_order(self) -> None:
        self.sched.spawn(self.read)
        self.other.sendall(b"a")
        self.until(1)
        self.other.close()
        self.until(2)
        self.assertEqual(self.got, [b"a", "eof"])

    def test_what_lay_unread_in_a_busy_turn_counts_from_the_last_look(self) -> None:
        """Deadlines counted from the read were late by the loop's lag, and requests were lost."""
        self.sched.spawn(self.read)
        self.sched.turn()
        self.sched.spawn(time.sleep, 0.02)
        self.sched.turn()
        polled_ms = self.sched.last_poll_ms
        self.other.sendall(b"a")
        self.until(1)
        self.assertLessEqual(self.sched.arrival_ms, polled_ms)

    def test_a_due_call_does_not_wait_for_the_rest_of_a_busy_turn(self) -> None:
        """Answers at the deadline came too late at 0.15 s of lag."""
        order: list[str] = []
        self.sched.later(5.0, lambda: order.append("due"))
        self.sched.spawn(time.sleep, 0.02)
        self.sched.spawn(order.append, "task")
        self.sched.turn()
        self.assertEqual(order, ["due", "task"])

    def test_a_fault_in_a_task_or_timer_ends_it_alone(self) -> None:
        self.sched.spawn(lambda: 1 / 0)
        self.sched.later(0.0, lambda: 1 / 0)
        self.sched.spawn(self.read)
        self.other.sendall(b"a")
        self.until(1)
        self.assertEqual(self.got, [b"a"])

    def test_writes_past_the_sockets_buffer_wait_and_arrive_whole(self) -> None:
        data = bytes(8_000_000)
        self.stream.write(data)
        self.assertGreater(self.stream.size, 0)
        self.other.setblocking(False)
        got = 0
        while got < len(data):
            self.sched.later(1.0, lambda: None)
            self.sched.turn()
            try:
                got += len(self.other.recv(1_000_000))
            except BlockingIOError:
                continue
        self.assertEqual((got, self.stream.size), (len(data), 0))

    def test_a_silent_peer_is_told(self) -> None:
        def read() -> None:
            try:
                self.stream.read(5.0)
            except Closed as error:
                self.got.append(str(error))

        self.sched.spawn(read)
        self.until(1)
        self.assertEqual(self.got, ["silent"])


class Stalls(unittest.TestCase):
    def test_a_time_in_which_the_process_did_not_run_is_seen_and_the_first_turn_is_none(self) -> None:
        sched = Scheduler()
        sched.later(1.0, lambda: None)
        sched.turn()
        self.assertEqual(sched.resumed_ms, 0.0)
        sched.last_poll_ms -= MIN_STALL_MS / 2
        sched.later(1.0, lambda: None)
        sched.turn()
        self.assertEqual(sched.resumed_ms, 0.0)
        sched.last_poll_ms -= MIN_STALL_MS + 1.0
        sched.later(1.0, lambda: None)
        sched.turn()
        self.assertEqual(sched.resumed_ms, sched.last_poll_ms)

    def test_news_are_behind_until_the_bus_is_heard_and_not_for_long(self) -> None:
        sched = Scheduler()
        bus = BusLink(sched, lambda event: None, ("127.0.0.1", 1), ((), ()))
        self.assertFalse(bus.may_lack_events())
        sched.resumed_ms = now_ms()
        self.assertTrue(bus.may_lack_events())
        bus.last_frame_ms = sched.resumed_ms + 1.0
        self.assertFalse(bus.may_lack_events())
        bus.last_frame_ms, sched.resumed_ms = 0.0, now_ms() - CATCH_UP_LIMIT_MS - 1.0
        self.assertFalse(bus.may_lack_events(), "a bus that is away keeps nothing back")
