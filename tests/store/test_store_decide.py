"""Epochs, purges, flights, disk space and health, decided without I/O."""

import errno
import math

import pytest
from tiers import START

from hitchtiller.store.health import HEALTHY, MAX_UNREADABLE_SEGMENTS, OFF, READ_ONLY, Health
from hitchtiller.store.join import Joins, NextStep
from hitchtiller.store.pace import Pace
from hitchtiller.store.purges import Purges
from hitchtiller.store.space import Segment, Space, TokenBucket
from hitchtiller.store.suspect import Proof, SavedProof


def started_proof(saved: SavedProof, now: float = START, replay: float = 6000.0) -> Proof:
    proof = Proof(saved, replay, 500.0)
    proof.begin(now, 0.0)
    return proof


def test_a_short_absence_is_covered_by_the_purges_that_the_bus_repeats() -> None:
    proof = started_proof(SavedProof(3, START - 5_900.0, 1.0))
    assert proof.epoch == 3 and proof.proven(3, START - 9_000.0, START)


@pytest.mark.parametrize("followed", [0.0, START - 6_100.0, START + 50.0])
def test_a_gap_or_a_clock_that_went_back_makes_all_copies_suspect(followed: float) -> None:
    proof = started_proof(SavedProof(3, followed, 1.0))
    assert proof.epoch == 4 and not proof.proven(3, START - 9_000.0, START)
    assert proof.proven(4, START, START)


def test_nothing_is_proven_before_the_bus_is_caught_up_with() -> None:
    proof = Proof(SavedProof(3, START, 1.0), 6000.0)
    assert not proof.proven(3, START, START) and not proof.confirms(START, START)


def test_a_confirmation_must_be_from_after_the_gap() -> None:
    proof = started_proof(SavedProof())
    assert not proof.confirms(START - 1.0, START + 100.0)
    assert proof.confirms(START + 1.0, START + 100.0)
    assert not proof.confirms(START + 10_000.0, START + 100.0)
    assert proof.cap_ms(START + 100.0) == 100.0 and proof.cap_ms(START - 5.0) == 1.0


@pytest.mark.parametrize("step", [-3_600_000.0, -1_500.0, 1_500.0, 3_600_000.0])
def test_a_step_of_the_clock_raises_the_epoch_and_drift_does_not(step: float) -> None:
    proof = started_proof(SavedProof(3, START, 1.0))
    for second in range(1, 20):
        assert not proof.check_clock_step(START + 1010.0 * second, 1000.0 * second)
    assert proof.check_clock_step(START + 1010.0 * 20 + step, 20_000.0)
    assert proof.epoch == 4 and not proof.proven(3, START, START + 20_000.0)
    assert proof.followed_ms <= START + 20_200.0 + step


def test_the_watermark_lags_and_never_goes_back() -> None:
    proof = started_proof(SavedProof())
    proof.follow(START + 1000.0)
    assert proof.followed_ms == START + 500.0
    proof.follow(START + 800.0)
    assert proof.followed_ms == START + 500.0


def test_a_copy_from_the_future_is_never_proven() -> None:
    proof = started_proof(SavedProof(3, START, 1.0))
    assert not proof.proven(3, START + 3_000.0, START)


def test_a_folder_opened_late_is_judged_by_when_the_bus_was_first_followed() -> None:
    proof = Proof(SavedProof(), 6000.0, 500.0)
    proof.begin(START, 0.0)
    assert not proof.adopt(SavedProof(7, START - 5_000.0, 5.0), START + 60_000.0)
    assert proof.epoch == 7 and proof.proven(7, START - 9_000.0, START + 60_000.0)
    late = Proof(SavedProof(), 6000.0, 500.0)
    late.begin(START, 0.0)
    assert late.adopt(SavedProof(7, START - 7_000.0, 5.0), START + 60_000.0)
    assert late.epoch == 8 and late.gap_end_ms == START + 60_000.0


def test_the_later_of_two_epochs_is_used() -> None:
    proof = started_proof(SavedProof(9, START, 1.0))
    assert proof.adopt(SavedProof(4, START, 2.0), START)
    assert proof.epoch == 9 and not proof.proven(4, START, START)


def test_a_purge_forbids_copies_of_exactly_its_own_time() -> None:
    purges = Purges()
    assert purges.add(5, 2, 100.0) and not purges.add(5, 2, 90.0)
    assert not purges.allows(5, 2, 100.0) and purges.allows(5, 2, 101.0)
    purges.add(None, 2, 200.0)
    assert not purges.allows(5, 2, 150.0) and purges.allows(5, 3, 150.0)


def test_too_many_purges_become_a_floor_that_forbids_more_and_never_less() -> None:
    purges = Purges(max_objects=100)
    for number in range(500):
        purges.add(number, -1, float(number))
        assert len(purges.objects) <= 100
    for number in range(500):
        assert not purges.allows(number, -1, float(number))
    assert purges.allows(499, -1, 500.0) and purges.floor_raises
    assert purges.forget(480.0) > 0 and not purges.allows(490, -1, 490.0)


def test_one_request_leads_and_the_others_wait_for_it() -> None:
    joins = Joins(3)
    assert not joins.join(1, 77, "", -math.inf)
    joins.lead(1, 77, "")
    assert joins.join(2, 77, "", -math.inf) and joins.join(3, 77, "x", -math.inf)
    assert joins.end_served(1, 100.0) == [(NextStep.SERVE, 2), (NextStep.SERVE, 3)]
    assert not (joins.flights or joins.flights_by_leader or joins.flights_by_waiter)


