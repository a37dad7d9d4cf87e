"""Pools and connections of the server side, without a network."""

import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from hitchtiller.back import link as link_module
from hitchtiller.back.link import Link
from hitchtiller.back.upstreams import MAX_REASSIGNMENTS, Upstreams
from hitchtiller.codec.resp import RespError
from hitchtiller.interface import Member
from hitchtiller.news import ListedServer, Topology
from hitchtiller.sched import Scheduler
from hitchtiller.stream import StreamClosed


class Job:
    """A job that records the statuses with which it ended."""

    def __init__(self, name: bytes = b"1", due_ms: float = 1e18) -> None:
        self.name, self.due_ms, self.reassignments, self.repeatable = name, due_ms, 0, True
        self.question = 0
        self.statuses: list[str] = []

    def command(self) -> bytes:
        return b"*1\r\n$1\r\nx\r\n"

    def on_answer(self, reply: str, fields: dict[str, str], body: bytes) -> None:
        self.statuses.append(reply)

    def on_connection_end(self, status: str) -> None:
        self.statuses.append(status)

    def block_until(self, until_ms: float) -> None:
        self.blocked_until_ms = until_ms


class Connections(unittest.TestCase):
    def setUp(self) -> None:
        self.back = Upstreams(Scheduler(), (400.0, 1000.0), 4, 8)
        self.back.follow(Topology((ListedServer(Member("s", "z", "k", "SERVING"), ("127.0.0.1", 1)),), True))
        self.pool = self.back.pools["s"]

    def open_link(self, *jobs: Job) -> Link:
        """Open a connection on which these jobs count as written."""
        link = self.back.open(self.pool)
        link.is_connected, link.open_jobs = True, {job.name: job for job in jobs}
        self.addCleanup(link.stream.close, "end")
        return link

    def call_at(self, now: float, call: Callable[[], Any]) -> Any:
        with mock.patch.object(link_module, "now_ms", lambda: now):
            return call()

    def test_an_unwritten_job_is_reassigned_a_bounded_number_of_times(self) -> None:
        """A server that reset every connection kept the loop busy with reassignments."""
        job = Job()
        for _ in range(MAX_REASSIGNMENTS):
            self.pool.on_link_closed(self.open_link(), [job])
            self.assertFalse(job.statuses)
        self.pool.on_link_closed(self.open_link(), [job])
        self.assertEqual(job.statuses, ["econnrefused"])

    def test_attempts_are_spread_over_several_connections(self) -> None:
        """A single reset ended up to 14 attempts at once."""
        for n in range(12):
            self.pool.submit(Job(b"%d" % n))
            for link in self.pool.links:
                link.is_connected = True
        self.addCleanup(self.pool.close, "end")
        self.assertEqual(sorted(link.job_count() for link in self.pool.links), [0, 4, 4, 4])

    def test_the_gateways_own_connection_limit_is_not_blamed_on_the_server(self) -> None:
        """The server was blamed although no connection to it was tried."""
        self.back.max_links = 0
        job = Job()
        self.pool.submit(job)
        self.assertEqual(job.statuses, ["skipped"])

    def test_killed_ids_are_forgotten_after_a_while(self) -> None:
        jobs = [Job(b"%d" % n) for n in range(50)]
        link = self.open_link(*jobs)
        for n, job in enumerate(jobs):
            self.call_at(n * 1000.0, lambda job=job: link.cancel(job))
        self.assertLessEqual(len(link.killed_jobs), 8)

    def test_a_connection_with_overdue_answers_gets_no_new_jobs_and_is_closed(self) -> None:
        """All its jobs waited for their deadlines."""
        link = self.open_link(Job(due_ms=link_module.now_ms()))
        last_read_ms = link.last_read_ms
        link.check(last_read_ms + 300.0)
        self.assertEqual((link.has_room(b"2"), link.stream.close_code), (False, ""))
        link.check(last_read_ms + 500.0)
        self.assertEqual(link.stream.close_code, "stuck")

    def test_an_invalid_answer_fails_only_its_job_and_other_answers_still_arrive(self) -> None:
        """One such answer failed all jobs of its connection, 7 at once."""
        invalid, valid, unwritten = Job(b"1"), Job(b"2"), Job(b"3")
        invalid.on_answer = mock.Mock(side_effect=RespError("answer"))  # type: ignore[method-assign]
        link = self.open_link(invalid, valid)
        link.submit(unwritten)
        link._handle_answer([b"1", b"DONE", b"-", b""])
        self.assertEqual((invalid.statuses, valid.statuses), (["econnreset"], []))
        self.assertFalse(link.has_room(b"4"))
        self.assertFalse(link.queue, "unwritten jobs are returned to the pool")
        with self.assertRaises(StreamClosed):
            link._handle_answer([b"2", b"DONE", b"-", b""])
        self.assertEqual(valid.statuses, ["DONE"])

    def test_a_silent_connection_is_not_suspect_while_nothing_is_overdue(self) -> None:
        link = self.open_link(Job())
        link.check(link.last_read_ms + 900.0)
        self.assertTrue(link.has_room(b"2"))

    def test_a_truncated_answer_closes_the_connection(self) -> None:
        link = self.open_link(Job())
        list(link.reader.feed(b"*4\r\n"))
        link.check(link.last_read_ms + 500.0)
        self.assertEqual(link.stream.close_code, "stuck")
