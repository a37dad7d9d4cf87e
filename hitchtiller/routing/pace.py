"""How much longer than at full pace a server's answers take now: its stretch, measured from its own answers.

Load on a cache's link, or a cache that has become slow, stretches the sending of all its answers alike. Where
an object's own sending time is known, each hit shows the stretch. A fill does not, since its source may have
been the slow server. The stretch is what a request that is sent to this server now will encounter, whatever
the cause and whichever gateways the load comes from: no gateway needs to know the load of the others.

Bounds. A number from 1 to MAX_STRETCH for each server, updated with a weight of SAMPLE_WEIGHT and decaying
over DECAY_MS. A server that gets no requests because of its stretch is tried again by each gateway after a
few times DECAY_MS, which costs one late answer each. 200 gateways forget independently, so after an idle time
up to 200 of them would try the server together. The load on it, as each of them sees it, is still bounded by
the router's check that a request can be answered in time.
"""

import math

SAMPLE_WEIGHT, DECAY_MS = 0.25, 8_000.0
# sizes are known within 10 to 20 percent: a stretch below the significant one does not indicate load
MAX_STRETCH, SIGNIFICANT_STRETCH = 32.0, 1.5


class Pace:
    """The stretch of one server's answers; 1 at full pace."""

    __slots__ = ("updated_ms", "excess")

    def __init__(self) -> None:
        """Create a record of a server at full pace."""
        self.excess, self.updated_ms = 0.0, 0.0  # the stretch above 1, as last recorded

    def current(self, now_ms: float) -> float:
        """Return the stretch to expect."""
        return 1.0 + self.excess * math.exp((self.updated_ms - now_ms) / DECAY_MS) if self.excess else 1.0

    def significant_stretch(self, now_ms: float) -> float:
        """Return the stretch if it is significant, else 0: at full pace there may be no load."""
        stretch = self.current(now_ms)
        return stretch if stretch > SIGNIFICANT_STRETCH else 0.0

    def record(self, now_ms: float, stretch: float) -> None:
        """Record an answer's stretch: its time over its sending time at full pace."""
        old_excess = self.current(now_ms) - 1.0
        self.excess = old_excess + SAMPLE_WEIGHT * (min(MAX_STRETCH, max(1.0, stretch)) - 1.0 - old_excess)
        self.updated_ms = now_ms