def test_a_leader_whose_client_holds_a_copy_is_joined_only_by_requests_with_the_same_tag() -> None:
    joins = Joins(3)
    joins.lead(1, 77, "t1")
    assert not joins.join(2, 77, "", -math.inf) and joins.join(3, 77, "t1", -math.inf)


def test_a_purge_between_leader_and_waiter_separates_them() -> None:
    joins = Joins(3)
    joins.lead(1, 77, "")
    for number, purged in ((2, -math.inf), (3, 150.0), (4, 150.0)):
        joins.join(number, 77, "", purged)
    assert joins.end_served(1, 120.0) == [(NextStep.SERVE, 2), (NextStep.LEAD, 3)]
    assert joins.flights_by_waiter.keys() == {4} and joins.end_served(3, 160.0) == [(NextStep.SERVE, 4)]


def test_leaders_of_one_flight_share_the_attempts_of_one_request() -> None:
    joins = Joins(3)
    joins.lead(1, 77, "")
    for number in (2, 3):
        joins.join(number, 77, "", -math.inf)
    assert joins.may_send(1) and joins.may_send(1)
    assert joins.end_failed(1) == [(NextStep.LEAD, 2)]
    assert joins.may_send(2) and not joins.may_send(2)
    assert joins.end_failed(2) == [(NextStep.SHARE, 3)] and joins.spared == 1
    assert joins.may_send(99), "a request that leads no flight has no limit here"


def test_a_waiter_that_leaves_or_gives_up_is_removed() -> None:
    joins = Joins(3)
    joins.lead(1, 77, "")
    for number in (2, 3):
        joins.join(number, 77, "", -math.inf)
    assert joins.give_up(2) and not joins.give_up(2)
    joins.leave(3)
    assert joins.end_served(1, 1.0) == [] and joins.impatient == 1


def test_the_link_sends_answers_one_after_the_other() -> None:
    pace = Pace(1000.0, 2000.0)
    assert pace.reserve(1000, 0.0) == 0.0 and pace.reserve(1000, 0.0) == 500.0
    assert pace.is_in_time(500, 0.0, 1500.0) and not pace.is_in_time(500, 0.0, 1499.0)
    assert pace.reserve(1, 5000.0) == 5000.0
    assert Pace(0.0, 0.0).is_in_time(1 << 40, 0.0, 0.0)


def test_health_degrades_and_never_recovers() -> None:
    health = Health()
    assert health.can_write and health.on_write_error(OSError(errno.ENOSPC, "full"))
    assert (
        health.state == READ_ONLY
        and health.can_read(1)
        and not health.on_write_error(OSError(errno.EIO, "again"))
    )
    for segment in range(1, MAX_UNREADABLE_SEGMENTS):
        assert not health.on_read_error(segment, OSError(errno.EIO, "bad")) and not health.can_read(segment)
    assert health.can_read(MAX_UNREADABLE_SEGMENTS) and health.on_read_error(
        MAX_UNREADABLE_SEGMENTS, OSError(errno.EIO, "bad")
    )
    assert health.state == OFF and not health.can_read(99)
    assert health.errors == {"write-ENOSPC": 1, "write-EIO": 1, "read-EIO": MAX_UNREADABLE_SEGMENTS}
    gone = Health()
    assert (
        gone.state == HEALTHY
        and gone.on_write_error(OSError(errno.ENOENT, "no folder"))
        and gone.state == OFF
    )


def space(**segments: tuple[int, int]) -> Space:
    made = Space(1000, 0, 100)
    for name, (size, live) in segments.items():
        id = int(name[1:])
        made.segments[id] = Segment(id, 0, size, size, live, sealed=True)
    return made


def test_the_segment_with_most_dead_bytes_goes_first_and_the_oldest_only_if_space_is_short() -> None:
    assert space(s1=(100, 90), s2=(100, 40), s3=(100, 10)).victim().id == 3  # type: ignore[union-attr]
    assert space(s1=(100, 90), s2=(100, 60)).victim() is None
    full = space(**{f"s{n}": (100, 90) for n in range(1, 9)})
    assert full.is_short_of_space() and full.victim().id == 1  # type: ignore[union-attr]


def test_at_most_half_of_a_victim_is_copied_where_space_is_short() -> None:
    full = space(**{f"s{n}": (100, 100) for n in range(1, 9)})
    victim = full.segments[1]
    assert full.should_copy(5, victim, 30, 0) and not full.should_copy(5, victim, 30, 30)
    assert not full.should_copy(1, victim, 30, 0)
    calm = space(s1=(100, 10))
    assert calm.should_copy(0, calm.segments[1], 10, 0)


def test_compaction_gives_way_to_clients() -> None:
    rate = TokenBucket(1000.0, 100.0, 500.0)
    assert rate.take(500, 0.0, False) and not rate.take(500, 100.0, False)
    assert rate.take(500, 500.0, False)
    assert not rate.take(500, 1000.0, True) and not rate.take(500, 4000.0, True)
    assert rate.take(500, 6000.0, True)
    assert not rate.take(500, 1000.0, False), "a backward step of the clock adds no tokens"
