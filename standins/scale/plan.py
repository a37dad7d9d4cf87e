"""The reference fleet of docs/CAPACITY.md, and the same fleet scaled to any number of gateways.

The reference figures are the operators' plan for the next two years. Figures that grow with the fleet (zones,
caches, parents, requests) are scaled in proportion. Rates that come from the content (purges) or from the
operators (configuration changes) stay unscaled, so that small fleets are measured under the same control
traffic.
"""

from dataclasses import dataclass, field, replace

from hitchtiller import interface as api

REFERENCE_GATEWAYS = 2_300
ZONE_LINK_KB_PER_S = 40_000.0
FLOW_KB_PER_S = 8_000.0


@dataclass(frozen=True, slots=True)
class Demand:
    """The operators' planning figures: sizes, rates over the whole fleet, and budgets."""

    gateways: int = REFERENCE_GATEWAYS
    sites: int = 160
    caches: int = 240  # station caches
    zones: int = 46
    regions: int = 21
    requests: float = 1_800_000.0  # per second
    objects: float = 300e6  # number of objects
    purges: float = 19.0  # per second
    config_changes_per_day: float = 3_600.0
    max_purge_s: float = 1.7  # budget: a purge is in force at all gateways within this time
    max_config_change_s: float = 12.0  # budget: a configuration change is in force at all gateways within
    max_control_cores: float = 0.02  # budget: processor time of one gateway's control work
    max_control_mb: float = 256.0  # budget: memory of one gateway's control state
    max_control_bytes_per_s: float = 9_000.0  # budget: control traffic of one gateway per second
    control_machines: int = 5  # reserved for control services such as discovery
    failures_per_day: float = 11.0
    restarts_per_day: float = 320.0

    @property
    def mean_requests_per_s(self) -> float:
        """Return the requests per second of a mean gateway."""
        return self.requests / self.gateways

    def parents(self) -> int:
        """Return the number of district caches: one per 4.2 sites, the middle of what the operators run."""
        return max(2, round(self.sites / 4.2))

    def gateways_in_zone(self) -> int:
        """Return the number of gateways in a mean zone."""
        return max(1, round(self.gateways / self.zones))

    def caches_in_zone(self) -> int:
        """Return the number of station caches in a mean zone."""
        return max(1, round(self.caches / self.zones))


def demand_at(gateways: int) -> Demand:
    """Scale the reference fleet to a number of gateways."""
    reference = Demand()
    scale = gateways / reference.gateways
    return Demand(
        gateways=gateways,
        sites=max(1, round(reference.sites * scale)),
        caches=max(2, round(reference.caches * scale)),
        zones=max(1, round(reference.zones * scale)),
        regions=max(1, round(reference.regions * scale)),
        requests=reference.requests * scale,
        objects=reference.objects * scale,
    )


REQUEST_CLASSES = {
    "files": api.ClassSettings("files", 500.0, 5_000.0, 2.0, 2.0),
    "lookups": api.ClassSettings("lookups", 250.0, 2_500.0, 1.0, 2.0, fresh_ms=20_000.0),
    "charge": api.ClassSettings(
        "charge", 600.0, 3_000.0, 3.0, effect="by_key", repeat_window_ms=6_000.0, write=True
    ),
}


@dataclass(frozen=True, slots=True)
class Plan:
    """The settings and the server list of a fleet of one size."""

    demand: Demand
    zones: tuple[str, ...] = field(init=False)
    shared_settings: api.Settings = field(init=False)  # the settings of gateway 0

    def __post_init__(self) -> None:
        """Name the zones, with the hub first, and create the settings that all gateways share."""
        names = ("hub", *(f"z{n}" for n in range(self.demand.zones)))
        object.__setattr__(self, "zones", names)
        object.__setattr__(self, "shared_settings", self._make_settings())

    def zone_of(self, number: int) -> int:
        """Return a gateway's zone, counted from 0; gateways are assigned to zones round-robin."""
        return number % self.demand.zones

    def settings(self, number: int) -> api.Settings:
        """Return the settings of one gateway."""
        return replace(self.shared_settings, my_number=number, my_zone=f"z{self.zone_of(number)}")

    def _make_settings(self) -> api.Settings:
        gateways_by_zone = tuple(
            sum(1 for _ in range(zone, self.demand.gateways, self.demand.zones))
            for zone in range(self.demand.zones)
        )
        return api.Settings(
            my_number=0,
            group_size=self.demand.gateways,
            my_zone="z0",
            zones=self.zones,
            hub_of=(0,) * len(self.zones),
            gateways_in_zone=(0, *gateways_by_zone),
            link_kb_per_s=(0.0, *(ZONE_LINK_KB_PER_S,) * self.demand.zones),
            classes=REQUEST_CLASSES,
            parent_kind="parent",
            origin_kind="origin",
            flow_kb_per_s=FLOW_KB_PER_S,
            direct=True,
            joins=True,
            siblings="location",
            notes="hit",
            peers=True,
            cancel=True,
            retry_after=True,
            max_attempts=6,
            max_retry_after_ms=500.0,
            drain_grace_ms=500.0,
            cold_share=0.17,
            cold_ms=16_000.0,
            fall_multiple=3.0,
            parent_cold_share=0.066,
            parent_cold_ms=20_000.0,
            parent_fall_multiple=2.0,
            purge_grace_ms=1_000.0,
            purge_done_ms=6_000.0,
        )

    def caches(self, zone: int | None = None) -> list[api.Member]:
        """Return the station caches of one zone, or of all zones."""
        numbers = range(self.demand.caches)
        return [
            api.Member(f"s-{n:08x}", f"z{n % self.demand.zones}", "box", "SERVING", weight=8.0)
            for n in numbers
            if zone is None or n % self.demand.zones == zone
        ]

    def parents(self) -> list[api.Member]:
        """Return the district caches."""
        return [
            api.Member(f"s-{0x10000 + n:08x}", "hub", "parent", "SERVING", weight=30.0)
            for n in range(self.demand.parents())
        ]

    def origin(self) -> api.Member:
        """Return the origin."""
        return api.Member("s-00020000", "hub", "origin", "SERVING", weight=60.0)

    def members(self) -> tuple[api.Member, ...]:
        """Return the whole server list: station caches, district caches and the origin."""
        return (*self.caches(), *self.parents(), self.origin())
