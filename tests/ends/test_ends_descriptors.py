"""Without free file descriptors the bus, the links and the listener recover, and no client is lost."""

import os
import resource
import socket
import tempfile
import time
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from unittest import mock

from conftest import BASE
from sides import Job, run_until

from hitchtiller.back.upstreams import Upstreams
from hitchtiller.bus import BusLink
from hitchtiller.exchange import Exchange
from hitchtiller.front.client import Client
from hitchtiller.front.server import Front
from hitchtiller.interface import Member
from hitchtiller.news import Event, ListedServer, Topology
from hitchtiller.ops.holdouts import HoldOuts
from hitchtiller.ops.sign import ProcessMarker
from hitchtiller.ops.upgrade import Upgrade
from hitchtiller.sched import Scheduler
from hitchtiller.stream import Stream

TIMEOUT_S = 5.0


@contextmanager
def no_descriptors() -> Iterator[None]:
    """Set the descriptor limit to the lowest free number, so that nothing can be opened."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    free = os.dup(0)
    os.close(free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class NoDescriptors(unittest.TestCase):
    def setUp(self) -> None:
        self.sched = Scheduler()
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.setblocking(False)
        self.addCleanup(self.server.close)
        self.address = ("127.0.0.1", int(self.server.getsockname()[1]))

    def accept_one(self) -> bool:
        try:
            self.addCleanup(self.server.accept()[0].close)
        except BlockingIOError:
            return False
        return True

    def test_the_bus_subscription_recovers(self) -> None:
        """socket.socket() was outside the try block: the greenlet ended, and later drains were lost."""
        bus = BusLink(self.sched, lambda event: None, self.address, ((), ()))
        with no_descriptors():
            self.sched.spawn(bus.run)
            self.sched.run_once()
        self.assertTrue(run_until(self.sched, self.accept_one))
        assert bus.stream
        bus.stream.close("end")

    def test_a_request_without_a_connection_counts_as_never_sent(self) -> None:
        """The error was raised within an action: the request failed, and its attempt never ended."""
        back = Upstreams(self.sched, (400.0, 1000.0), 4, 8)
        back.follow(Topology((ListedServer(Member("s", "z", "k", "SERVING"), self.address),), True))
        job = Job()
        with no_descriptors():
            back.pools["s"].submit(job)
        self.assertEqual(job.statuses, ["skipped"], "which means that nothing ran")
        self.assertEqual(back.link_count, 0)
        again = Job()
        back.pools["s"].submit(again)
        self.addCleanup(back.pools["s"].close, "end")
        self.assertTrue(run_until(self.sched, self.accept_one), "the pool opens again")

    def test_the_listener_survives_a_client_that_leaves_while_it_is_accepted(self) -> None:
        engine: Any = None
        front = Front(self.sched, engine, BASE, 4, 1000)
        address = front.listen(("127.0.0.1", 0))
        self.addCleanup(front.listener.close)
        with mock.patch("hitchtiller.front.server.Stream", side_effect=OSError):
            first = socket.create_connection(address)
            self.addCleanup(first.close)
            first.setblocking(False)

            def ended() -> bool:
                try:
                    return first.recv(1) == b""
                except BlockingIOError:
                    return False

            self.assertTrue(run_until(self.sched, ended))
        second = socket.create_connection(address)
        self.addCleanup(second.close)
        self.assertTrue(run_until(self.sched, lambda: len(front.clients) == 1))


class UnreadableSharedFolder(unittest.TestCase):
    """The folder that two versions share can't be read: the last known state stays valid."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        older = ProcessMarker(Path(folder.name))
        self.addCleanup(older.remove)
        self.sign = ProcessMarker(Path(folder.name))
        self.addCleanup(self.sign.remove)
        self.front: Any = mock.Mock(accepting=True)
        self.front.unready_reason.return_value = "no list yet"
        self.upgrade = Upgrade(
            Scheduler(), self.sign, self.front, lambda whole: True, lambda two, younger: None
        )

    def test_the_other_process_still_counts_as_alive(self) -> None:
        """The check raised an error: its greenlet ended, and the gateway never became ready."""
        self.assertEqual(len(self.upgrade.older_processes()), 1)
        with no_descriptors():
            self.upgrade.poll()
        self.assertEqual(len(self.upgrade.older_processes()), 1)
        self.assertFalse(self.front.accepting, "the older process serves")

    def test_a_stop_still_drains_the_clients(self) -> None:
        """SIGTERM failed with the check: no client got GOING, and the kill ended the open requests."""
        with no_descriptors():
            self.upgrade.stop()
        self.front.leave.stop.assert_called_once()


