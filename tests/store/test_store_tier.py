"""The tiers behind an engine: hits, joined requests, purges, suspects, clocks, and outcomes of all kinds."""

import random

import pytest
from tiers import SMALL, START, Tiers

from hitchtiller.back.jobs import PullJob
from hitchtiller.exchange import FAILED, REFUSED, SERVED, AttemptResult
from hitchtiller.store import recover
from hitchtiller.store.disk import Disk
from hitchtiller.store.jobs import InlineJobs
from hitchtiller.store.suspect import Proof, SavedProof
from standins.files import SimFiles


@pytest.fixture
def tiers() -> Tiers:
    return Tiers()


def kinds(tiers: Tiers) -> dict[int, str]:
    return {number: answer.kind for number, answer in tiers.answers.items()}


def test_the_second_request_is_answered_from_memory_and_nothing_is_sent(tiers: Tiers) -> None:
    tiers.fetch()
    tiers.ask()
    tiers.ask(client_tag="t1")
    assert tiers.answers[2].body == b"x" * 100 and tiers.answers[2].tag == "t1"
    assert tiers.answers[3].unchanged and tiers.answers[3].body == b""
    assert len(tiers.back.sent) == 1 and tiers.tier.hits["memory"] == 2


@pytest.mark.parametrize("more", [{"dedupe": "k"}, {"body": b"b"}])
def test_requests_with_a_dedupe_key_or_a_body_bypass_the_tiers(tiers: Tiers, more: dict[str, object]) -> None:
    tiers.fetch()
    tiers.ask(**more)
    assert len(tiers.sent()) == 1 and not tiers.tier.joins.flights


@pytest.mark.parametrize("name", ["keyed", "once"])
def test_answers_of_keyed_and_write_classes_are_never_stored(tiers: Tiers, name: str) -> None:
    for _ in range(2):
        tiers.ask(name=name)
        tiers.serve(tiers.sent()[-1])
    assert len(tiers.back.sent) == 2 and not tiers.tier.memory.copies


def test_a_copy_is_not_served_to_another_class(tiers: Tiers) -> None:
    tiers.fetch(name="small")
    tiers.ask(name="big")
    assert len(tiers.sent()) == 1


def test_the_first_request_of_a_class_does_not_fail_requests_of_another() -> None:
    """While a counter's first lookup was open, downloads of some files ended with KeyError."""
    tiers = Tiers(memory=10_000)
    for key in range(8):
        tiers.fetch(key, body=b"x" * 600)
    lookup = tiers.ask(100, "brief")
    for key in range(8):
        tiers.ask(key)
    assert not lookup.is_over
    served, sent = len(tiers.answers) - 8, len(tiers.sent()) - 1
    assert 0 < served < 8 and served + sent == 8


def test_age_counts_from_the_origin_and_a_copy_within_grace_replaces_a_failure(
    tiers: Tiers,
) -> None:
    tiers.fetch(name="brief", since=START - 900.0)
    tiers.wait(99.0)
    tiers.ask(name="brief")
    assert kinds(tiers)[2] == SERVED
    tiers.wait(2.0)
    exchange = tiers.ask(name="brief")
    assert 3 not in tiers.answers and exchange.confirm_tag == "t1"
    while sent := tiers.sent():
        sent[-1].written = True
        sent[-1].end(AttemptResult("err"))
    assert tiers.answers[3].kind == SERVED and tiers.tier.hits["stale"] == 1
    tiers.wait(500.0)
    tiers.ask(name="brief")
    while sent := tiers.sent():
        sent[-1].end(AttemptResult("err"))
    assert kinds(tiers)[4] in (FAILED, REFUSED), "past its grace the copy is not served"


def test_a_copy_past_its_fresh_time_is_renewed_without_a_body(tiers: Tiers) -> None:
    tiers.fetch(name="brief")
    tiers.wait(1_200.0)
    tiers.ask(name="brief")
    tiers.keep(tiers.sent()[0], "t1", tiers.clock.now)
    assert tiers.answers[2].body == b"x" * 100
    tiers.wait(900.0)
    tiers.ask(name="brief")
    assert kinds(tiers)[3] == SERVED and not tiers.sent()


