"""The engine with a simulated back end: each request gets exactly one final answer."""

import unittest
from collections.abc import Callable
from typing import Any
from unittest.mock import Mock

from conftest import BASE, FLEET

from hitchtiller import interface as api
from hitchtiller.back.jobs import PullJob
from hitchtiller.codec.resp import RespError
from hitchtiller.decide import Router
from hitchtiller.engine import Engine
from hitchtiller.exchange import FAILED, REFUSED, SERVED, Answer, Attempt, AttemptResult, ClientRequest
from hitchtiller.news import ListedServer, Topology


class ManualClock:
    """A clock that only advances when told to."""

    def __init__(self) -> None:
        self.now, self.calls = 1000.0, list[tuple[float, Callable[[], object]]]()

    def wall_ms(self) -> float:
        return self.now_ms()

    def now_ms(self) -> float:
        return self.now

    def later(self, delay_ms: float, call: Callable[[], object]) -> "ManualClock":
        self.calls.append((self.now + delay_ms, call))
        return self

    def cancel(self) -> None:
        pass

    def advance_to(self, to: float) -> None:
        self.now = to
        due, self.calls = [c for c in self.calls if c[0] <= to], [c for c in self.calls if c[0] > to]
        for _, call in due:
            call()


class RecordingBackEnd:
    """Records the attempts that are sent and cancelled."""

    def __init__(self) -> None:
        self.sent, self.cancelled = list[Attempt](), list[Attempt]()

    def send(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        self.cancelled.append(attempt)

    def probe(self, server: str, report: Callable[[str, dict[str, float]], None]) -> None:
        report("done", {})

    def follow(self, news: Topology) -> Callable[[], None]:
        return lambda: None


class EngineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.back, self.answers = ManualClock(), RecordingBackEnd(), list[Answer]()
        self.engine = Engine(Router(BASE, 7), self.clock, self.back, lambda peer, note: None)
        self.announce(*FLEET, whole=True)

    def announce(self, *members: api.Member, whole: bool = False) -> None:
        self.engine.on_bus_event(Topology(tuple(ListedServer(m, ("127.0.0.1", 1)) for m in members), whole))

    def start_request(self, **more: Any) -> Attempt:
        request = ClientRequest("0" * 16, "small", "0" * 16, 42, self.clock.now + 900.0, size_kb=50.0, **more)
        self.exchange = self.engine.accept(request, self.answers.append)
        return self.back.sent[-1]

    def kinds(self) -> list[str]:
        return [answer.kind for answer in self.answers]

    def test_a_second_end_of_an_attempt_is_ignored(self) -> None:
        attempt = self.start_request()
        attempt.end(AttemptResult("done", b"x"))
        attempt.end(AttemptResult("err"))
        self.assertEqual(self.kinds(), [SERVED])
        self.assertFalse(self.engine.open_exchanges)

    def test_a_request_without_any_outcome_is_refused_at_its_deadline(self) -> None:
        self.start_request()
        self.clock.advance_to(1900.0)
        self.assertEqual(self.kinds(), [REFUSED])
        self.assertEqual(self.back.cancelled, self.back.sent)

    def test_an_exception_in_the_router_fails_only_the_request_concerned(self) -> None:
        first = self.start_request()
        handle, self.engine.router.handle = self.engine.router.handle, lambda *_: [][0]  # type: ignore[method-assign]
        self.engine.accept(first.exchange.request, self.answers.append)
        self.engine.router.handle = handle  # type: ignore[method-assign]
        first.end(AttemptResult("done"))
        self.assertEqual(self.kinds(), [FAILED, SERVED])

    def test_a_client_that_left_gets_no_answer_and_its_attempt_is_cancelled(self) -> None:
        attempt = self.start_request()
        self.engine.client_left(self.exchange)
        attempt.end(AttemptResult("done"))
        self.assertEqual((self.kinds(), self.back.cancelled), ([], [attempt]))

    def test_a_request_whose_client_has_closed_is_not_sent_although_that_is_unread(self) -> None:
        """A client closed behind much unread input: its requests were sent on for seconds."""
        requester = Mock(has_left=lambda: False, has_room=lambda size: True)
        request = ClientRequest("0" * 16, "small", "0" * 16, 42, self.clock.now + 900.0, size_kb=50.0)
        self.engine.accept(request, self.answers.append, requester)
        self.assertIsNotNone(self.engine.authorize(self.back.sent[-1]))
        requester.has_left = lambda: True
        self.assertIsNone(self.engine.authorize(self.back.sent[-1]))

    def test_an_id_that_comes_again_after_its_client_left_does_not_run_a_second_time(self) -> None:
        """The second client's request was sent, and the effect took place twice."""
        request = ClientRequest("a" * 16, "once", "0" * 16, 42, self.clock.now + 900.0, write=True)
        first = self.engine.accept(request, self.answers.append)
        self.assertIsNotNone(self.engine.authorize(self.back.sent[-1]))
        self.back.sent[-1].written = True
        self.engine.client_left(first)
        self.engine.accept(request, self.answers.append)
        self.assertEqual((self.kinds(), len(self.back.sent)), ([FAILED], 1))

    def test_an_id_whose_only_attempt_did_not_run_may_come_again(self) -> None:
        request = ClientRequest("a" * 16, "once", "0" * 16, 42, self.clock.now + 900.0, write=True)
        first = self.engine.accept(request, self.answers.append)
        self.assertIsNotNone(self.engine.authorize(self.back.sent[-1]))
        self.back.sent[-1].written = True
        self.back.sent[-1].end(AttemptResult("busy"))
        self.engine.client_left(first)
        sent = len(self.back.sent)
        self.engine.accept(request, self.answers.append)
        self.assertEqual(len(self.back.sent), sent + 1)

    def test_a_refused_connection_raises_the_failure_score(self) -> None:
        """When it was reported as never sent, unreachable machines were chosen again and again."""
        attempt = self.start_request()
        PullJob(attempt).on_connection_end("econnrefused")
        self.assertGreater(self.engine.router.nodes[attempt.get.server].failure_score, 0.0)

    def test_the_class_decides_whether_an_answer_needs_a_tag_and_a_time(self) -> None:
        """Each answer to a sign-off, an effect without a key, ended its connection and all attempts on it."""
        for write, dedupe in ((True, ""), (True, "5c0f")):
            attempt = self.start_request(write=write, dedupe=dedupe)
            PullJob(attempt).on_answer("DONE", {}, b"x")
            self.assertEqual((self.answers[-1].kind, self.answers[-1].since_ms), (SERVED, 0))
        attempt = self.start_request(dedupe="5c0f")  # a copy has a tag and a time, with or without a key
        with self.assertRaises(RespError):
            PullJob(attempt).on_answer("DONE", {}, b"x")

    def test_the_note_and_the_wait_of_an_answer_reach_the_router(self) -> None:
        """When they were not read, no source was ever cleared of suspicion in deployments that send notes."""
        outcomes, handle = list[api.Outcome](), self.engine.router.handle
        self.engine.router.handle = lambda event, now: (  # type: ignore[method-assign]
            outcomes.append(event) if isinstance(event, api.Outcome) else None
        ) or handle(event, now)
        for why, fill, note, waited in (
            ("h", "", 1, 0.0),
            ("f", "9.4", 2, 9.4),
            ("x", "20", 10, 20.0),
            ("?", "-1", 0, 0),
        ):
            PullJob(self.start_request()).on_answer(
                "DONE", {"rev": "a", "since": "1", "why": why, "fill": fill}, b"x"
            )
            self.assertEqual((outcomes[-1].note, outcomes[-1].waited_ms), (note, waited))

    def test_a_finished_exchange_holds_no_reference_cycle(self) -> None:
        """Full garbage collections of such cycles stalled the loop by 0.2 s."""
        attempt = self.start_request()
        attempt.back_end_handle = object()
        attempt.end(AttemptResult("done"))
        self.assertEqual((self.exchange.attempts, attempt.back_end_handle), ([], None))

    def test_an_attempt_is_not_sent_if_its_server_or_source_has_begun_to_drain(self) -> None:
        for name in ("server", "source"):
            attempt = self.start_request()
            self.assertIsNotNone(attempt.authorize(attempt))
            server = getattr(attempt.get, name)
            (member,) = (m for m in FLEET if m.server == server)
            self.announce(api.Member(server, member.zone, member.kind, "DRAINING", weight=member.weight))
            self.assertIsNone(attempt.authorize(attempt))

    def test_a_late_answer_from_before_a_purge_does_not_fit_an_attempt_after_it(self) -> None:
        """The answer of an earlier attempt of the same id, written before the purge, ended the next one."""
        job = PullJob(self.start_request(group=3))
        self.engine.submit(api.Purged(42, -1, 100.0))
        self.assertIsNotNone(job.command())
        purged_ms = int(self.clock.now - 100.0)
        for since, fits in ((purged_ms - 1, False), (purged_ms, False), (purged_ms + 1, True)):
            self.assertEqual(job.is_answered_by("DONE", {"rev": "t", "since": str(since)}), fits)
        self.assertTrue(job.is_answered_by("LACK", {}))

    def test_the_age_bound_includes_a_purge_that_came_before_the_first_byte(self) -> None:
        attempt = self.start_request(group=3)
        limits = attempt.authorize(attempt)
        assert limits and not limits.max_age_ms
        self.engine.submit(api.Purged(42, -1, 100.0))
        self.clock.now += 50.0
        limits = attempt.authorize(attempt)
        assert limits
        self.assertEqual(limits.max_age_ms, 150.0)
