"""Connections to servers: cancelled, broken and endless answers, and messages that must not overtake them."""

import socket
import sys
import time
import unittest
from collections.abc import Callable
from unittest import mock

from sides import TIMEOUT_S, Job, run_until

from hitchtiller import interface as api
from hitchtiller.account import Holding, Kind
from hitchtiller.back import link as link_module
from hitchtiller.back.link import Link
from hitchtiller.back.recent_names import LATE_ANSWER_MS
from hitchtiller.back.upstreams import Pool, Upstreams
from hitchtiller.codec import resp
from hitchtiller.exchange import Attempt, ClientRequest, Exchange, SendLimits
from hitchtiller.interface import Member
from hitchtiller.news import ListedServer, Topology
from hitchtiller.sched import READ, Scheduler, now_ms

CONNECT_MS = 400.0


class LinkCase(unittest.TestCase):
    """A test with one server on a real socket and the pool of connections to it."""

    def setUp(self) -> None:
        self.sched = Scheduler()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.back = Upstreams(self.sched, (CONNECT_MS, 15_000.0), 32, 64)
        address = ("127.0.0.1", int(self.listener.getsockname()[1]))
        self.back.follow(Topology((ListedServer(Member("s", "z", "k", "SERVING"), address),), True))
        self.pool: Pool = self.back.pools["s"]
        self.addCleanup(self.pool.close, "end")

    def wait_until(self, done: Callable[[], bool]) -> None:
        self.assertTrue(run_until(self.sched, done), "the condition does not come true")

    def write_job(self, job: Job) -> tuple[Link, socket.socket]:
        """Submit a job; return the connection on which it was written, and the server's end of it."""
        before = len(self.pool.links)
        self.pool.submit(job)
        self.wait_until(lambda: any(link.open_jobs.get(job.name) is job for link in self.pool.links))
        (link,) = (link for link in self.pool.links if link.open_jobs.get(job.name) is job)
        self.assertEqual(len(self.pool.links), before + 1)
        server = self.listener.accept()[0]
        server.settimeout(TIMEOUT_S)
        self.addCleanup(server.close)
        return link, server


class Memory(LinkCase):
    def send_partial_answer(self) -> Link:
        """Let a server send a part of an answer that takes half of the limit."""
        job = Job(b"a")
        link, server = self.write_job(job)
        self.sched.account.limit_bytes = 200_000
        server.sendall(b"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$150000\r\n" + bytes(100_000))
        self.wait_until(lambda: link.stream.reader_bytes >= 100_000)
        link.is_suspect = True  # the next job gets a connection of its own
        return link

    def test_a_connection_that_waits_for_more_does_not_keep_its_last_answer(self) -> None:
        """43 idle connections kept 10 MB of answers that had long been delivered, in no account."""
        job, bodies = Job(b"a"), list[bytes]()
        _, server = self.write_job(job)
        job.on_answer = lambda reply, fields, body: bodies.append(body)  # type: ignore[method-assign]
        server.sendall(resp.write_command(b"a", b"DONE", b"-", bytes(100_000)))
        self.wait_until(lambda: bool(bodies))
        for _ in range(3):
            self.sched.run_once()
        body = bodies.pop()
        self.assertEqual(sys.getrefcount(body), 2)  # the name here, and the argument of the call

    def test_the_largest_partial_answer_is_given_up_once_all_room_is_used(self) -> None:
        link = self.send_partial_answer()
        self.assertEqual(link.stream.close_code, "")
        Holding(self.sched.account).add(Kind.UNSENT_ANSWER, 100_000)
        other, server = self.write_job(Job(b"b"))
        server.sendall(b"*4\r\n$1\r\nb\r\n")
        self.wait_until(lambda: bool(link.stream.close_code))
        self.assertEqual((link.stream.close_code, other.stream.close_code), ("memory", ""))

    def test_small_partial_answers_are_kept_although_others_use_all_room(self) -> None:
        link = self.send_partial_answer()
        self.sched.account.limit_bytes = 500_000
        Holding(self.sched.account).add(Kind.OTHER_OUTPUT, 500_000)
        self.assertTrue(self.sched.account.is_full())
        other, server = self.write_job(Job(b"b"))
        server.sendall(b"*4\r\n$1\r\nb")
        self.wait_until(lambda: other.stream.reader_bytes > 0)
        self.assertEqual((link.stream.close_code, other.stream.close_code), ("", ""))


