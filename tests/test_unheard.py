"""As of when the events of the bus are known, and how long copies may be used while it is not heard."""

import math

import pytest

from hitchtiller.discovery.heartbeats import HeartbeatCount
from hitchtiller.routing.unheard import MARGIN_MS, MAX_TOLD_DELAY_MS, SPREAD_SHARE, UnheardPurges, spread

GRACE_MS, GONE_MS = 300.0, 6_000.0
LIMIT_MS = MAX_TOLD_DELAY_MS + GRACE_MS - MARGIN_MS
BOUNDS = UnheardPurges(LIMIT_MS, GONE_MS)


@pytest.mark.parametrize("delay_ms", [0.0, 500.0, 2_500.0, 6_000.0])
def test_a_late_heartbeat_does_not_speak_for_the_time_at_which_it_comes(delay_ms: float) -> None:
    """A bus whose frames come late and that then goes away was taken to be heard until it went."""
    heartbeats = HeartbeatCount(100_000.0)
    for second in range(60):
        sent_ms = 100_000.0 + 1_000.0 * second
        assert heartbeats.record(sent_ms + delay_ms) <= sent_ms
    assert heartbeats.known_until_ms(1e9) >= sent_ms - 1_000.0


@pytest.mark.parametrize("growth", [1.1, 1.5, 3.0])
def test_frames_that_come_ever_later_make_what_is_known_older(growth: float) -> None:
    heartbeats, asked_ms = HeartbeatCount(0.0), 0.0
    renewals = 0
    for second in range(20):
        received_ms = 1_000.0 * second * growth
        assert heartbeats.record(received_ms) <= asked_ms + 1_000.0 * second
        renewals += heartbeats.needs_renewal(received_ms)
    assert (renewals > 0) == (19 * (growth - 1.0) > 1.5)


def test_heartbeats_read_at_once_after_a_stall_tell_when_they_were_sent() -> None:
    """A process that was stopped for 30 s found 10 heartbeats unread and took the bus for heard."""
    heartbeats = HeartbeatCount(0.0)
    known_ms = [heartbeats.record(30_000.0) for _ in range(10)]
    assert known_ms[-1] == 8_000.0


def test_a_bus_with_frequent_heartbeats_is_never_known_ahead_of_time() -> None:
    heartbeats = HeartbeatCount(0.0)
    for number in range(100):
        assert heartbeats.record(10.0 * number) <= 10.0 * number


def test_a_copy_is_used_until_an_unheard_purge_of_it_counts_as_told() -> None:
    assert BOUNDS.heard_until_ms(1_000.0, 1.0) == 1_000.0 + LIMIT_MS < 1_000.0 + MAX_TOLD_DELAY_MS + GRACE_MS
    assert BOUNDS.answer_until_ms(1_000.0, 0.0, 1.0) == 1_000.0 + LIMIT_MS - GONE_MS
    assert BOUNDS.answer_until_ms(1_000.0, 20_000.0, 1.0) == 1_000.0 + LIMIT_MS - GONE_MS
    assert BOUNDS.answer_until_ms(1_000.0, 2_000.0, 1.0) == 1_000.0 + LIMIT_MS - 2_000.0


def test_the_ends_of_copies_are_spread_and_none_comes_late() -> None:
    shares = {spread(hash(str(number))) for number in range(1_000)}
    assert min(shares) > 1.0 - SPREAD_SHARE and max(shares) <= 1.0
    assert len(shares) > 900


@pytest.mark.parametrize("gone_ms", [6_800.0, 9_000.0, 60_000.0])
def test_where_servers_drop_copies_late_attempts_carry_an_age_limit(gone_ms: float) -> None:
    """With `gone_everywhere_ms` over 7 s, a server could answer with a copy whose purge counted as told."""
    bounds = UnheardPurges(LIMIT_MS, gone_ms)
    assert bounds.limit_age(0.0, 1_500.0) == 0.0 and bounds.limit_age(900.0, math.inf) == 900.0
    limit_ms = bounds.limit_age(0.0, LIMIT_MS)
    assert limit_ms == LIMIT_MS / 2.0
    assert bounds.answer_until_ms(0.0, limit_ms, 1.0) == LIMIT_MS / 2.0


def test_where_servers_drop_copies_in_time_attempts_carry_no_age_limit() -> None:
    """An age limit would send requests to the origin while the bus is away."""
    assert BOUNDS.limit_age(0.0, math.inf) == 0.0
