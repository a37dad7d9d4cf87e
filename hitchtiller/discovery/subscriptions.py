"""Which subscriptions to the event bus to open, to keep and to close. Decided without I/O.

Giving up on a quiet subscription and asking on another one are two decisions: a bus may be slow, so that what
it sends is on its way, or a connection may be dead without a sign. So a second subscription is opened beside
a quiet one, two at the most, and the first of them to bring a whole frame stays:

    one, quiet for SILENT_MS          open a second one (for CONNECT_MS while it is still connecting)
    two, one brings a whole frame     close the other
    two, the younger one stays quiet  replace it after SILENT_MS, those after it after twice that
    quiet for GIVE_UP_MS              close it, whichever it is

A subscription from which bytes come is kept for up to MAX_FRAME_MS in the middle of a frame, as for a long
list over a crowded way; the second one goes on beside it. A renewal is a second subscription that is opened
while the first one is well, because it tells better as of when events are known (`heartbeats`). It takes the
first one's place with its first frame, and is given up without a loss.

All times are in milliseconds of `now_ms`.
"""

import math
from dataclasses import dataclass, field
from enum import Enum

from hitchtiller.discovery.heartbeats import HEARTBEAT_MS, HeartbeatCount

# For a connection to come up, the first time and at most: one that is asked for anew may be quicker.
CONNECT_MS, MAX_CONNECT_MS = 400.0, 1_600.0
SILENT_MS = 1_800.0  # the bus sends a frame each second
# What the bus has to tell counts as told 7 s later, and the frame that is waited for may have been sent a
# second after the last one.
GIVE_UP_MS = 7_000.0 + HEARTBEAT_MS + 500.0
MAX_FRAME_MS = 30_000.0
RETRY_DELAY_MS = 100.0
MAX_SUBSCRIPTIONS = 2


class Purpose(Enum):
    """What a subscription is opened for."""

    FOLLOW = "follow"
    RENEWAL = "renewal"


@dataclass(slots=True)
class Subscription:
    """One connection to the bus."""

    number: int
    opened_ms: float
    purpose: Purpose
    # As the younger of two: for the connection to come up, and then for a whole frame.
    connect_patience_ms: float
    patience_ms: float
    asked_ms: float | None = None  # when the connection was there and the events were asked for
    last_bytes_ms: float = -math.inf
    last_frame_ms: float = -math.inf
    heartbeats: HeartbeatCount = field(default_factory=lambda: HeartbeatCount(math.inf))

    def quiet_since_ms(self) -> float:
        """Return since when no whole frame has come."""
        return max(self.opened_ms, self.asked_ms or self.opened_ms, self.last_frame_ms)

    def is_connected(self) -> bool:
        """Return whether the connection was established."""
        return self.asked_ms is not None


@dataclass(frozen=True, slots=True)
class Plan:
    """What is to be done now, and when to ask again at the latest."""

    close: tuple[int, ...]  # numbers of subscriptions
    open: Purpose | None  # open a subscription for this; None: open none
    next_ms: float