class ReplacedProcesses(LinkCase):
    def test_a_connection_made_after_the_server_closed_one_is_uncertain_and_an_older_one_is_not(self) -> None:
        older, _ = self.write_job(Job(b"a"))
        older.is_suspect = True
        reset, server = self.write_job(Job(b"b"))
        server.close()
        self.wait_until(lambda: bool(reset.stream.close_code))
        job = Job(b"c")
        newer, _ = self.write_job(job)
        self.assertFalse(job.process_is_certain)
        self.assertGreater(newer.uncertain_until_ms, now_ms())
        self.assertLess(older.uncertain_until_ms, now_ms())
        job = Job(b"d")
        newer.uncertain_until_ms = now_ms() - 1.0
        newer.submit(job)
        self.wait_until(lambda: b"d" in newer.open_jobs)
        self.assertTrue(job.process_is_certain)

    def test_a_newly_listed_process_at_the_address_of_another_replaces_it(self) -> None:
        """Work for the old one went to the new process, until the list told that the old one was gone."""
        first = Job(b"a")
        link, _ = self.write_job(first)
        newcomer = ListedServer(Member("t", "z", "k", "SERVING"), self.pool.listed.address)
        self.back.follow(Topology((newcomer,), False))()
        self.wait_until(lambda: bool(first.statuses))
        self.assertEqual((first.statuses, link.stream.close_code), (["econnreset"], "gone"))
        second = Job(b"b")
        self.back.pools["s"].submit(second)
        self.assertEqual((second.statuses, self.pool.links), (["econnrefused"], []))
        self.assertFalse(self.back.pools["t"].closed)


class AbandonedRequests(LinkCase):
    def test_the_same_id_does_not_overtake_its_kill_on_another_connection(self) -> None:
        """The KILL and the next PULL were sent in the same millisecond on two connections.

        The first connection was suspect and got no new jobs, so the server held one id twice (deployment
        salas-remotas, herd+mass).
        """
        first = Job(b"a")
        link, _ = self.write_job(first)
        link.is_suspect = True
        spare, _ = self.write_job(Job(b"b"))
        link.cancel(first)
        repeat = Job(b"a")
        self.pool.submit(repeat)
        self.assertEqual(repeat.statuses, ["skipped"], "which means that it never ran")
        self.assertEqual(len(self.pool.links), 2, "no new connection: a hanging server may read it first")
        link.killed_jobs[b"a"] = now_ms() - LATE_ANSWER_MS - 1.0  # expired
        later = Job(b"a")
        self.pool.submit(later)
        self.wait_until(lambda: spare.open_jobs.get(b"a") is later)

    def test_the_same_id_follows_its_kill_on_the_same_connection(self) -> None:
        first, repeat = Job(b"a"), Job(b"a")
        link, server = self.write_job(first)
        link.cancel(first)
        self.pool.submit(repeat)
        self.wait_until(lambda: link.open_jobs.get(b"a") is repeat)
        reader, got = resp.RespReader(), list[list[bytes]]()
        while len(got) < 3:
            got += reader.feed(server.recv(65_536))
        self.assertEqual([items[0] for items in got], [b"PULL", b"KILL", b"PULL"])

    def test_an_id_on_a_connection_closed_as_stuck_is_not_sent_to_that_server_again(self) -> None:
        """A hanging cache read both when it resumed, and had two copies (salas-remotas, herd+mass)."""
        first = Job(b"a")
        link, _ = self.write_job(first)
        link.close("stuck")
        self.wait_until(lambda: bool(first.statuses))
        repeat = Job(b"a")
        self.pool.submit(repeat)
        self.assertEqual(repeat.statuses, ["skipped"])

    def test_an_unwritten_kill_does_not_count_as_arrived(self) -> None:
        first = Job(b"a")
        link, _ = self.write_job(first)
        link.stream.write(bytes(8_000_000))  # a server that does not read
        self.assertGreater(link.stream.unsent_bytes, 0)
        link.is_suspect = True
        link.cancel(first)
        link.killed_jobs[b"a"] = now_ms() - CONNECT_MS - 1.0
        repeat = Job(b"a")
        self.pool.submit(repeat)
        self.assertEqual(repeat.statuses, ["skipped"], "which means that it never ran")

    def test_the_same_id_does_not_overtake_the_close_of_its_connection(self) -> None:
        first = Job(b"a")
        link, _ = self.write_job(first)
        link.is_suspect = True
        spare, _ = self.write_job(Job(b"b"))
        link.close("junk")
        self.wait_until(lambda: first.statuses == ["econnreset"])
        fresh, _ = self.write_job(Job(b"a"))
        self.assertIsNot(fresh, spare)

    def test_an_id_may_be_sent_again_at_once_after_the_server_closed(self) -> None:
        first = Job(b"a")
        _, server = self.write_job(first)
        server.close()
        self.wait_until(lambda: first.statuses == ["econnreset"])
        repeat = Job(b"a")
        self.write_job(repeat)