def test_a_purge_of_an_object_or_a_group_removes_a_copy_at_once(tiers: Tiers) -> None:
    for key, purge in ((1, (1, -1)), (2, (None, 5))):
        tiers.ask(key, group=5)
        tiers.serve(tiers.sent()[-1])
        tiers.wait(10.0)
        tiers.purge(*purge)
        tiers.ask(key, group=5)
        assert len(tiers.sent()) == 1
        tiers.serve(tiers.sent()[0], b"new")


def test_the_result_of_a_fill_begun_before_a_purge_is_not_stored(tiers: Tiers) -> None:
    exchange = tiers.ask()
    tiers.wait(50.0)
    tiers.purge()
    tiers.serve(tiers.sent()[0], since=START + 20.0)
    assert exchange.is_over and not tiers.tier.memory.copies
    tiers.ask()
    assert len(tiers.sent()) == 1


def test_a_waiter_is_not_served_a_copy_that_was_young_enough_only_for_the_leader(tiers: Tiers) -> None:
    """Guards against a lost request, as on split+mass: a copy met the age limit only when the leader asked.

    Its age of 20 s was within the limit then, but not any more when the waiter asked.
    """
    tiers.ask(name="brief")
    tiers.wait(100.0)
    tiers.ask(name="brief")
    (leader,) = tiers.sent()
    tiers.serve(leader, since=START - 950.0)
    assert tiers.answers[1].kind == SERVED and 2 not in tiers.answers
    (own,) = tiers.sent()  # the waiter's own attempt, with its own age limit
    tiers.serve(own)
    assert tiers.answers[2].kind == SERVED


def test_concurrent_requests_share_one_attempt(tiers: Tiers) -> None:
    for tag in ("", "", "t1"):
        tiers.ask(client_tag=tag)
    assert len(tiers.back.sent) == 1
    tiers.serve(tiers.sent()[0])
    assert [tiers.answers[n].body for n in (1, 2)] == [b"x" * 100] * 2
    assert tiers.answers[3].unchanged and tiers.tier.hits["joined"] == 2


def test_a_waiter_takes_over_when_the_leaders_client_leaves(tiers: Tiers) -> None:
    leader = tiers.ask()
    tiers.ask()
    tiers.engine.client_left(leader)
    assert len(tiers.sent()) == 1 and tiers.sent()[0].exchange.number == 2
    tiers.serve(tiers.sent()[0])
    assert kinds(tiers) == {2: SERVED}


def test_a_waiter_takes_over_when_the_leaders_time_is_over(tiers: Tiers) -> None:
    tiers.ask(lifetime_ms=200.0)
    tiers.ask(lifetime_ms=2_000.0)
    tiers.wait(201.0)
    assert kinds(tiers)[1] in (REFUSED, FAILED) and 2 not in tiers.answers
    assert tiers.sent()[0].exchange.number == 2


def test_a_waiter_that_waits_too_long_sends_its_own_attempt(tiers: Tiers) -> None:
    tiers.ask(lifetime_ms=2_900.0)
    tiers.ask(lifetime_ms=100.0)
    tiers.wait(41.0)
    assert {attempt.exchange.number for attempt in tiers.sent()} == {1, 2}
    tiers.serve(tiers.sent()[1])
    assert kinds(tiers) == {2: SERVED}


def test_attempts_of_all_leaders_stay_within_one_requests_limit() -> None:
    tiers = Tiers(max_attempts=3)
    for _ in range(40):
        tiers.ask()
    for _ in range(200):
        for attempt in tiers.sent():
            attempt.written = True
            attempt.end(AttemptResult("econnreset"))
    assert len(tiers.back.sent) <= 3 and len(tiers.answers) == 40
    assert all(answer.kind in (REFUSED, FAILED) for answer in tiers.answers.values())


