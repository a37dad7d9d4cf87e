"""As of when all events of the bus are known, told from the heartbeats of one subscription. Without I/O.

A frame does not say when the bus sent it, and it may be late. Two facts bound that time from below: what a
subscription brings first was sent after the subscription was asked for, and heartbeats are sent a second
apart. So the n-th heartbeat was sent at least so many seconds after the subscription, however late it comes.
One second is left out, as a bus may send the first heartbeat at once and the others on a common tick.

Errors: where the bus sends heartbeats less often than it should, the bound falls behind the true time. Then
`needs_renewal` asks for a new subscription, which begins the count anew.
"""

HEARTBEAT_MS = 1_000.0
UNCOUNTED_HEARTBEATS = 2  # the first one, which is sent at once, and the one that may follow on the next tick
# How far the bound may fall behind what the subscription had at first, beside the uncounted heartbeats.
MAX_FALL_BEHIND_MS = 1_500.0


class HeartbeatCount:
    """The heartbeats of one subscription; times are of `now_ms`."""

    def __init__(self, asked_ms: float) -> None:
        """Start with the time just before the subscription was asked for."""
        self.asked_ms = asked_ms
        self.heartbeats = 0
        self.first_delay_ms = 0.0  # from asking to the first heartbeat

    def record(self, now_ms: float) -> float:
        """Count a heartbeat that was received now; return as of when all events are known."""
        if not self.heartbeats:
            self.first_delay_ms = now_ms - self.asked_ms
        self.heartbeats += 1
        return self.known_until_ms(now_ms)

    def known_until_ms(self, now_ms: float) -> float:
        """Return as of when all events are known after the last heartbeat; never after `now_ms`."""
        counted = max(0, self.heartbeats - UNCOUNTED_HEARTBEATS)
        return min(now_ms, self.asked_ms + counted * HEARTBEAT_MS)

    def needs_renewal(self, now_ms: float) -> bool:
        """Return whether a new subscription would tell more, after a heartbeat that was received now."""
        behind_ms = now_ms - self.known_until_ms(now_ms)
        return behind_ms > self.first_delay_ms + HEARTBEAT_MS + MAX_FALL_BEHIND_MS