class ReusedIds(LinkCase):
    """An id that was given up comes again with another question: no client may get the first one's bytes."""

    def write_killed(self) -> tuple[Link, socket.socket, Job]:
        """Write a job and give it up while its answer is under way."""
        first = Job(b"a", question=1)
        link, server = self.write_job(first)
        server.sendall(resp.write_command(b"a", b"DONE", b"-", b"first")[:-4])
        self.wait_until(lambda: link.reader.in_array)
        link.cancel(first)
        return link, server, first

    def submit(self, question: int) -> Job:
        job = Job(b"a", question=question)
        self.pool.submit(job)
        self.sched.run_once()
        return job

    def send_rest(self, link: Link, server: socket.socket) -> None:
        server.sendall(resp.write_command(b"a", b"DONE", b"-", b"first")[-4:])
        self.wait_until(lambda: not link.reader.in_array)

    def test_a_late_answer_of_a_killed_job_does_not_end_one_that_asks_for_another_object(self) -> None:
        """It was served as the second object, and stored as its copy for all other clients."""
        link, server, _ = self.write_killed()
        other = self.submit(question=2)
        self.send_rest(link, server)
        self.assertEqual(other.statuses, ["skipped"], "which means that it never ran")

    def test_it_does_not_end_one_after_another_answer_either(self) -> None:
        """The same id three times: the second's own answer was still to come when the third was sent."""
        link, server, _ = self.write_killed()
        repeat = self.submit(question=1)
        self.wait_until(lambda: link.open_jobs.get(b"a") is repeat)
        self.send_rest(link, server)
        self.wait_until(lambda: repeat.statuses == ["DONE"])
        self.assertEqual(self.submit(question=2).statuses, ["skipped"])

    def test_a_second_copy_of_a_late_answer_does_not_end_one_either(self) -> None:
        link, server, _ = self.write_killed()
        self.send_rest(link, server)
        self.assertEqual(self.submit(question=2).statuses, ["skipped"])

    def test_the_end_of_the_connection_frees_the_id(self) -> None:
        link, server, _ = self.write_killed()
        server.close()
        self.wait_until(lambda: bool(link.stream.close_code))
        self.assertFalse(any(each.may_confuse(Job(b"a", question=2)) for each in self.pool.links))

    def test_a_repeat_of_the_same_question_is_sent_at_once_on_the_same_connection(self) -> None:
        """What a sound client or the gateway repeats neither waits nor costs a connection."""
        link, _, _ = self.write_killed()
        repeat = self.submit(question=1)
        self.wait_until(lambda: link.open_jobs.get(b"a") is repeat)
        self.assertEqual((repeat.statuses, len(self.pool.links)), ([], 1))

    def test_a_late_answer_that_does_not_fit_a_repeat_leaves_it_open(self) -> None:
        """A copy from before a purge, made for the killed job, was served for one written after the purge."""
        link, server, _ = self.write_killed()
        repeat = self.submit(question=1)
        repeat.fits = False
        self.wait_until(lambda: link.open_jobs.get(b"a") is repeat)
        self.send_rest(link, server)
        self.wait_until(lambda: not link.killed_questions.may_answer(b"a"))
        self.assertEqual(repeat.statuses, [])
        server.sendall(resp.write_command(b"a", b"DONE", b"-", b"own"))
        self.wait_until(lambda: repeat.statuses == ["DONE"])


