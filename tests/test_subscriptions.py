"""Which subscriptions are opened, kept and closed beside a bus that is slow, hangs, drips or is away."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from hitchtiller.discovery.subscriptions import (
    GIVE_UP_MS,
    MAX_CONNECT_MS,
    MAX_SUBSCRIPTIONS,
    SILENT_MS,
    Purpose,
    Subscription,
    Subscriptions,
)

STEP_MS, REFUSED = 10, -1.0
SLACK_MS = 3.0 * STEP_MS


@dataclass(slots=True)
class Connection:
    """A connection to the simulated bus; frames are pairs of the time of arrival and of sending."""

    subscription: Subscription
    connected_ms: float
    frames: list[tuple[float, float]] = field(default_factory=list)


def never(_: float) -> bool:
    return False


@dataclass(slots=True)
class SimulatedBus:
    """The bus as a connection sees it that was opened at a time; all times in ms."""

    connect_ms: Callable[[float], float] = lambda opened: 0.0  # REFUSED: at once; infinite: never
    delay_ms: Callable[[float], float] = lambda sent: 0.0  # of a frame, by the time at which it is sent
    is_dead: Callable[[float, float], bool] = lambda opened, sent: False  # frames sent then never arrive
    drips: Callable[[float], bool] = never  # bytes go on coming on a connection opened then, but no frame
    interval_ms: float = 1_000.0

    def frames(self, opened: float, asked: float, end: float) -> list[tuple[float, float]]:
        """Return what a connection brings, in order."""
        found, sent, arrival = list[tuple[float, float]](), asked, asked
        while sent < end and not self.drips(opened):
            if not self.is_dead(opened, sent):
                arrival = max(arrival, sent + self.delay_ms(sent))
                found.append((arrival, sent))
            sent += self.interval_ms
        return found


@dataclass(slots=True)
class Played:
    """What happened: for each frame its time of arrival, and as of when events were known then."""

    heard: list[tuple[float, float]] = field(default_factory=list)
    opened: list[float] = field(default_factory=list)

    def first_heard_after(self, at_ms: float) -> float:
        """Return when a frame came that was sent after a time."""
        return next((arrival for arrival, sent in self.heard if sent >= at_ms), math.inf)


def play(bus: SimulatedBus, end: int) -> Played:
    """Carry out the plans until a time, in steps; check that nothing is claimed that is not known."""
    subscriptions, connections, played = Subscriptions(), dict[int, Connection](), Played()
    for now in range(0, end, STEP_MS):
        for connection in list(connections.values()):
            subscription = connection.subscription
            if subscription not in subscriptions.open:
                del connections[subscription.number]
                continue
            if not subscription.is_connected() and connection.connected_ms <= now:
                subscriptions.on_connected(subscription, now)
                connection.frames = bus.frames(subscription.opened_ms, now, end)
            if subscription.is_connected() and bus.drips(subscription.opened_ms):
                subscription.last_bytes_ms = now
            while connection.frames and connection.frames[0][0] <= now and subscription in subscriptions.open:
                _, sent = connection.frames.pop(0)
                for other in subscriptions.on_frame(subscription, now):
                    subscriptions.on_end(other, now)
                assert subscriptions.on_heartbeat(subscription, now) <= sent
                played.heard.append((now, sent))
        while (plan := subscriptions.plan(now)).close or plan.open:
            for subscription in [s for s in subscriptions.open if s.number in plan.close]:
                subscriptions.on_end(subscription, now)
            if not plan.open:
                continue
            subscription = subscriptions.add(plan.open, now)
            played.opened.append(now)
            delay = bus.connect_ms(now)
            if delay == REFUSED:
                subscriptions.on_end(subscription, now)
            else:
                connections[subscription.number] = Connection(subscription, now + delay)
            assert len(subscriptions.open) <= MAX_SUBSCRIPTIONS
        assert plan.next_ms > now, "a plan without an action that is due at once would be a busy loop"
    return played


@pytest.mark.parametrize("delay", [0.0, 1_000.0, 2_000.0, 2_500.0, 4_000.0, 6_000.0, 6_900.0])
def test_a_bus_that_is_late_from_the_start_is_heard_as_late_as_it_is(delay: float) -> None:
    """Each subscription was ended after 1.8 s, and a bus 2.5 s late was never heard (review/8)."""
    played = play(SimulatedBus(delay_ms=lambda sent: delay), 300_000)
    assert played.first_heard_after(0.0) <= delay + SLACK_MS
    gaps = [later - earlier for (earlier, _), (later, _) in zip(played.heard, played.heard[1:], strict=False)]
    assert max(gaps) <= 1_000.0 + SLACK_MS, "it is heard each second from then on"
    assert len(played.opened) <= 8, "no endless subscribing"


@pytest.mark.parametrize("delay", [2_000.0, 2_500.0, 4_000.0, 6_000.0, 7_000.0])
def test_a_bus_that_becomes_late_is_heard_as_late_as_it_is(delay: float) -> None:
    """One that had been well was given up in the moment in which its first late frame would have come."""
    for begin_ms in (10_000.0, 10_010.0, 10_500.0, 10_990.0):
        check_late_from(begin_ms, delay)


def check_late_from(begin_ms: float, delay: float) -> None:
    played = play(SimulatedBus(delay_ms=lambda sent: delay if sent >= begin_ms else 0.0), 60_000)
    for at_ms in range(10_000, 40_000, 500):
        assert played.first_heard_after(at_ms) <= at_ms + delay + 1_000.0 + SLACK_MS


@pytest.mark.parametrize("delay", [0.0, 2_000.0, 4_000.0])
def test_an_open_connection_that_falls_silent_for_good_is_replaced(delay: float) -> None:
    """Open watches fall silent once; new ones are well, and late."""
    bus = SimulatedBus(
        delay_ms=lambda sent: delay, is_dead=lambda opened, sent: opened < 20_000.0 and sent >= 20_000.0
    )
    played = play(bus, 60_000)
    assert played.first_heard_after(20_000.0) <= 20_000.0 + delay + SILENT_MS + delay + 1_000.0 + SLACK_MS


@pytest.mark.parametrize("hang", [1_000.0, 3_000.0, 8_000.0, 20_000.0])
@pytest.mark.parametrize("delay", [0.0, 1_000.0])
def test_a_bus_that_accepts_and_never_sends_and_then_is_well_is_heard_soon(hang: float, delay: float) -> None:
    """What was opened in the hang stays silent; a new subscription comes each 3.6 s at the latest."""
    bus = SimulatedBus(delay_ms=lambda sent: delay, is_dead=lambda opened, sent: opened < hang)
    played = play(bus, 60_000)
    assert played.first_heard_after(hang) <= hang + 2.0 * SILENT_MS + delay + SLACK_MS


def test_a_connection_that_drips_bytes_without_a_frame_keeps_no_other_from_being_heard() -> None:
    """Bytes of a frame that never ends keep a connection, but not the second one from being asked."""
    played = play(SimulatedBus(drips=lambda opened: opened == 0.0), 60_000)
    assert played.first_heard_after(0.0) <= SILENT_MS + SLACK_MS


def test_where_all_connections_drip_bytes_they_are_replaced_in_the_end() -> None:
    played = play(SimulatedBus(drips=lambda opened: opened < 50_000.0), 90_000)
    assert played.first_heard_after(50_000.0) <= 50_000.0 + GIVE_UP_MS + SLACK_MS
    assert len([at for at in played.opened if at < 50_000.0]) <= 20


@pytest.mark.parametrize("connect", [100.0, 1_000.0, 3_000.0, 6_000.0])
def test_connections_that_come_up_late_are_waited_for(connect: float) -> None:
    """Each connection was ended after 0.4 s, and a crowded bus was never reached."""
    played = play(SimulatedBus(connect_ms=lambda opened: connect), 30_000)
    assert played.first_heard_after(0.0) <= connect + SLACK_MS


@pytest.mark.parametrize("connect", [100.0, 1_000.0, 1_500.0])
def test_connections_that_come_up_late_replace_one_that_fell_silent(connect: float) -> None:
    """The one that came up was given up after 0.4 s each time, for as long as the silent one was kept."""
    bus = SimulatedBus(
        connect_ms=lambda opened: connect if opened >= 20_000.0 else 0.0,
        is_dead=lambda opened, sent: opened < 20_000.0 and sent >= 20_000.0,
    )
    assert play(bus, 60_000).first_heard_after(20_000.0) <= 20_000.0 + 7_000.0


def test_after_an_unreachable_bus_a_new_connection_is_tried_soon() -> None:
    bus = SimulatedBus(connect_ms=lambda opened: math.inf if opened < 8_000.0 else 0.0)
    assert play(bus, 30_000).first_heard_after(0.0) <= 8_000.0 + MAX_CONNECT_MS + 200.0


def test_a_bus_that_refuses_is_tried_ten_times_a_second() -> None:
    played = play(SimulatedBus(connect_ms=lambda opened: REFUSED if opened < 8_000.0 else 0.0), 10_000)
    assert played.first_heard_after(0.0) <= 8_000.0 + 100.0 + SLACK_MS
    assert len(played.opened) <= 82


def test_a_second_subscription_that_is_refused_leaves_the_quiet_one_alone() -> None:
    bus = SimulatedBus(
        connect_ms=lambda opened: REFUSED if opened > 0.0 else 0.0, delay_ms=lambda sent: 5_000.0
    )
    assert play(bus, 10_000).first_heard_after(0.0) <= 5_000.0 + SLACK_MS


def test_heartbeats_that_come_too_seldom_are_made_up_for_by_a_renewal() -> None:
    """With heartbeats 1.01 s apart, what is known falls behind by 36 s an hour."""
    played = play(SimulatedBus(interval_ms=1_010.0), 900_000)
    assert 2 <= len(played.opened) <= 1 + 900 * 0.01 / 1.5
    subscriptions_seen_late = [now for now, sent in played.heard if now - sent > 1_000.0]
    assert not subscriptions_seen_late


def test_a_renewal_that_fails_costs_nothing() -> None:
    bus = SimulatedBus(connect_ms=lambda opened: REFUSED if opened else 0.0, interval_ms=1_200.0)
    played = play(bus, 120_000)
    assert len(played.heard) >= 99 and len(played.opened) <= 2 + 120_000 / GIVE_UP_MS


def test_events_without_heartbeats_make_a_renewal_too() -> None:
    """What is known would become older and older beside a bus that has something to tell each second."""
    subscriptions = Subscriptions()
    subscription = subscriptions.add(Purpose.FOLLOW, 0.0)
    subscriptions.on_connected(subscription, 0.0)
    subscriptions.on_frame(subscription, 0.0)
    subscriptions.on_heartbeat(subscription, 0.0)
    for second in range(1, 5):
        subscriptions.on_frame(subscription, 1_000.0 * second)
    assert subscriptions.plan(4_000.0).open is Purpose.RENEWAL
