"""How often objects are requested here: at which rank a copy is kept, and how many caches share an object.

Each request adds one to its object's count, which decays over DECAY_MS. One gateway sees only its own
requests; the caller scales them to the gateways of its zone.

Bounds. MAX_OBJECTS objects, of which the least recently requested are removed first.
"""

import math

from hitchtiller.records import lru_put

MAX_OBJECTS = 4096  # more cost memory; fewer lose rarely requested objects
DECAY_MS = 10_000.0  # of the counts: longer is steadier, shorter spreads objects sooner
KEEP_AT = (1.3, 4.0)  # for rank two and three, so that objects requested once displace no others
WIDEN_AT = (0.05, 0.15)  # of a cache's link, for two and three caches: low balances, high saves copies
WIDEN_HEAT = 3.0  # requests, up to which a share is not meaningful
Item = tuple[int, int]  # object key and part number


class Popularity:
    """The decaying request counts of objects."""

    def __init__(self) -> None:
        """Create a record without any request."""
        self.counts: dict[Item, tuple[float, float]] = {}

    def count(self, item: Item, now_ms: float) -> float:
        """Count a request for an object and return the object's count, in requests within DECAY_MS."""
        old, at_ms = self.counts.get(item, (0.0, now_ms))
        heat = old * math.exp((at_ms - now_ms) / DECAY_MS) + 1.0
        lru_put(self.counts, item, (heat, now_ms), MAX_OBJECTS)
        return heat


def keep_rank(heat: float) -> int:
    """Return the rank, from 1 to 3, at which a cache should keep an object with this count of requests."""
    return 1 + sum(heat >= bound for bound in KEEP_AT)


def caches_for(heat: float, share: float) -> int:
    """Return how many caches, from 1 to 3, should serve an object that needs this share of one's link."""
    return 1 + sum(heat > WIDEN_HEAT and share > bound for bound in WIDEN_AT)
