"""Tables of a gateway's state, traffic, processor time and delays, by role."""

from hitchtiller.routing.directory import MAX_ENTRIES
from standins.scale.assumptions import (
    HEARTBEAT_FRAME_BYTES,
    LARGEST_LOAD_BASIS,
    LARGEST_LOAD_FACTOR,
    LEASE_NOTE_BYTES,
    MAX_ANSWERS_PER_S,
    MAX_MB_PER_S,
    PURGE_DELIVERY_BASIS,
    PURGE_DELIVERY_S,
    PURGE_FRAME_BYTES,
    compute_control_cores,
    count_servers,
)
from standins.scale.estimate import Figures, Table, TableBuilder, fleet_size_listing
from standins.scale.mechanisms import (
    BUS_READER,
    DETECTOR,
    DIRECTORY,
    HOMES,
    LEASES,
    ON_MEMBERS,
    ON_PEER,
    PURGE_LOG,
    ROUTER,
    SCHEDULER,
    SERVE,
    SERVED,
    STREAM,
    VIEW,
)
from standins.scale.plan import Demand


def build_gateway_data_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of a gateway's data path."""
    gateway_requests_per_s = demand.mean_requests_per_s
    # 5.7e12 bits per second over the whole fleet, at the reference request rate.
    gateway_mb_per_s = 1e-6 * 5.7e12 / 8.0 * (demand.requests / Demand().requests) / demand.gateways
    decision_cores = gateway_requests_per_s * figures.value_at("decide") / 1e6
    total_cores = gateway_requests_per_s / MAX_ANSWERS_PER_S
    table = TableBuilder("Gateway, data path", figures)
    table.add_measured(
        "state of the decisions, mean gateway",
        "router_state",
        "MB",
        ROUTER,
        value=figures.value_at("router_state") / 1e6,
        budget=demand.max_control_mb,
        follows_fit=True,
    )
    table.add_measured(
        "resident memory of an idle process", "process_memory", "MB", SERVE, budget=demand.max_control_mb
    )
    table.add_given(
        "requests, mean gateway at the peak",
        gateway_requests_per_s,
        "1/s",
        "told; budget: standins.speed, small answers",
        SCHEDULER,
        budget=MAX_ANSWERS_PER_S,
    )
    table.add_given(
        "requests, largest gateway",
        LARGEST_LOAD_FACTOR * gateway_requests_per_s,
        "1/s",
        LARGEST_LOAD_BASIS,
        SCHEDULER,
        budget=MAX_ANSWERS_PER_S,
    )
    table.add_given(
        "bytes, mean gateway at the peak",
        gateway_mb_per_s,
        "MB/s",
        "told; budget: standins.haul, one large file",
        STREAM,
        budget=MAX_MB_PER_S,
    )
    table.add_given(
        "bytes, largest gateway",
        LARGEST_LOAD_FACTOR * gateway_mb_per_s,
        "MB/s",
        LARGEST_LOAD_BASIS,
        STREAM,
        budget=MAX_MB_PER_S,
    )
    table.add_measured(
        "processor time of decisions alone, mean gateway",
        "decide",
        "cores",
        ROUTER,
        value=decision_cores,
        budget=1.0,
    )
    table.add_given(
        "processor time of all, mean gateway",
        total_cores,
        "cores",
        "requests over standins.speed",
        SCHEDULER,
        budget=1.0,
    )
    return table.build()