def test_a_copy_from_before_a_purge_is_not_served_to_a_waiter_that_came_after_it(tiers: Tiers) -> None:
    tiers.ask()
    tiers.wait(10.0)
    tiers.purge()
    tiers.ask()
    tiers.serve(tiers.sent()[0], since=START + 5.0)
    assert kinds(tiers) == {1: SERVED}, "the leader's attempt was sent before the purge was received"
    assert tiers.sent()[0].exchange.number == 2
    tiers.serve(tiers.sent()[0], b"new", since=tiers.clock.now + 1.0)
    assert tiers.answers[2].body == b"new"


def test_hits_wait_for_the_link_and_late_ones_go_to_the_caches() -> None:
    tiers = Tiers(link=1_000.0)  # bytes per second: 100 bytes take 100 ms
    tiers.fetch()
    for _ in range(5):
        tiers.ask()
    assert len(tiers.answers) == 2, "one hit is served at once, the next when the link is free"
    assert len(tiers.sent()) >= 1 and tiers.tier.slow_link >= 1
    tiers.wait(100.0)
    assert len(tiers.answers) == 3


def test_a_purge_while_an_answer_waits_for_the_link_is_applied() -> None:
    tiers = Tiers(link=1_000.0)
    tiers.fetch()
    for _ in range(2):
        tiers.ask()
    tiers.wait(10.0)
    tiers.purge()
    tiers.wait(95.0)
    assert 3 not in tiers.answers and tiers.sent()[0].exchange.number == 3


def test_nothing_is_stored_before_the_bus_is_caught_up_with() -> None:
    tiers = Tiers(caught_up=False)
    tiers.fetch()
    assert not tiers.tier.memory.copies


# Suspects


def make_suspect(tiers: Tiers) -> float:
    """Store a copy and make it suspect by a step of the clock; return when the gap ended."""
    tiers.fetch()
    tiers.step(5_000.0)
    return tiers.clock.now


def test_a_step_of_the_clock_makes_a_copy_suspect_and_a_confirmation_proves_it(tiers: Tiers) -> None:
    gap = make_suspect(tiers)
    exchange = tiers.ask()
    (attempt,) = tiers.sent()
    assert exchange.confirm_tag == "t1"
    tiers.wait(20.0)
    clearance = attempt.authorize(attempt)
    assert clearance and clearance.max_age_ms == pytest.approx(20.0)
    tiers.keep(attempt, "t1", gap + 5.0)
    assert tiers.answers[2].body == b"x" * 100 and tiers.tier.confirmed == 1
    tiers.ask()
    assert kinds(tiers)[3] == SERVED and not tiers.sent()


def test_the_pull_command_carries_the_tag_and_the_age_limit(tiers: Tiers) -> None:
    make_suspect(tiers)
    tiers.ask()
    (attempt,) = tiers.sent()
    command = PullJob(attempt).command()
    assert command and b"inm=t1" in command and b"cap=" in command


@pytest.mark.parametrize("tag, age", [("t2", 5.0), ("t1", -5.0)])
def test_a_keep_answer_that_confirms_nothing_fails_the_attempt(tiers: Tiers, tag: str, age: float) -> None:
    gap = make_suspect(tiers)
    tiers.ask()
    (attempt,) = tiers.sent()
    tiers.keep(attempt, tag, gap + age)
    assert 2 not in tiers.answers and tiers.tier.refuted == 1 and not tiers.tier.memory.copies
    (retry,) = tiers.sent()
    assert not retry.exchange.confirm_tag
    tiers.serve(retry, b"new", "t3")
    assert tiers.answers[2].body == b"new"


def test_a_different_body_refutes_a_suspect(tiers: Tiers) -> None:
    make_suspect(tiers)
    tiers.ask()
    tiers.serve(tiers.sent()[0], b"new", "t2")
    tiers.ask()
    assert tiers.answers[2].body == tiers.answers[3].body == b"new" and tiers.tier.refuted == 1


