"""A station's release rush against its card look-ups: background parts give way to the foreground.

Additive increase, multiplicative decrease of the parts under way in all, driven by how many of the
foreground's answers came within their wanted time lately, and by the loop's lag. Bound: constant space. Also
who may connect.
"""

import math
from dataclasses import dataclass, field

FLOOR, CEILING = 2, 64  # parts under way in all
GOOD = 0.97  # share of foreground answers in time, from which on more is let in
LOOK_MS = 200.0
MEMORY_MS = 2_000.0  # over which the share is taken
LAG_MS = 60.0  # of the loop, from which on less is let in


@dataclass(slots=True)
class BackgroundLimit:
    """The gateway's limit on background parts."""

    limit: float = 16.0
    open: int = 0
    on: bool = True
    refused: int = 0
    good: float = 1.0
    weight: float = 0.0
    at_ms: float = -math.inf
    looked_ms: float = -math.inf

    def foreground(self, in_time: bool, now_ms: float) -> None:
        """Hear how a request of another class ended."""
        left = math.exp(min(0.0, self.at_ms - now_ms) / MEMORY_MS) if self.weight else 0.0
        self.at_ms = now_ms
        total = self.weight * left + 1.0
        self.good = (self.good * self.weight * left + in_time) / total
        self.weight = total

    def look(self, lag_ms: float, now_ms: float) -> None:
        """Move the limit, at most once in LOOK_MS."""
        if now_ms - self.looked_ms < LOOK_MS:
            return
        self.looked_ms = now_ms
        stale = now_ms - self.at_ms > MEMORY_MS
        if lag_ms > LAG_MS or (not stale and self.good < GOOD):
            self.limit = max(FLOOR, self.limit * 0.7)
        else:
            self.limit = min(CEILING, self.limit + 1.0)

    def admits(self) -> bool:
        """Tell whether one more part may go out now."""
        if self.on and self.open >= int(self.limit):
            self.refused += 1
            return False
        return True


@dataclass(slots=True)
class ConnectionLimits:
    """Connections in all and from each address."""

    most: int
    each: int
    all: int = 0
    by_address: dict[str, int] = field(default_factory=dict)

    def enter(self, address: str) -> str:
        """Let one in, or give the reason code why not."""
        if self.all >= self.most:
            return "full"
        if self.by_address.get(address, 0) >= self.each:
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
