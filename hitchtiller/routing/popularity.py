"""How often objects are requested here: at which rank a copy is kept, and how many caches share an object.

Each request adds one to its object's count, which decays over DECAY_MS. One gateway sees only its own
requests; the caller scales them to the gateways of its zone.

Bounds. MAX_OBJECTS objects, of which the least recently requested are removed first.
"""

import math

from hitchtiller.records import lru_put

MAX_OBJECTS = 4096  # more cost memory; fewer lose rarely requested objects
DECAY_MS = 10_000.0  # of the counts: longer is steadier, shorter spreads objects sooner
# counts from which a copy is kept at rank two and three, so that objects requested once displace no others
KEEP_RANK_COUNTS = (1.3, 4.0)
# shares of a cache's link above which two and three caches serve an object: lower ones balance the load
# better, higher ones need fewer copies
SPREAD_SHARES = (0.05, 0.15)
MIN_SPREAD_COUNT = 3.0  # up to this count a share is not meaningful
Item = tuple[int, int]  # object key and part number


class Popularity:
    """The decaying request counts of objects."""

    def __init__(self) -> None:
        """Create a record without any request."""
        self.counts: dict[Item, tuple[float, float]] = {}

    def count(self, item: Item, now_ms: float) -> float:
        """Count a request for an object and return the object's count, in requests within DECAY_MS."""
        old_count, updated_ms = self.counts.get(item, (0.0, now_ms))
        request_count = old_count * math.exp((updated_ms - now_ms) / DECAY_MS) + 1.0
        lru_put(self.counts, item, (request_count, now_ms), MAX_OBJECTS)
        return request_count


def keep_rank(request_count: float) -> int:
    """Return the rank, from 1 to 3, at which a cache should keep an object with this count of requests."""
    return 1 + sum(request_count >= bound for bound in KEEP_RANK_COUNTS)


def caches_for(request_count: float, share: float) -> int:
    """Return how many caches, from 1 to 3, should serve an object that needs this share of one's link."""
    return 1 + sum(request_count > MIN_SPREAD_COUNT and share > bound for bound in SPREAD_SHARES)
