"""Admission control for repositories: background parts in flight, and client connections.

Repository parts are background traffic. Without a limit, a new release that all clients of a station fetch at
once would delay the station's foreground requests. The limit on parts in flight follows additive increase and
multiplicative decrease. It falls when too few of the recent foreground answers met the aim of their class, or
when the event loop lags. Takes constant memory, apart from one entry for each connected address.
"""

import math
from dataclasses import dataclass, field

MIN_PARTS, MAX_PARTS = 2, 64  # limit on parts in flight, over all bodies
MIN_IN_TIME_SHARE = 0.97  # of foreground answers; below it the limit falls
ADJUST_PERIOD_MS = 200.0  # shortest time between two changes of the limit
AVERAGING_MS = 2_000.0  # time constant of the moving average of the share
MAX_LAG_MS = 60.0  # of the event loop; above it the limit falls


@dataclass(slots=True)
class BackgroundLimit:
    """Limit on the background parts that a gateway has in flight."""

    limit: float = 16.0
    parts_in_flight: int = 0
    is_enabled: bool = True
    refusal_count: int = 0
    in_time_share: float = 1.0
    sample_weight: float = 0.0
    sampled_ms: float = -math.inf
    adjusted_ms: float = -math.inf

    def record_foreground(self, in_time: bool, now_ms: float) -> None:
        """Record whether a foreground request was answered within the aim of its class."""
        decay = math.exp(min(0.0, self.sampled_ms - now_ms) / AVERAGING_MS) if self.sample_weight else 0.0
        self.sampled_ms = now_ms
        total = self.sample_weight * decay + 1.0
        self.in_time_share = (self.in_time_share * self.sample_weight * decay + in_time) / total
        self.sample_weight = total

    def adjust(self, lag_ms: float, now_ms: float) -> None:
        """Raise or lower the limit, at most once every ADJUST_PERIOD_MS.

        Without a recent foreground answer, only the lag of the event loop can lower it.
        """
        if now_ms - self.adjusted_ms < ADJUST_PERIOD_MS:
            return
        self.adjusted_ms = now_ms
        is_stale = now_ms - self.sampled_ms > AVERAGING_MS
        if lag_ms > MAX_LAG_MS or (not is_stale and self.in_time_share < MIN_IN_TIME_SHARE):
            self.limit = max(MIN_PARTS, self.limit * 0.7)
        else:
            self.limit = min(MAX_PARTS, self.limit + 1.0)

    def admits(self) -> bool:
        """Return whether one more part may be requested now; count a refusal."""
        if self.is_enabled and self.parts_in_flight >= int(self.limit):
            self.refusal_count += 1
            return False
        return True


@dataclass(slots=True)
class ConnectionLimits:
    """Counts and limits of connections, in total and for each client address."""

    max_connections: int
    max_per_address: int
    open_connections: int = 0
    by_address: dict[str, int] = field(default_factory=dict)

    def enter(self, address: str) -> str:
        """Count a new connection and return "", or return the reason code for which it is rejected."""
        if self.open_connections >= self.max_connections:
            return "full"
        if self.by_address.get(address, 0) >= self.max_per_address:
            return "too-many-of-one-address"
        self.open_connections += 1
        self.by_address[address] = self.by_address.get(address, 0) + 1
        return ""

    def leave(self, address: str) -> None:
        """Remove a closed connection from the counts."""
        self.open_connections -= 1
        self.by_address[address] -= 1
        if not self.by_address[address]:
            del self.by_address[address]