class Answers(LinkCase):
    def test_a_trickling_answer_closes_the_connection(self) -> None:
        """Each byte counted as progress: all jobs of the connection waited for their deadlines."""
        job = Job(b"a")
        link, server = self.write_job(job)
        server.sendall(b"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$100000\r\n")
        self.wait_until(lambda: link.reader.in_array)
        link.last_growth_ms -= link_module.GROWTH_TIMEOUT_MS  # as if it had trickled for so long
        heard = link.last_read_ms
        server.sendall(b"x")
        self.wait_until(lambda: link.last_read_ms > heard)
        link.check(link.last_read_ms + 1.0)
        self.assertEqual(link.stream.close_code, "stuck")

    def test_a_growing_answer_does_not_close_the_connection(self) -> None:
        job = Job(b"a")
        link, server = self.write_job(job)
        server.sendall(b"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$100000\r\n")
        self.wait_until(lambda: link.reader.in_array)
        link.last_growth_ms -= 10_000.0
        server.sendall(bytes(link_module.MIN_GROWTH_BYTES))
        self.wait_until(lambda: link.last_growth_ms > now_ms() - 1_000.0)
        link.check(now_ms() + 0.5 * link_module.GROWTH_TIMEOUT_MS)
        self.assertEqual(link.stream.close_code, "")

    def test_an_answer_with_a_wrong_number_of_items_is_never_delivered(self) -> None:
        """An answer whose array length was 3, not 4, was served as an empty object and kept as a copy."""
        unknown = resp.write_command(b"unknown", b"DONE", b"-", b"")
        for repeatable in (True, False):
            for count in (0, 1, 2, 3, 5, 8):
                with self.subTest(count=count, repeatable=repeatable):
                    job = Job(b"a", repeatable)
                    link, server = self.write_job(job)
                    whole = resp.write_command(b"a", b"DONE", b"rev=t,since=1", b"body")
                    server.sendall(whole.replace(b"*4", b"*%d" % count, 1) + unknown)
                    self.wait_until(lambda link=link: link.stream.close_code == "junk")  # type: ignore[misc]
                    self.wait_until(lambda job=job: job.statuses == ["econnreset"])  # type: ignore[misc]

    def test_a_second_answer_to_an_effect_matches_no_job(self) -> None:
        first = Job(b"a", repeatable=False)
        link, server = self.write_job(first)
        wait = resp.write_command(b"a", b"WAIT", b"-", b"")
        server.sendall(wait)
        self.wait_until(lambda: first.statuses == ["WAIT"])
        repeat = Job(b"a", repeatable=False)
        other, _ = self.write_job(repeat)
        self.assertIsNot(other, link)
        done = link.last_read_ms
        server.sendall(wait)
        self.wait_until(lambda: link.last_read_ms > done)
        self.assertEqual(repeat.statuses, [])


