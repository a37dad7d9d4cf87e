"""How often objects are asked for here: at which rank a copy is kept, and how many caches share an object.

Each request adds one to its object's heat, which decays over DECAY_MS. One gateway sees only its own
requests; the caller scales them to the gateways of its zone.

Bounds. MAX_OBJECTS objects, the least recently asked for go first.
"""

import math

from hitchtiller.records import lru_put

MAX_OBJECTS = 4096  # memory, or sight of seldom-asked objects
DECAY_MS = 10_000.0  # memory of the counter: steady or quick widening
KEEP_AT = (1.3, 4.0)  # heat from which a copy is kept at rank two, three: objects asked once displace nothing
WIDEN_AT = (0.05, 0.15)  # share of a cache's link from which an object gets two, three: balance or copies
WIDEN_HEAT = 3.0  # requests below which a share says nothing
Item = tuple[int, int]  # object and part


class Popularity:
    """The decaying request counts of objects."""

    def __init__(self) -> None:
        """Start with nothing asked for."""
        self.counts: dict[Item, tuple[float, float]] = {}

    def count(self, item: Item, now_ms: float) -> float:
        """Count a request for an object; gives its heat, in requests within DECAY_MS."""
        old, at_ms = self.counts.get(item, (0.0, now_ms))
        heat = old * math.exp((at_ms - now_ms) / DECAY_MS) + 1.0
        lru_put(self.counts, item, (heat, now_ms), MAX_OBJECTS)
        return heat


def keep_rank(heat: float) -> int:
    """Give the rank, from 1 to 3, at which a cache should keep an object of this heat."""
    return 1 + sum(heat >= bound for bound in KEEP_AT)


def caches_for(heat: float, share: float) -> int:
    """Give how many caches, from 1 to 3, should serve an object that needs this share of one's link."""
    return 1 + sum(heat > WIDEN_HEAT and share > bound for bound in WIDEN_AT)
