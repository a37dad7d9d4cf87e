"""Tables of the cost and duration of events, such as failures and purges, at the planned fleet size."""

from hitchtiller.decide import MAX_ORIGIN_FILLS
from standins.scale.assumptions import (
    DAY_S,
    LIST_CHANGES_PER_EVENT,
    PURGE_DELIVERY_S,
    PURGE_FRAME_BYTES,
    RELOAD_SIGNAL_S,
    compute_control_cores,
    count_servers,
)
from standins.scale.estimate import Figures, Table, TableBuilder, fleet_size_listing
from standins.scale.mechanisms import (
    BUS_LINK,
    COLD_GUARD,
    DETECTOR,
    GOSSIP,
    LEASES,
    ON_MEMBERS,
    PROOF,
    PURGE_LOG,
    ROUTER,
    SERVE,
)
from standins.scale.plan import Demand
from standins.scale.shared_rows import change_in_force_row, cold_server_row, origin_fills_row

RESTART_READY_S = 10.0  # nine in ten restarted processes are ready within this time
SITES_PER_RACK = 1.0  # the largest unit behind one switch that the operators name is one site
GROUP_SHARE = 1.0 / 256.0  # share of all objects; purge groups are numbered 0 to 255
PARTITION_S = 3_600.0  # duration of the partition between regions
# How often a claim is gossiped (membership/gossip.py at 2,300 gateways), and its size (membership/words.py).
CLAIM_REPEATS, CLAIM_BYTES = 34.0, 11.0


def build_steady_day_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of a day without events other than the usual failures and restarts."""
    table = TableBuilder("A steady day", figures)
    table.add_given(
        "control, processor time a gateway",
        compute_control_cores(figures, demand),
        "cores",
        "sum of four fits",
        ROUTER,
        budget=demand.max_control_cores,
    )
    table.add_given(
        "list changes a gateway",
        LIST_CHANGES_PER_EVENT * (demand.failures_per_day + demand.restarts_per_day),
        "1/day",
        "told, 3 lines each",
        ON_MEMBERS,
    )
    table.add_given("purges a gateway", demand.purges * DAY_S, "1/day", "told", PURGE_LOG)
    return table.build()


def build_failures_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of the machines that fail or are restarted on an ordinary day."""
    event_count = demand.failures_per_day + demand.restarts_per_day
    detection_s = figures.value_at("members_detect")
    table = TableBuilder(
        f"{demand.failures_per_day:g} failures and {demand.restarts_per_day:g} restarts", figures
    )
    table.add_measured(
        "a failed gateway known to all", "members_detect", "s", DETECTOR, value=detection_s, kind="time"
    )
    table.add_given(
        "time of a day with one unknown",
        event_count * detection_s / DAY_S,
        "share",
        "events x detection",
        DETECTOR,
    )
    table.add_measured(
        "a restarted gateway ready", "process_start", "s", SERVE, budget=RESTART_READY_S, kind="time"
    )
    table.add_measured("a restarted gateway has heard of all", "members_catch_up", "s", DETECTOR, kind="time")
    return table.build()


def build_rack_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of the loss of a rack or switch."""
    lost_gateways = SITES_PER_RACK * demand.gateways / demand.sites
    table = TableBuilder("A rack or switch", figures)
    table.add_given(
        "gateways lost",
        lost_gateways,
        "gateways",
        "assumed: one site's, the largest unit behind one switch that is told",
    )
    table.add_given(
        "load on the others of the zone",
        1.0 / (1.0 - lost_gateways / demand.gateways_in_zone()),
        "times the mean",
        "zone's gateways over those left",
    )
    table.add_given(
        "leases of owners among them that nobody lends",
        MAX_ORIGIN_FILLS * lost_gateways / demand.gateways,
        "permits",
        "owners spread over sites",
        LEASES,
    )
    return table.build()


def build_zone_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of a zone that is lost and returns."""
    table = TableBuilder("A zone lost and back", figures)
    table.add_given("gateways lost", float(demand.gateways_in_zone()), "gateways", "gateways over zones")
    table.add_given(
        "caches that return cold", float(demand.caches_in_zone()), "caches", "caches over zones", COLD_GUARD
    )
    table.add_row(cold_server_row(figures, "cache"))
    return table.build()