class FailingTasks(LinkCase):
    def test_a_job_whose_command_fails_ends_alone(self) -> None:
        """The task that writes ended, and the jobs behind it waited in the queue for their deadlines."""
        job, behind = Job(b"a"), Job(b"b")

        def fail() -> bytes:
            raise ValueError("a fault")

        job.command = fail  # type: ignore[method-assign]
        link = self.back.open(self.pool)
        assert link
        link.submit(job)
        link.submit(behind)
        self.wait_until(lambda: link.open_jobs.get(b"b") is behind)
        self.assertEqual((job.statuses, link.stream.close_code), (["skipped"], ""))

    def test_a_connection_whose_writer_fails_is_closed(self) -> None:
        job = Job(b"a")
        link, _ = self.write_job(job)
        with mock.patch.object(link, "_start_job", side_effect=ValueError("a fault")):
            link.submit(Job(b"b"))
            self.wait_until(lambda: link.stream.close_code == "fault")
        self.wait_until(lambda: job.statuses == ["econnreset"])


class StoppedProcess(LinkCase):
    def test_answers_that_came_while_the_process_was_stopped_are_read_before_it_judges(self) -> None:
        """A connection with unread answers must not be taken for stuck by a process that was stopped."""
        job = Job(b"a")
        link, server = self.write_job(job)
        job.due_ms = now_ms() + 50.0
        server.sendall(resp.write_command(b"a", b"DONE", b"-", bytes(150_000)))  # more than one read
        time.sleep(2.0 * link_module.STUCK_AFTER_MS / 1000.0)  # no turn of the loop
        self.wait_until(lambda: bool(job.statuses))
        self.assertEqual((job.statuses, link.stream.close_code), (["DONE"], ""))


class ConnectFailures(LinkCase):
    def test_a_connect_timeout_is_distinguished_from_a_refusal(self) -> None:
        """A slow connect was taken for a process that had ended, and its cache for a cold one."""
        refused, silent = Job(b"a"), Job(b"b")
        self.listener.close()
        self.pool.submit(refused)
        self.wait_until(lambda: bool(refused.statuses))
        self.assertEqual(refused.statuses, ["econnrefused"])
        full = socket.create_server(("127.0.0.1", 0), backlog=0)  # a full queue: no connect succeeds
        self.addCleanup(full.close)
        fill = [socket.socket() for _ in range(3)]
        for sock in fill:
            self.addCleanup(sock.close)
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
        self.back.timeouts = (50.0, 15_000.0)
        address = ("127.0.0.1", int(full.getsockname()[1]))
        self.back.follow(Topology((ListedServer(Member("s", "z", "k", "SERVING"), address),), True))()
        self.back.pools["s"].submit(silent)
        self.wait_until(lambda: bool(silent.statuses))
        self.assertEqual(silent.statuses, ["silent"])