class Subscriptions:
    """All subscriptions of one gateway, the one opened first at the head."""

    def __init__(self) -> None:
        """Start without a subscription."""
        self.open: list[Subscription] = []
        self.count = 0  # of all subscriptions that were ever opened
        self.failures = 0  # of subscriptions beside a quiet one, since the last whole frame
        self.late_connections = 0  # given up since the last one that came up
        self.retry_ms = -math.inf  # until then none is opened
        self.first_delay_ms = 0.0  # from asking to the first frame, of the last subscription that brought one
        self.wants_renewal = False
        self.renewal_ms = -math.inf  # until then no renewal is opened

    def add(self, purpose: Purpose, now_ms: float) -> Subscription:
        """Add a subscription that is being opened."""
        patience_ms = GIVE_UP_MS if purpose is Purpose.RENEWAL else self._patience_ms()
        self.count += 1
        connect_ms = min(MAX_CONNECT_MS, CONNECT_MS * 2.0 ** min(self.late_connections, 8))
        subscription = Subscription(self.count, now_ms, purpose, connect_ms, patience_ms)
        self.open.append(subscription)
        return subscription

    def _patience_ms(self) -> float:
        """Return how long a subscription beside a quiet one may take to bring a whole frame."""
        grown_ms = 2.0 * SILENT_MS if self.failures else SILENT_MS
        return min(GIVE_UP_MS, max(grown_ms, 2.0 * self.first_delay_ms))

    def on_connected(self, subscription: Subscription, now_ms: float) -> None:
        """Record that a connection is there and that the events are asked for now."""
        subscription.asked_ms = now_ms
        self.late_connections = 0
        subscription.heartbeats = HeartbeatCount(now_ms)

    def on_frame(self, subscription: Subscription, now_ms: float) -> list[Subscription]:
        """Record a whole frame; return the subscriptions that are not needed any more.

        A subscription goes on beside its own renewal, which has yet to bring a frame.
        """
        if subscription.last_frame_ms == -math.inf and subscription.asked_ms is not None:
            self.first_delay_ms = now_ms - subscription.asked_ms
        subscription.last_bytes_ms = subscription.last_frame_ms = now_ms
        subscription.purpose = Purpose.FOLLOW
        self.failures = 0
        if subscription.heartbeats.heartbeats:  # events may come in the place of heartbeats
            self.wants_renewal = subscription.heartbeats.needs_renewal(now_ms)
        followers = [other for other in self.open if other.purpose is Purpose.FOLLOW]
        return [other for other in followers if other is not subscription]

    def on_heartbeat(self, subscription: Subscription, now_ms: float) -> float:
        """Record a heartbeat; return as of when all events are known."""
        known_until_ms = subscription.heartbeats.record(now_ms)
        self.wants_renewal = subscription.heartbeats.needs_renewal(now_ms)
        return known_until_ms

    def on_end(self, subscription: Subscription, now_ms: float) -> None:
        """Remove a subscription whose connection has ended or that could not be opened."""
        if subscription not in self.open:
            return
        is_younger = subscription is not self.open[0]
        self.open.remove(subscription)
        self.retry_ms = subscription.opened_ms + RETRY_DELAY_MS
        if subscription.purpose is Purpose.RENEWAL:
            self.renewal_ms = now_ms + GIVE_UP_MS
        elif is_younger and subscription.is_connected():
            self.failures += 1
        elif is_younger and now_ms >= subscription.opened_ms + subscription.connect_patience_ms:
            self.late_connections += 1

    def plan(self, now_ms: float) -> Plan:
        """Return what is to be done now."""
        ends = {subscription.number: self._end_ms(subscription) for subscription in self.open}
        close = tuple(number for number, end_ms in ends.items() if end_ms <= now_ms)
        kept = [subscription for subscription in self.open if subscription.number not in close]
        next_ms = min((ends[subscription.number] for subscription in kept), default=math.inf)
        open_ms, purpose = self._next_open(kept)
        if open_ms <= now_ms:
            return Plan(close, purpose, now_ms)
        return Plan(close, None, min(next_ms, open_ms))

    def _end_ms(self, subscription: Subscription) -> float:
        """Return when a subscription is given up unless something comes."""
        quiet_ms = subscription.quiet_since_ms()
        if subscription is not self.open[0]:
            if subscription.is_connected():
                return quiet_ms + subscription.patience_ms
            return subscription.opened_ms + subscription.connect_patience_ms
        if subscription.last_bytes_ms > quiet_ms:
            return min(quiet_ms + MAX_FRAME_MS, subscription.last_bytes_ms + GIVE_UP_MS)
        return quiet_ms + GIVE_UP_MS

    def _next_open(self, kept: list[Subscription]) -> tuple[float, Purpose]:
        """Return when the next subscription is opened, and for what."""
        if len(kept) >= MAX_SUBSCRIPTIONS:
            return math.inf, Purpose.FOLLOW
        if not kept:
            return self.retry_ms, Purpose.FOLLOW
        (first,) = kept
        if self.wants_renewal and first.last_frame_ms > -math.inf:
            quiet_end_ms = first.quiet_since_ms() + SILENT_MS
            if self.renewal_ms < quiet_end_ms:
                return self.renewal_ms, Purpose.RENEWAL
        limit_ms = SILENT_MS if first.is_connected() else CONNECT_MS
        return max(self.retry_ms, first.quiet_since_ms() + limit_ms), Purpose.FOLLOW

    def reset(self) -> None:
        """Forget what was learnt of the bus, as when another address is followed from now on."""
        self.failures, self.late_connections, self.first_delay_ms = 0, 0, 0.0
        self.retry_ms = self.renewal_ms = -math.inf
        self.wants_renewal = False
