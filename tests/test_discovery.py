"""Server lists that arrive late, incomplete, twice, out of order, or with a known address under a new id."""

import unittest

from conftest import FLEET, Bench, gets

from hitchtiller import interface as api
from hitchtiller.back.upstreams import Upstreams
from hitchtiller.bus import BusLink
from hitchtiller.codec.bus import HEAD, RECORD, BusReader
from hitchtiller.news import Event, ListedServer, Topology
from hitchtiller.sched import Scheduler

ZONES, KINDS = ("hub", "z1", "z2"), ("box", "parent", "origin")


def record(number: int, state: int, port: int = 8080, started: int = 0) -> bytes:
    return RECORD.pack(number, bytes([127, 0, 0, 1]), port, state, 1, 0, 0, 8000, started)


def frame(number: int, kind: int, *records: bytes) -> bytes:
    body = HEAD.pack(number, kind) + b"".join(records)
    return len(body).to_bytes(4, "big") + body


class DiscoveryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.received: list[Event] = []
        self.bus = BusLink(Scheduler(), self.received.append, ("127.0.0.1", 1), (ZONES, KINDS))
        self.reader = BusReader(ZONES, KINDS)

    def feed(self, data: bytes) -> None:
        for event in self.reader.feed(data):
            self.bus.apply(event)

    def states(self) -> list[str]:
        return [
            host.member.state
            for event in self.received
            if isinstance(event, Topology)
            for host in event.hosts
        ]

    def test_a_repeated_event_or_one_with_an_old_number_changes_nothing(self) -> None:
        """A drain must not be undone by an older event that arrives late."""
        drain, older = frame(5, 2, record(7, 1)), frame(4, 2, record(7, 0))
        self.feed(drain + drain + older + frame(5, 1, record(7, 0)))
        self.assertEqual((self.states(), self.bus.last_number), (["DRAINING"], 5))

    def test_an_incomplete_event_is_not_applied(self) -> None:
        """Half of a complete list would make the servers that it lacks look gone."""
        whole = frame(6, 1, record(7, 0), record(8, 0), record(9, 0))
        for cut in range(len(whole)):
            reader = BusReader(ZONES, KINDS)
            self.assertEqual(list(reader.feed(whole[:cut])), [])
            ((number, event),) = reader.feed(whole[cut:])
            assert isinstance(event, Topology)
            self.assertEqual((number, len(event.hosts)), (6, 3))

    def test_an_exception_in_one_event_does_not_end_the_subscription(self) -> None:
        def fail(_: Event) -> None:
            raise ValueError("no such zone")

        self.bus.on_event = fail
        self.feed(frame(5, 2, record(7, 1)))
        self.bus.on_event = self.received.append
        self.feed(frame(6, 2, record(7, 1)))
        self.assertEqual((self.states(), self.bus.last_number), (["DRAINING"], 6))

    def test_an_address_under_a_new_id_is_another_process(self) -> None:
        """Attempts at the old process must not count as the new one's, nor may its connections be reused."""
        back, address = Upstreams(Scheduler(), (400.0, 1000.0), 4, 8), ("127.0.0.1", 1)
        back.follow(Topology((ListedServer(api.Member("old", "z1", "box", "SERVING"), address),), True))()
        pool = back.pools["old"]
        link = back.open(pool)
        back.follow(
            Topology((ListedServer(api.Member("new", "z1", "box", "SERVING", 9.0), address),), True)
        )()
        self.assertEqual((list(back.pools), link.stream.close_code, pool.closed), (["new"], "gone", True))
        self.assertEqual(back.pools["new"].links, [])

    def test_a_repeated_complete_list_resets_no_state_and_no_slow_start(self) -> None:
        bench = Bench(siblings="none")
        (get,) = gets(bench.ask(1, key=5))
        node = bench.router.nodes[get.server]
        node.failure_score = 0.3
        for _ in range(3):
            bench.give(api.Members(FLEET, whole=True))
        self.assertIs(bench.router.nodes[get.server], node)
        self.assertEqual((node.failure_score, node.in_flight), (0.3, 1))
        self.assertEqual(bench.router.cold_rate(node), float("inf"))

    def test_with_an_empty_list_requests_are_refused_at_once_and_the_next_list_is_used(self) -> None:
        bench = Bench(siblings="none")
        bench.give(api.Members((), whole=True))
        (final,) = bench.ask(1, key=5)
        self.assertIsInstance(final, api.Refuse)
        bench.give(api.Members(FLEET, whole=True))
        self.assertTrue(gets(bench.ask(2, key=5)))
