"""What a server's link can carry at once, where the list's weights do not say it.

Rooms, crowds, cold budgets and districts' limits are counted in transfers at full pace. Where weights tell
them (`rough`, `nominal`, `live`) they are taken as told. Where `weights` is `none` each server says 1, a
fifth or less of what it can do, and a gateway that believes it refuses half of a calm day. What is told
everywhere is the pace of one transfer and each zone's link in, and a link in is built for what the zone's
caches miss together. Fewer caches keep less, so in zones of under FEW caches the link in hardly shrinks with
their number: one cache's link is then SHARE of it; beyond FEW it shrinks as 1 / number.
A parent's link is built for the zones that one parent serves.

Bounds. A cache's estimate stays in LEAST to MOST transfers. `safe_capacity` is the end that guards use, so
that cold servers are pushed to no more than their multiple also where the middle is too high;
docs/deployments.md has the error over drawn days of two deployments. Each gateway derives it from the
settings and the list alone: all 200 get the same, also one that has just started and knows nothing else.
"""

from collections.abc import Iterable

from hitchtiller.interface import Member, Settings

SHARE, FEW = 0.5, 8.0  # a cache's link over the link in of its zone, up to so many caches there
PARENT = 3.0  # a parent's link over a zone's link in
USUAL = 6.0  # transfers of a cache, where not even links are told
LEAST, MOST, SURE = 2.0, 24.0, 0.65


class Capacity:
    """Transfers at full pace that each listed server carries, told or derived."""

    def __init__(self, settings: Settings) -> None:
        """Start from what the settings tell."""
        flow = settings.flow_kb_per_s
        links = zip(settings.zones, settings.link_kb_per_s, strict=False)
        self.feeds = {zone: link / flow for zone, link in links if flow and link > 0.0}
        self.told, self.live = settings.weights != "none", settings.weights == "live"
        self.most: dict[str, float] = {}  # live weights shrink with load: the largest is the size
        self.kinds = (settings.parent_kind, settings.origin_kind)

    def estimate(self, members: Iterable[Member]) -> dict[str, tuple[float, float]]:
        """Give each server's transfers at once: the middle of what is likely, and the end that is safe."""
        members = list(members)
        if self.live:
            self.most = {m.server: max(m.weight, self.most.get(m.server, 0.0)) for m in members}
            return {name: (weight, weight) for name, weight in self.most.items()}
        if self.told:
            return {m.server: (m.weight, m.weight) for m in members}
        caches: dict[str, int] = {}
        for m in members:
            caches[m.zone] = caches.get(m.zone, 0) + (m.kind not in self.kinds and m.state == "SERVING")
        return {m.server: (link := self._link(m, caches[m.zone]), SURE * link) for m in members}

    def _link(self, member: Member, caches: int) -> float:
        if member.kind in self.kinds:
            mean = sum(self.feeds.values()) / len(self.feeds) if self.feeds else 2.0 * USUAL
            return max(LEAST, PARENT * mean)
        if member.zone not in self.feeds:
            return USUAL
        return min(MOST, max(LEAST, SHARE * self.feeds[member.zone] / max(1.0, caches / FEW)))