class RoundTrips(LinkCase):
    """The round trip to a server is estimated as the time that connecting to it took."""

    def make_attempt(self) -> tuple[Attempt, Exchange]:
        request = ClientRequest("0" * 16, "small", "0" * 16, 42, now_ms() + 5_000.0)
        exchange = Exchange(1, request, lambda answer: None)
        get = api.Get(1, "s", "s", 0.0)
        self.ended: list[str] = []
        attempt = Attempt(
            exchange, get, now_ms(), lambda attempt: SendLimits(0.0, 1_000.0),
            lambda attempt, ending: self.ended.append(ending.status), lambda: None,
        )  # fmt: skip
        return attempt, exchange

    def test_no_attempt_follows_an_abandoned_one_before_its_kill_has_arrived(self) -> None:
        """The next PULL was sent in the same turn, before the KILL was written: two copies in transfer."""
        first, exchange = self.make_attempt()
        self.back.send(first)
        self.wait_until(lambda: any(link.open_jobs for link in self.pool.links))
        (link,) = self.pool.links
        link.round_trip_ms = 60.0
        self.back.cancel(first)
        first.abort("ecanceled")
        self.assertGreater(exchange.blocked_until_ms, now_ms() + 30.0)
        second, _ = self.make_attempt()
        second.exchange = exchange
        written: list[float] = []
        second.authorize = lambda attempt: written.append(now_ms()) or SendLimits(0.0, 1_000.0)  # type: ignore[func-returns-value]
        self.back.send(second)
        self.wait_until(lambda: bool(written))
        self.assertGreaterEqual(written[0], exchange.blocked_until_ms)

    def write_first_attempt(self) -> tuple[Attempt, Exchange, Link]:
        """Write an attempt on a connection that opened at once, as on loopback."""
        first, exchange = self.make_attempt()
        self.back.send(first)
        self.wait_until(lambda: any(link.open_jobs for link in self.pool.links))
        (link,) = self.pool.links
        return first, exchange, link

    def test_a_close_of_a_quickly_opened_connection_gets_time_to_arrive(self) -> None:
        """The next PULL, to a nearer server, followed the close by 0.2 ms: two copies (herd+mass)."""
        _, exchange, link = self.write_first_attempt()
        started_ms = now_ms()
        link.close("stuck")
        self.wait_until(lambda: bool(self.ended))
        self.assertGreaterEqual(exchange.blocked_until_ms, started_ms + CONNECT_MS / 20.0)

    def test_a_kill_on_a_quickly_opened_connection_gets_time_to_arrive(self) -> None:
        first, exchange, _ = self.write_first_attempt()
        started_ms = now_ms()
        self.back.cancel(first)
        self.assertGreaterEqual(exchange.blocked_until_ms, started_ms + CONNECT_MS / 20.0)

    def test_an_attempt_that_ends_while_it_is_blocked_is_never_written(self) -> None:
        first, exchange = self.make_attempt()
        exchange.blocked_until_ms = now_ms() + 20.0
        self.back.send(first)
        first.abort("ecanceled")
        self.assertEqual(self.ended, ["skipped"], "it never ran")
        self.wait_until(lambda: now_ms() > exchange.blocked_until_ms + 5.0)
        self.assertEqual(self.pool.links, [])

    def test_closing_a_connection_blocks_further_attempts(self) -> None:
        first, exchange = self.make_attempt()
        self.back.send(first)
        self.wait_until(lambda: any(link.open_jobs for link in self.pool.links))
        (link,) = self.pool.links
        link.round_trip_ms = 60.0
        link.close("stuck")
        self.wait_until(lambda: self.ended == ["etimedout"])
        self.assertGreater(exchange.blocked_until_ms, now_ms() + 20.0)


class BusyTurns(LinkCase):
    def test_a_job_given_up_while_the_loop_was_busy_is_not_written(self) -> None:
        """The command was sent at the end of the turn, before input that had arrived meanwhile was read."""
        self.write_job(Job(b"first"))
        gateway_socket, client_socket = socket.socketpair()
        for sock in (gateway_socket, client_socket):
            self.addCleanup(sock.close)
        job, events = Job(b"late"), list[str]()
        command = job.command
        job.command = lambda: events.append("begun") or command()  # type: ignore[func-returns-value,method-assign]

        def client() -> None:
            self.sched.wait(gateway_socket.fileno(), READ)
            events.append("gave up")
            self.back.pools["s"].cancel(job)

        def busy() -> None:
            client_socket.send(b"x")  # the client gives up while the loop is busy
            time.sleep(0.05)
            self.pool.submit(job)

        self.sched.spawn(client)
        self.sched.run_once()
        self.sched.spawn(busy)
        self.wait_until(lambda: bool(events))
        end = now_ms() + 50.0
        self.wait_until(lambda: now_ms() > end)
        self.assertEqual(events, ["gave up"])
