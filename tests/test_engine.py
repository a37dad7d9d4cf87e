"""The engine with a back of the test's own: one final answer, whatever happens."""

import unittest
from collections.abc import Callable
from typing import Any

from conftest import BASE, FLEET

from hitchtiller import interface as api
from hitchtiller.back.jobs import PullJob
from hitchtiller.codec.resp import BadResp
from hitchtiller.decide import Router
from hitchtiller.engine import Engine
from hitchtiller.exchange import FAILED, REFUSED, SERVED, Answer, Attempt, AttemptResult, ClientRequest
from hitchtiller.news import ListedServer, Topology


class Later:
    """A clock that stands still until it is moved."""

    def __init__(self) -> None:
        self.now, self.calls = 1000.0, list[tuple[float, Callable[[], object]]]()

    def now_ms(self) -> float:
        return self.now

    def later(self, delay_ms: float, call: Callable[[], object]) -> "Later":
        self.calls.append((self.now + delay_ms, call))
        return self

    def cancel(self) -> None:
        pass

    def move(self, to: float) -> None:
        self.now = to
        due, self.calls = [c for c in self.calls if c[0] <= to], [c for c in self.calls if c[0] > to]
        for _, call in due:
            call()


class Back:
    """Keeps what it is given."""

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


class Exchanges(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.back, self.answers = Later(), Back(), list[Answer]()
        self.engine = Engine(Router(BASE, 7), self.clock, self.back, lambda peer, note: None)
        self.news(*FLEET, whole=True)

    def news(self, *members: api.Member, whole: bool = False) -> None:
        self.engine.news(Topology(tuple(ListedServer(m, ("127.0.0.1", 1)) for m in members), whole))

    def ask(self, **more: Any) -> Attempt:
        ask = ClientRequest("0" * 16, "small", "0" * 16, 42, self.clock.now + 900.0, size_kb=50.0, **more)
        self.exchange = self.engine.take(ask, self.answers.append)
        return self.back.sent[-1]

    def kinds(self) -> list[str]:
        return [answer.kind for answer in self.answers]

    def test_a_second_end_is_passed_over(self) -> None:
        attempt = self.ask()
        attempt.end(AttemptResult("done", b"x"))
        attempt.end(AttemptResult("err"))
        self.assertEqual(self.kinds(), [SERVED])
        self.assertFalse(self.engine.open)

    def test_silence_ends_at_the_deadline(self) -> None:
        self.ask()
        self.clock.move(1900.0)
        self.assertEqual(self.kinds(), [REFUSED])
        self.assertEqual(self.back.cancelled, self.back.sent)

    def test_a_fault_of_the_decisions_fails_one_request_only(self) -> None:
        first = self.ask()
        handle, self.engine.router.handle = self.engine.router.handle, lambda *_: [][0]  # type: ignore[method-assign]
        self.engine.take(first.exchange.request, self.answers.append)
        self.engine.router.handle = handle  # type: ignore[method-assign]
        first.end(AttemptResult("done"))
        self.assertEqual(self.kinds(), [FAILED, SERVED])

    def test_a_client_that_left_is_owed_nothing(self) -> None:
        attempt = self.ask()
        self.engine.leave(self.exchange)
        attempt.end(AttemptResult("done"))
        self.assertEqual((self.kinds(), self.back.cancelled), ([], [attempt]))

    def test_a_refused_connection_is_blamed(self) -> None:
        """It was told as never sent, and silent machines were picked again and again."""
        attempt = self.ask()
        PullJob(attempt).broken("econnrefused")
        self.assertGreater(self.engine.router.nodes[attempt.get.server].failure_score, 0.0)

    def test_what_an_answer_may_lack_follows_from_its_class(self) -> None:
        """Each sign-off, an effect without a key, ended its connection with all that was open on it."""
        for write, dedupe in ((True, ""), (True, "5c0f")):
            attempt = self.ask(write=write, dedupe=dedupe)
            PullJob(attempt).answered("DONE", {}, b"x")
            self.assertEqual((self.answers[-1].kind, self.answers[-1].since_ms), (SERVED, 0))
        attempt = self.ask(dedupe="5c0f")  # a copy has a tag and a time, whatever key came with it
        with self.assertRaises(BadResp):
            PullJob(attempt).answered("DONE", {}, b"x")

    def test_notes_and_waits_reach_the_decisions(self) -> None:
        """They were read nowhere, so no source was ever cleared where notes are told."""
        told, handle = list[api.Outcome](), self.engine.router.handle
        self.engine.router.handle = lambda event, now: (  # type: ignore[method-assign]
            told.append(event) if isinstance(event, api.Outcome) else None
        ) or handle(event, now)
        for why, fill, note, waited in (
            ("h", "", 1, 0.0),
            ("f", "9.4", 2, 9.4),
            ("x", "20", 10, 20.0),
            ("?", "-1", 0, 0),
        ):
            PullJob(self.ask()).answered("DONE", {"rev": "a", "since": "1", "why": why, "fill": fill}, b"x")
            self.assertEqual((told[-1].note, told[-1].waited_ms), (note, waited))

    def test_what_is_over_holds_no_cycle(self) -> None:
        """Full collections of such cycles stalled the loop by 0.2 s."""
        attempt = self.ask()
        attempt.back_end_handle = object()
        attempt.end(AttemptResult("done"))
        self.assertEqual((self.exchange.attempts, attempt.back_end_handle), ([], None))

    def test_an_attempt_is_barred_at_its_first_byte_if_target_or_source_drains(self) -> None:
        for name in ("server", "source"):
            attempt = self.ask()
            self.assertIsNotNone(attempt.authorize(attempt))
            named = getattr(attempt.get, name)
            (member,) = (m for m in FLEET if m.server == named)
            self.news(api.Member(named, member.zone, member.kind, "DRAINING", weight=member.weight))
            self.assertIsNone(attempt.authorize(attempt))

    def test_the_age_bound_heeds_a_purge_that_came_before_the_first_byte(self) -> None:
        attempt = self.ask(group=3)
        clear = attempt.authorize(attempt)
        assert clear and not clear.cap_ms
        self.engine.submit(api.Purged(42, -1, 100.0))
        self.clock.now += 50.0
        clear = attempt.authorize(attempt)
        assert clear
        self.assertEqual(clear.cap_ms, 150.0)
