"""What all gateways together ask of discovery, caches, parents, the origin and the operators."""

from hitchtiller.decide import ORIGIN_FILLS
from standins.scale.assumptions import (
    EFFECTS,
    HEARTBEAT_BYTES,
    LINKS,
    PURGE_BYTES,
    SIGNAL_S,
    servers,
)
from standins.scale.estimate import Figures, Row, Table, list_gateways
from standins.scale.plan import Demand


def discovery(figures: Figures, demand: Demand) -> Table:
    """Discovery and the machines set aside for control, as the gateways load them."""
    each, at = demand.gateways / demand.machines, list_gateways(servers(demand))
    out = demand.purges * PURGE_BYTES + HEARTBEAT_BYTES
    return Table(
        f"Discovery service and the {demand.machines} control machines",
        (
            Row(
                "subscriptions, each machine",
                each,
                "connections",
                None,
                "one a gateway",
                "hitchtiller.bus.BusLink",
                1.0,
            ),
            Row(
                "the same with one machine down",
                demand.gateways / max(1, demand.machines - 1),
                "connections",
                None,
                "one a gateway",
                "hitchtiller.bus.BusLink",
                1.0,
            ),
            Row(
                "purges and heartbeats out, each machine",
                each * out / 1e6,
                "MB/s",
                None,
                "frames and TCP heads",
                "hitchtiller.bus.BusLink",
                1.0,
            ),
            Row(
                "all subscribe anew: whole lists, each machine",
                each * figures.at("list_bytes", at) / 1e6,
                "MB",
                None,
                figures.basis("list_bytes"),
                "hitchtiller.bus.BusLink",
                2.0,
            ),
            Row("confirmations that a purge is in force", 0.0, "1/s", None, "nothing is sent"),
        ),
    )


def station_cache(figures: Figures, demand: Demand) -> Table:
    """A station cache, as the gateways load it."""
    zone = demand.gateways_in_zone()
    return Table(
        "Station cache",
        (
            Row("requests", demand.requests / demand.caches, "1/s", None, "told"),
            Row(
                "connections at the most",
                float(LINKS * zone),
                "connections",
                None,
                f"{LINKS} x {zone} gateways of its zone",
                "hitchtiller.back.upstreams.Pool",
            ),
            Row(
                "cold cache: calls in its window, all gateways",
                figures.at("cold_cache"),
                "of what it bears",
                1.0,
                figures.basis("cold_cache"),
                "hitchtiller.routing.cold.ColdGuard",
                figures.exponent("cold_cache"),
                rule=True,
            ),
        ),
    )


def parent(figures: Figures, demand: Demand) -> Table:
    """A district cache, as the gateways load it."""
    return Table(
        "Parent (district cache)",
        (
            Row(
                "connections, one a gateway",
                float(demand.gateways),
                "connections",
                None,
                "all gateways know all",
                "hitchtiller.back.upstreams.Pool",
                1.0,
            ),
            Row(
                "connections at the most",
                float(LINKS * demand.gateways),
                "connections",
                None,
                f"{LINKS} a gateway",
                "hitchtiller.back.upstreams.Pool",
                1.0,
            ),
            Row(
                "cold parent: calls in its window, all gateways",
                figures.at("cold_parent"),
                "of what it bears",
                1.0,
                figures.basis("cold_parent"),
                "hitchtiller.routing.cold.ColdGuard",
                figures.exponent("cold_parent"),
                rule=True,
            ),
        ),
    )


def origin(figures: Figures, demand: Demand) -> Table:
    """The origin, as the gateways load it."""
    return Table(
        "Origin",
        (
            Row(
                "fills at once, all gateways",
                figures.at("origin_peak"),
                "fills",
                float(ORIGIN_FILLS),
                figures.basis("origin_peak"),
                "hitchtiller.routing.leases.OriginLeases",
                rule=True,
            ),
            Row(
                "of them in use, all misses at the origin",
                figures.at("origin_mean"),
                "fills",
                None,
                figures.basis("origin_mean"),
                "hitchtiller.routing.leases.OriginLeases",
            ),
            Row(
                "effects that run there",
                EFFECTS * demand.requests,
                "1/s",
                None,
                "assumed: 3.6% of requests, as today",
                "hitchtiller.routing.effects.Effects",
                1.0,
            ),
            Row(
                "connections at the most",
                float(LINKS * demand.gateways),
                "connections",
                None,
                f"{LINKS} a gateway",
                "hitchtiller.back.upstreams.Pool",
                1.0,
            ),
        ),
    )


def operator(figures: Figures, demand: Demand) -> Table:
    """An operator who changes a configuration."""
    return Table(
        "Operator changing a configuration",
        (
            Row(
                "gateways to be told, each by a file and a signal",
                float(demand.gateways),
                "signals",
                None,
                "one a gateway",
                "hitchtiller.reload.Reload",
                1.0,
            ),
            Row(
                "until a change is in force everywhere",
                SIGNAL_S * demand.gateways,
                "s",
                demand.change_s,
                f"assumed: {SIGNAL_S:g} s a gateway, one after another",
                kind="time",
                exponent=1.0,
            ),
            Row("versions in force that can be asked for", 0.0, "versions", None, "no call tells one"),
        ),
    )