def build_gateway_control_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of a gateway's control work."""
    gateway_requests_per_s, list_fleet_size = (
        demand.mean_requests_per_s,
        fleet_size_listing(count_servers(demand)),
    )
    note_bytes_per_s = 2.0 * gateway_requests_per_s * figures.value_at("directory_bytes")
    discovery_bytes_per_s = demand.purges * PURGE_FRAME_BYTES + HEARTBEAT_FRAME_BYTES
    membership_bytes_per_s = 2.0 * figures.value_at("members_bytes")
    table = TableBuilder("Gateway, control", figures)
    table.add_measured(
        "directory notes, in and out, mean gateway",
        "directory_bytes",
        "B/s",
        SERVED,
        value=note_bytes_per_s,
        budget=demand.max_control_bytes_per_s,
        basis_suffix="; Zipf 0.9 assumed",
    )
    table.add_given(
        "directory notes, in and out, largest gateway",
        LARGEST_LOAD_FACTOR * note_bytes_per_s,
        "B/s",
        LARGEST_LOAD_BASIS,
        SERVED,
        budget=demand.max_control_bytes_per_s,
    )
    table.add_measured(
        "membership, in and out",
        "members_bytes",
        "B/s",
        DETECTOR,
        value=membership_bytes_per_s,
        budget=demand.max_control_bytes_per_s,
    )
    table.add_given(
        "discovery: purges and heartbeat, in",
        discovery_bytes_per_s,
        "B/s",
        "frames and TCP heads",
        BUS_READER,
        budget=demand.max_control_bytes_per_s,
    )
    table.add_measured(
        "leases, in and out, all misses at the origin",
        "lease_notes",
        "B/s",
        LEASES,
        value=2.0 * LEASE_NOTE_BYTES * figures.value_at("lease_notes"),
        budget=demand.max_control_bytes_per_s,
    )
    table.add_measured(
        "state of membership",
        "members_state",
        "MB",
        VIEW,
        value=figures.value_at("members_state") / 1e6,
        budget=demand.max_control_mb,
        follows_fit=True,
    )
    table.add_given(
        "processor time: sweep, purges, list, membership",
        compute_control_cores(figures, demand),
        "cores",
        "sum of the four fits",
        ROUTER,
        budget=demand.max_control_cores,
    )
    table.add_measured(
        "processor time of an idle process",
        "process_idle",
        "cores",
        SCHEDULER,
        budget=demand.max_control_cores,
    )
    table.add_measured(
        "a changed server taken in",
        "list_change",
        "us",
        ON_MEMBERS,
        value=figures.value_at("list_change", list_fleet_size),
    )
    table.add_given(
        "purge heard and in force",
        PURGE_DELIVERY_S + figures.value_at("purge_apply") / 1e6,
        "s",
        PURGE_DELIVERY_BASIS,
        PURGE_LOG,
        budget=demand.max_purge_s,
        kind="time",
    )
    table.add_measured("start until ready", "process_start", "s", SERVE, budget=10.0, kind="time")
    return table.build()


def build_home_gateway_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of the home gateway of a directory slice."""
    slice_objects = demand.objects / demand.gateways
    table = TableBuilder("Home router of a directory slice", figures)
    table.add_given(
        "objects of a slice",
        slice_objects,
        "entries",
        "objects over gateways",
        DIRECTORY,
        budget=MAX_ENTRIES,
        exponent=-1.0,
    )
    table.add_measured(
        "notes that reach it",
        "directory_notes",
        "1/s",
        ON_PEER,
        value=demand.mean_requests_per_s * figures.value_at("directory_notes"),
    )
    table.add_measured(
        "objects that change home with one more gateway, no membership", "homes_moved", "share", ROUTER
    )
    table.add_given("the same with membership", 1.0 / demand.gateways, "share", "rendezvous hash: 1/n", HOMES)
    return table.build()


def build_member_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of a member of the fleet."""
    table = TableBuilder("Member of the fleet", figures)
    table.add_given("claims held", float(demand.gateways), "claims", "one a gateway", VIEW, exponent=1.0)
    table.add_measured("datagrams sent", "members_datagrams", "1/s", DETECTOR)
    table.add_measured(
        "processor time, simulated network included",
        "members_cpu",
        "us/s",
        DETECTOR,
        budget=1e6 * demand.max_control_cores,
        follows_fit=True,
    )
    table.add_measured("a death known to all", "members_detect", "s", DETECTOR, kind="time")
    table.add_measured(
        "one that starts has heard of all, by pages", "members_catch_up", "s", DETECTOR, kind="time"
    )
    return table.build()


def build_subscriber_table(figures: Figures, demand: Demand) -> Table:
    """Build the table of a subscriber to discovery."""
    list_fleet_size = fleet_size_listing(count_servers(demand))
    table = TableBuilder("Subscriber of discovery", figures)
    table.add_given(
        "purges in force", demand.purges * 6.1, "entries", "rate x 6.1 s until gone everywhere", PURGE_LOG
    )
    table.add_measured(
        "whole list", "list_bytes", "B", BUS_READER, value=figures.value_at("list_bytes", list_fleet_size)
    )
    table.add_measured(
        "whole list taken in",
        "list_whole",
        "ms",
        ON_MEMBERS,
        value=figures.value_at("list_whole", list_fleet_size),
    )
    table.add_measured("purge applied", "purge_apply", "us", PURGE_LOG)
    return table.build()