def test_a_clients_tag_is_not_replaced_and_its_keep_answer_confirms_the_own_copy(tiers: Tiers) -> None:
    gap = make_suspect(tiers)
    exchange = tiers.ask(client_tag="t1")
    assert not exchange.confirm_tag
    tiers.keep(tiers.sent()[0], "t1", gap + 1.0)
    assert tiers.answers[2].unchanged
    tiers.ask()
    assert tiers.answers[3].body == b"x" * 100 and not tiers.sent()


# Disk


def test_a_part_requested_twice_is_written_and_read_after_a_restart() -> None:
    files, tiers = SimFiles(), Tiers()
    tiers.disk(files)
    for key in (1, 2):
        tiers.fetch(key)
    assert len(recover.load(files).index) == 0, "parts requested once are not written"
    tiers.ask(1)
    assert tiers.tier.hits["memory"] == 1 and len(recover.load(files).index) == 1
    tiers.wait(1000.0)
    tiers.tier.on_caught_up()
    restarted = Tiers(caught_up=False)
    restarted.clock.now = tiers.clock.now + 100.0
    restarted.tier.on_caught_up()
    restarted.disk(files)
    restarted.ask(1)
    assert restarted.answers[1].body == b"x" * 100 and restarted.tier.hits["disk"] == 1
    restarted.ask(1)
    assert restarted.tier.hits["memory"] == 1


def test_after_a_gap_a_part_on_disk_is_confirmed_and_a_received_purge_still_applies() -> None:
    files, tiers = SimFiles(), Tiers()
    disk = tiers.disk(files)
    for key in (1, 2):
        for _ in range(2):
            tiers.fetch(key)
            tiers.tier.memory.drop(next(iter(tiers.tier.memory.copies)))
    assert len(disk.index) == 2
    tiers.wait(5.0)
    tiers.purge(2)
    restarted = Tiers(caught_up=False)
    restarted.clock.now = START + 3_600_000.0
    restarted.tier.on_caught_up()
    restarted.disk(files)
    exchange = restarted.ask(1)
    assert exchange.confirm_tag == "t1" and restarted.proof.epoch > 1
    other = restarted.ask(2)
    assert not other.confirm_tag, "no server is asked to confirm a purged copy"


def test_purges_received_while_the_folder_was_closed_are_written_when_it_opens() -> None:
    files, tiers = SimFiles(), Tiers()
    tiers.purge(9, at=START + 1.0)
    tiers.disk(files)
    assert recover.load(files).purges.objects == {9: START + 1.0}


def test_an_unreadable_part_and_its_waiters_are_served_by_the_caches() -> None:
    files, tiers = SimFiles(), Tiers()
    found = recover.load(files)
    pending_reads: list[object] = []

    class Slow(InlineJobs):
        def submit(self, lane, run, done):  # type: ignore[no-untyped-def]
            if lane == "read":
                pending_reads.append(done)
                return True
            return super().submit(lane, run, done)

    proof = Proof(SavedProof(), 6000.0)
    disk = Disk(files, Slow(), SMALL, found, proof)
    disk.proof = tiers.proof
    tiers.tier.attach(disk)
    for _ in range(2):
        tiers.fetch(1)
        tiers.tier.memory.drop(next(iter(tiers.tier.memory.copies)))
    before = len(tiers.back.sent)
    for _ in range(3):
        tiers.ask(1)
    assert len(pending_reads) == 1 and len(tiers.back.sent) == before
    pending_reads[0](None, OSError(5, "planned"))  # type: ignore[operator]
    assert len(tiers.sent()) == 1
    tiers.serve(tiers.sent()[0])
    assert [kinds(tiers)[n] for n in (3, 4, 5)] == [SERVED] * 3


