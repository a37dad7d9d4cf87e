"""How many transfers each server's link can carry at once: stated by the list's weights, or estimated.

Link capacities, load, cold-start budgets and the limits of zones are counted in transfers at full pace.
Where the list's weights state a server's transfers (`weights` is `rough`, `nominal` or `live`), they are used
as stated. Where `weights` is `none`, each server is listed with weight 1, a fifth or less of what it can do;
a gateway that relied on this weight would refuse half of the requests on a day of normal load. Estimates use
what deployments do state: the pace of one transfer and the bandwidth of each zone's inbound link. An
inbound link is sized for what the zone's caches miss together. Fewer caches hold fewer objects, so in zones
of fewer than SMALL_ZONE_CACHES caches the inbound link hardly shrinks with their number, and one cache's link
is estimated as CACHE_LINK_SHARE of it. In larger zones the estimate shrinks as 1 / number of caches.
A parent's link is sized for the zones that one parent serves.

Bounds. A cache's estimate stays within MIN_TRANSFERS to MAX_TRANSFERS. The guards use the lower end of each
estimate (SAFE_SHARE of it), so that cold servers get no more than their fall multiple even where the estimate
is too high; docs/deployments.md has the error over generated days of two deployments. Each gateway derives
the estimates from the settings and the list alone: all 200 gateways get the same ones, including a gateway
that has just started and knows nothing else.
"""

from collections.abc import Iterable

from hitchtiller.interface import Member, Settings

# a cache's link over its zone's inbound link, and the number of caches up to which this applies
CACHE_LINK_SHARE, SMALL_ZONE_CACHES = 0.5, 8.0
PARENT_LINK_RATIO = 3.0  # a parent's link over a zone's inbound link
DEFAULT_TRANSFERS = 6.0  # of a cache in a zone whose inbound link is not stated
MIN_TRANSFERS, MAX_TRANSFERS, SAFE_SHARE = 2.0, 24.0, 0.65  # bounds, and the safe share, of estimates


class Capacity:
    """The transfers at full pace that each listed server can carry, stated or estimated."""

    def __init__(self, settings: Settings) -> None:
        """Read the links, and what the weights mean, from the settings."""
        transfer_kb_per_s = settings.flow_kb_per_s
        links = zip(settings.zones, settings.link_kb_per_s, strict=False)
        self.zone_transfers = {
            zone: link / transfer_kb_per_s for zone, link in links if transfer_kb_per_s and link > 0.0
        }
        self.has_weights, self.has_live_weights = settings.weights != "none", settings.weights == "live"
        self.max_weights: dict[str, float] = {}  # live weights shrink under load: the largest is the size
        self.upper_kinds = (settings.parent_kind, settings.origin_kind)

    def estimate(self, members: Iterable[Member]) -> dict[str, tuple[float, float]]:
        """Return the transfers that each server can carry at once: the likely number and the safe one."""
        members = list(members)
        if self.has_live_weights:
            self.max_weights = {m.server: max(m.weight, self.max_weights.get(m.server, 0.0)) for m in members}
            return {name: (weight, weight) for name, weight in self.max_weights.items()}
        if self.has_weights:
            return {m.server: (m.weight, m.weight) for m in members}
        caches: dict[str, int] = {}
        for m in members:
            caches[m.zone] = caches.get(m.zone, 0) + (m.kind not in self.upper_kinds and m.state == "SERVING")
        return {
            m.server: (link := self._estimate_link(m, caches[m.zone]), SAFE_SHARE * link) for m in members
        }

    def _estimate_link(self, member: Member, caches: int) -> float:
        if member.kind in self.upper_kinds:
            mean_transfers = (
                sum(self.zone_transfers.values()) / len(self.zone_transfers)
                if self.zone_transfers
                else 2.0 * DEFAULT_TRANSFERS
            )
            return max(MIN_TRANSFERS, PARENT_LINK_RATIO * mean_transfers)
        if member.zone not in self.zone_transfers:
            return DEFAULT_TRANSFERS
        return min(
            MAX_TRANSFERS,
            max(
                MIN_TRANSFERS,
                CACHE_LINK_SHARE * self.zone_transfers[member.zone] / max(1.0, caches / SMALL_ZONE_CACHES),
            ),
        )
