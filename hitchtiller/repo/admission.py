"""A station's release rush against its card look-ups: background parts give way to the foreground.

Additive increase, multiplicative decrease of the parts under way in all, driven by how many of the
foreground's answers came within their wanted time lately, and by the loop's lag. Bound: constant space. Also
who may connect.
"""

import math
from dataclasses import dataclass, field

MIN_PARTS, MAX_PARTS = 2, 64  # parts under way in all
MIN_IN_TIME_SHARE = 0.97  # share of foreground answers in time, from which on more is let in
ADJUST_PERIOD_MS = 200.0
AVERAGING_MS = 2_000.0  # over which the share is taken
MAX_LAG_MS = 60.0  # of the loop, from which on less is let in


@dataclass(slots=True)
class BackgroundLimit:
    """The gateway's limit on background parts."""

    limit: float = 16.0
    open: int = 0
    on: bool = True
    refused: int = 0
    in_time_share: float = 1.0
    sample_weight: float = 0.0
    sampled_ms: float = -math.inf
    adjusted_ms: float = -math.inf

    def record_foreground(self, in_time: bool, now_ms: float) -> None:
        """Hear how a request of another class ended."""
        decay = math.exp(min(0.0, self.sampled_ms - now_ms) / AVERAGING_MS) if self.sample_weight else 0.0
        self.sampled_ms = now_ms
        total = self.sample_weight * decay + 1.0
        self.in_time_share = (self.in_time_share * self.sample_weight * decay + in_time) / total
        self.sample_weight = total

    def adjust(self, lag_ms: float, now_ms: float) -> None:
        """Move the limit, at most once in LOOK_MS."""
        if now_ms - self.adjusted_ms < ADJUST_PERIOD_MS:
            return
        self.adjusted_ms = now_ms
        is_stale = now_ms - self.sampled_ms > AVERAGING_MS
        if lag_ms > MAX_LAG_MS or (not is_stale and self.in_time_share < MIN_IN_TIME_SHARE):
            self.limit = max(MIN_PARTS, self.limit * 0.7)
        else:
            self.limit = min(MAX_PARTS, self.limit + 1.0)

    def admits(self) -> bool:
        """Tell whether one more part may go out now."""
        if self.on and self.open >= int(self.limit):
            self.refused += 1
            return False
        return True


@dataclass(slots=True)
class ConnectionLimits:
    """Connections in all and from each address."""

    max_connections: int
    max_per_address: int
    all: int = 0
    by_address: dict[str, int] = field(default_factory=dict)

    def enter(self, address: str) -> str:
        """Let one in, or give the reason code why not."""
        if self.all >= self.max_connections:
            return "full"
        if self.by_address.get(address, 0) >= self.max_per_address:
            return "too-many-of-one-address"
        self.all += 1
        self.by_address[address] = self.by_address.get(address, 0) + 1
        return ""

    def leave(self, address: str) -> None:
        """Let one go."""
        self.all -= 1
        self.by_address[address] -= 1
        if not self.by_address[address]:
            del self.by_address[address]
