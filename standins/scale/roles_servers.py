"""Tables of the load that all gateways put on discovery, caches, parents, the origin and the operators."""

from standins.scale.assumptions import (
    EFFECTS_SHARE,
    HEARTBEAT_FRAME_BYTES,
    MAX_LINKS_PER_SERVER,
    PURGE_FRAME_BYTES,
    count_servers,
)
from standins.scale.estimate import Figures, Table, TableBuilder, fleet_size_listing
from standins.scale.mechanisms import BUS_LINK, EFFECTS_GUARD, LEASES, POOL, RELOAD
from standins.scale.plan import Demand
from standins.scale.shared_rows import change_in_force_row, cold_server_row, origin_fills_row


def build_discovery_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of the load on discovery and on the machines reserved for control."""
    gateways_per_machine, list_fleet_size = (
        demand.gateways / demand.control_machines,
        fleet_size_listing(count_servers(demand)),
    )
    bytes_per_s = demand.purges * PURGE_FRAME_BYTES + HEARTBEAT_FRAME_BYTES
    table = TableBuilder(f"Discovery service and the {demand.control_machines} control machines", figures)
    table.add_given(
        "subscriptions, each machine",
        gateways_per_machine,
        "connections",
        "one a gateway",
        BUS_LINK,
        exponent=1.0,
    )
    table.add_given(
        "the same with one machine down",
        demand.gateways / max(1, demand.control_machines - 1),
        "connections",
        "one a gateway",
        BUS_LINK,
        exponent=1.0,
    )
    table.add_given(
        "purges and heartbeats out, each machine",
        gateways_per_machine * bytes_per_s / 1e6,
        "MB/s",
        "frames and TCP heads",
        BUS_LINK,
        exponent=1.0,
    )
    table.add_measured(
        "all subscribe anew: whole lists, each machine",
        "list_bytes",
        "MB",
        BUS_LINK,
        value=gateways_per_machine * figures.value_at("list_bytes", list_fleet_size) / 1e6,
        exponent=2.0,
    )
    table.add_given("confirmations that a purge is in force", 0.0, "1/s", "nothing is sent")
    return table.build()


def build_station_cache_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of the load on a station cache."""
    gateways_in_zone = demand.gateways_in_zone()
    table = TableBuilder("Station cache", figures)
    table.add_given("requests", demand.requests / demand.caches, "1/s", "told")
    table.add_given(
        "connections at the most",
        float(MAX_LINKS_PER_SERVER * gateways_in_zone),
        "connections",
        f"{MAX_LINKS_PER_SERVER} x {gateways_in_zone} gateways of its zone",
        POOL,
    )
    table.add_row(cold_server_row(figures, "cache"))
    return table.build()


def build_parent_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of the load on a parent (district cache)."""
    table = TableBuilder("Parent (district cache)", figures)
    table.add_given(
        "connections, one a gateway",
        float(demand.gateways),
        "connections",
        "all gateways know all",
        POOL,
        exponent=1.0,
    )
    table.add_given(
        "connections at the most",
        float(MAX_LINKS_PER_SERVER * demand.gateways),
        "connections",
        f"{MAX_LINKS_PER_SERVER} a gateway",
        POOL,
        exponent=1.0,
    )
    table.add_row(cold_server_row(figures, "parent"))
    return table.build()


def build_origin_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of the load on the origin."""
    table = TableBuilder("Origin", figures)
    table.add_row(origin_fills_row(figures))
    table.add_measured("of them in use, all misses at the origin", "origin_mean", "fills", LEASES)
    table.add_given(
        "effects that run there",
        EFFECTS_SHARE * demand.requests,
        "1/s",
        "assumed: 3.6% of requests, as today",
        EFFECTS_GUARD,
        exponent=1.0,
    )
    table.add_given(
        "connections at the most",
        float(MAX_LINKS_PER_SERVER * demand.gateways),
        "connections",
        f"{MAX_LINKS_PER_SERVER} a gateway",
        POOL,
        exponent=1.0,
    )
    return table.build()


def build_operator_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of an operator's work for a configuration change."""
    table = TableBuilder("Operator changing a configuration", figures)
    table.add_given(
        "gateways to be told, each by a file and a signal",
        float(demand.gateways),
        "signals",
        "one a gateway",
        RELOAD,
        exponent=1.0,
    )
    table.add_row(change_in_force_row(demand))
    table.add_given("versions in force that can be asked for", 0.0, "versions", "no call tells one")
    return table.build()