def test_many_purges_are_forgotten_only_if_no_copy_needs_them() -> None:
    tiers = Tiers()
    tiers.tier.purges.max_objects = 100
    tiers.fetch(1)
    tiers.wait(10.0)
    tiers.purge(1)
    rng = random.Random(2)
    for _ in range(300):
        tiers.wait(1000.0)
        tiers.purge(rng.getrandbits(40))
    tiers.ask(1)
    assert len(tiers.sent()) == 1, "the copy is older than the purge, whatever was forgotten"


def test_statistics_are_published(tiers: Tiers) -> None:
    tiers.fetch()
    tiers.ask()
    lines = tiers.engine.stats.lines()
    assert "svc.store.hits.memory:1|c" in lines and "svc.store.disk.state:0|g" in lines
    assert any(line.startswith("svc.store.memory_bytes:") and not line.endswith(":0|g") for line in lines)


def test_while_the_bus_is_not_heard_a_copy_is_confirmed_and_then_served_again(tiers: Tiers) -> None:
    """A purge that was not heard counts as told after 7 s, and own copies were served on (review/7)."""
    tiers.fetch()
    tiers.bus_goes()
    tiers.wait(5_000.0)
    tiers.ask()
    assert kinds(tiers)[2] == SERVED and not tiers.sent()
    tiers.wait(3_000.0)
    epoch = tiers.proof.epoch
    exchange = tiers.ask()
    assert exchange.confirm_tag == "t1" and len(tiers.sent()) == 1
    tiers.keep(tiers.sent()[0], "t1", START - 3_600_000.0)
    assert tiers.answers[3].body == b"x" * 100
    tiers.ask()
    assert kinds(tiers)[4] == SERVED and not tiers.sent(), "for the time that a cache's answer speaks for"
    tiers.wait(1_300.0)
    tiers.ask()
    assert len(tiers.sent()) == 1
    assert tiers.proof.epoch == epoch, "an epoch more would send all requests to the origin"
    tiers.bus_comes_back()
    tiers.ask(43)
    tiers.serve(tiers.sent()[-1])
    tiers.ask()
    assert kinds(tiers)[7] == SERVED, "the copy is used again as soon as the bus is heard"


def test_a_late_waiter_is_not_served_an_answer_asked_for_before_a_purge_counted_as_told(tiers: Tiers) -> None:
    """A cache took 3 s, and its answer was served to requests that came 2 s after it was asked."""
    tiers.fetch()
    tiers.bus_goes()
    tiers.wait(8_000.0)
    tiers.ask()
    (attempt,) = tiers.sent()
    tiers.wait(200.0)
    tiers.ask()
    tiers.wait(1_800.0)
    late = [tiers.ask() for _ in range(3)]
    tiers.wait(100.0)
    tiers.serve(attempt)
    assert kinds(tiers)[2] == kinds(tiers).get(3, SERVED) == SERVED
    assert not any(exchange.is_over for exchange in late)
    assert len(tiers.sent()) <= 2, "the late ones wait for one attempt"
    tiers.serve(tiers.sent()[-1])
    assert all(exchange.is_over for exchange in late)


def test_an_unheard_copy_replaces_no_refusal_and_is_not_read_from_disk_as_fresh() -> None:
    """Within its grace a copy was served in place of a failure, whatever had not been heard."""
    tiers = Tiers()
    tiers.bus_goes()
    tiers.wait(8_000.0)
    tiers.fetch(name="brief")
    tiers.wait(1_450.0)
    tiers.ask(name="brief")
    assert tiers.tier.unheard_copies
    while sent := tiers.sent():
        sent[-1].written = True
        sent[-1].end(AttemptResult("err"))
    assert kinds(tiers)[2] in (FAILED, REFUSED)
    disk = Tiers()
    disk.disk()
    for _ in range(2):
        disk.fetch()
        disk.tier.memory.drop(next(iter(disk.tier.memory.copies), 0))
    disk.bus_goes()
    disk.wait(8_000.0)
    exchange = disk.ask()
    assert exchange.confirm_tag == "t1" and len(disk.sent()) == 1 and disk.tier.hits["disk"] == 0