class UnreadableHoldOuts(unittest.TestCase):
    def test_hold_outs_are_read_once_descriptors_are_free(self) -> None:
        """The error ended the greenlet, and the file counted as read."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        sched, told = Scheduler(), list[Event]()
        local_holdouts, other_holdouts = (
            HoldOuts(Path(folder.name), told.append, "origin") for _ in range(2)
        )
        server = ListedServer(Member("s-1", "z", "k", "SERVING"), ("127.0.0.1", 1))
        for each in (local_holdouts, other_holdouts):
            each.on_bus_event(Topology((server,), True))
        sched.spawn(local_holdouts.run, sched)
        other_holdouts.disable("s-1")
        with no_descriptors():
            end = time.monotonic() + 0.5
            while time.monotonic() < end:
                sched.later(1.0, lambda: None)
                sched.run_once()
            self.assertEqual(local_holdouts.held_out, frozenset())
        self.assertTrue(run_until(sched, lambda: local_holdouts.held_out == {"s-1"}))


class MakingRoom(unittest.TestCase):
    """Which client is closed when the number of clients is at its limit."""

    def setUp(self) -> None:
        engine: Any = None
        self.sched = Scheduler()
        self.front = Front(self.sched, engine, BASE, 2, 1000)
        self.addCleanup(self.front.listener.close)
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.server.close)

    def add_client(self) -> tuple[Client, socket.socket]:
        other = socket.create_connection(self.server.getsockname())
        self.addCleanup(other.close)
        client = Client(self.front, Stream(self.sched, self.server.accept()[0]), "peer")
        self.addCleanup(client.stream.close, "end")
        client.has_sent_frame = True
        self.front.clients.add(client)
        return client, other

    def test_a_client_waiting_for_its_last_answer_is_not_closed(self) -> None:
        """A closing client counted as idle: its open request was lost with the connection."""
        client, _ = self.add_client()
        exchange: Any = mock.Mock(spec=Exchange)
        client.open_exchanges[1] = exchange
        client.close_when_done("half")
        self.assertFalse(self.front.make_room())
        self.assertEqual(client.stream.close_code, "")

    def test_a_client_with_an_unsent_answer_is_not_closed(self) -> None:
        client, _ = self.add_client()
        client.stream.write(bytes(8_000_000))
        client.close_code = "half"
        self.assertFalse(self.front.make_room())

    def test_an_idle_client_is_closed_before_a_lingering_one(self) -> None:
        lingering, other = self.add_client()
        lingering.last_activity_ms -= 10_000.0
        lingering.close_when_done("half")
        other.sendall(b"late")
        idle, _ = self.add_client()
        self.assertTrue(self.front.make_room())
        self.assertEqual((lingering.stream.close_code, idle.stream.close_code), ("", "full"))
        self.assertTrue(self.front.make_room(), "without an idle client the lingering one is closed")
        self.assertEqual(lingering.stream.close_code, "full")

    def test_a_client_that_has_left_makes_room_before_an_idle_one(self) -> None:
        """Idle clients were closed for connections whose clients had long gone, and lost requests."""
        left, other = self.add_client()
        left.open_exchanges[1] = mock.Mock(spec=Exchange)
        other.sendall(bytes(100_000))
        other.close()
        idle, _ = self.add_client()
        idle.last_activity_ms -= 10_000.0
        self.assertTrue(run_until(self.sched, left.stream.peer_has_closed))
        self.assertTrue(self.front.make_room())
        self.assertEqual((left.stream.close_code, idle.stream.close_code), ("eof", ""))
