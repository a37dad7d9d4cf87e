"""How much longer than at full pace a server's answers take now: its stretch, heard from its own answers.

A crowd on a cache's link, or a cache that has become slow, stretches the sending of all its answers alike.
Where an object's own sending time is known, each hit tells the stretch; a fill tells nothing here, since its
source may have been the slow one. It is what a request that is sent there now will meet, whatever the cause,
and whoever the crowd belongs to: no gateway needs to know the others' load.

Bounds. A number from 1 to MOST for each server, heard in steps of WEIGHT and forgotten at FORGET_MS: a
server that gets nothing for its name is tried again after a few of these by each gateway, which costs one
late answer each. 200 gateways forget alone, so after an idle time up to 200 would try the one server
together; its crowd, as each of them sees it, is bounded by `in_time` as before.
"""

import math

WEIGHT, FORGET_MS = 0.25, 8_000.0
MOST, WORTH = 32.0, 1.5  # sizes are known to a tenth or two: less is no sign of a crowd


class Pace:
    """The stretch of one server's answers; 1 at full pace."""

    __slots__ = ("at_ms", "over")

    def __init__(self) -> None:
        """Start at full pace."""
        self.over, self.at_ms = 0.0, 0.0  # above 1, as last heard

    def now(self, now_ms: float) -> float:
        """Give the stretch to expect."""
        return 1.0 + self.over * math.exp((self.at_ms - now_ms) / FORGET_MS) if self.over else 1.0

    def significant_stretch(self, now_ms: float) -> float:
        """Give the stretch where it is worth a word: at full pace there may be no crowd at all."""
        stretch = self.now(now_ms)
        return stretch if stretch > WORTH else 0.0

    def record(self, now_ms: float, stretch: float) -> None:
        """Take an answer's time over its sending time at full pace."""
        old = self.now(now_ms) - 1.0
        self.over = old + WEIGHT * (min(MOST, max(1.0, stretch)) - 1.0 - old)
        self.at_ms = now_ms