def build_regions_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of regions that are partitioned for an hour."""
    table = TableBuilder("Regions apart for an hour and healed", figures)
    table.add_given(
        "purges that a region cut from discovery does not hear",
        demand.purges * PARTITION_S,
        "purges",
        "rate x one hour; own copies are suspect meanwhile",
        PROOF,
    )
    table.add_given(
        "until a purge is in force there",
        PARTITION_S,
        "s",
        "the whole cut; nothing tells it",
        budget=demand.max_purge_s,
        kind="time",
    )
    table.add_given(
        "bytes that each gateway is told on return",
        demand.purges * PARTITION_S * PURGE_FRAME_BYTES / 1e6,
        "MB",
        "events from the last number on",
        BUS_LINK,
    )
    table.add_row(origin_fills_row(figures))
    return table.build()


def build_purge_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of the purge of a group."""
    table = TableBuilder("A purge of a group", figures)
    table.add_given("objects concerned", demand.objects * GROUP_SHARE, "objects", "assumed: 256 equal groups")
    table.add_given(
        "in force at a gateway that hears discovery",
        PURGE_DELIVERY_S,
        "s",
        "assumed: the operators' 31 to 310 ms",
        PURGE_LOG,
        budget=demand.max_purge_s,
        kind="time",
    )
    table.add_given(
        "gateways known to have it", 0.0, "gateways", "nothing is confirmed", budget=float(demand.gateways)
    )
    return table.build()


def build_configuration_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of a configuration change at all gateways, and of one that is rolled back."""
    change_interval_s = DAY_S / demand.config_changes_per_day
    table = TableBuilder("A configuration pushed to all; one pushed by mistake and taken back", figures)
    table.add_given(
        "changes that overlap",
        RELOAD_SIGNAL_S * demand.gateways / change_interval_s,
        "changes",
        "signals to all, one change each 24 s",
    )
    table.add_row(change_in_force_row(demand))
    table.add_given(
        "until a mistake is taken back everywhere",
        2.0 * RELOAD_SIGNAL_S * demand.gateways,
        "s",
        "assumed: the same way twice",
        budget=demand.max_config_change_s,
        exponent=1.0,
        kind="time",
    )
    return table.build()


def build_restarts_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of a restart of every gateway within a day."""
    restarts_per_s = demand.gateways / DAY_S
    list_fleet_size = fleet_size_listing(count_servers(demand))
    table = TableBuilder("Every gateway restarted within a day", figures)
    table.add_given("restarts", 60.0 * restarts_per_s, "1/min", "gateways over a day")
    table.add_measured(
        "whole lists from discovery",
        "list_bytes",
        "B/s",
        BUS_LINK,
        value=restarts_per_s * figures.value_at("list_bytes", list_fleet_size),
    )
    table.add_given(
        "words of membership a gateway and second",
        CLAIM_REPEATS * restarts_per_s * CLAIM_BYTES,
        "B/s",
        "each start is told 34 times, 11 bytes",
        GOSSIP,
        budget=demand.max_control_bytes_per_s,
    )
    table.add_given(
        "lease owners in their first term at a time",
        MAX_ORIGIN_FILLS * 10.1 / DAY_S,
        "permits",
        "a term of 10.1 s each",
        LEASES,
    )
    return table.build()


EVENT_TABLE_BUILDERS = (
    build_steady_day_table,
    build_failures_table,
    build_rack_table,
    build_zone_table,
    build_regions_table,
    build_purge_table,
    build_configuration_table,
    build_restarts_table,
)


def build_event_tables(figures: Figures, demand: Demand) -> list[Table]:
    """Return the tables of all events."""
    return [build_table(figures, demand) for build_table in EVENT_TABLE_BUILDERS]
