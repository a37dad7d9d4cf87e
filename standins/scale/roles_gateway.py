"""What a gateway holds, sends, works and waits for, in each of its roles."""

from hitchtiller.routing.directory import MAX_ENTRIES
from standins.scale.assumptions import (
    ANSWERS_S,
    ASSUMED_HEARD,
    ASSUMED_LARGEST,
    HEARD_S,
    HEARTBEAT_BYTES,
    LARGEST,
    LEASE_BYTES,
    MB_S,
    PURGE_BYTES,
    control_core,
    servers,
)
from standins.scale.estimate import Figures, Table, TableBuilder, list_gateways
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


def gateway_data(figures: Figures, demand: Demand) -> Table:
    """A gateway's data path."""
    each = demand.requests_each
    mb = 1e-6 * 5.7e12 / 8.0 * (demand.requests / Demand().requests) / demand.gateways
    core = each * figures.at("decide") / 1e6
    used = each / ANSWERS_S
    table = TableBuilder("Gateway, data path", figures)
    table.measured(
        "state of the decisions, mean gateway",
        "router_state",
        "MB",
        ROUTER,
        value=figures.at("router_state") / 1e6,
        budget=demand.control_mb,
        grows=True,
    )
    table.measured(
        "resident memory of an idle process", "process_memory", "MB", SERVE, budget=demand.control_mb
    )
    table.told(
        "requests, mean gateway at the peak",
        each,
        "1/s",
        "told; budget: standins.speed, small answers",
        SCHEDULER,
        budget=ANSWERS_S,
    )
    table.told(
        "requests, largest gateway", LARGEST * each, "1/s", ASSUMED_LARGEST, SCHEDULER, budget=ANSWERS_S
    )
    table.told(
        "bytes, mean gateway at the peak",
        mb,
        "MB/s",
        "told; budget: standins.haul, one large file",
        STREAM,
        budget=MB_S,
    )
    table.told("bytes, largest gateway", LARGEST * mb, "MB/s", ASSUMED_LARGEST, STREAM, budget=MB_S)
    table.measured(
        "processor time of decisions alone, mean gateway", "decide", "cores", ROUTER, value=core, budget=1.0
    )
    table.told(
        "processor time of all, mean gateway",
        used,
        "cores",
        "requests over standins.speed",
        SCHEDULER,
        budget=1.0,
    )
    return table.build()


def gateway_control(figures: Figures, demand: Demand) -> Table:
    """A gateway's control."""
    each, at = demand.requests_each, list_gateways(servers(demand))
    notes = 2.0 * each * figures.at("directory_bytes")
    purges = demand.purges * PURGE_BYTES + HEARTBEAT_BYTES
    members = 2.0 * figures.at("members_bytes")
    table = TableBuilder("Gateway, control", figures)
    table.measured(
        "directory notes, in and out, mean gateway",
        "directory_bytes",
        "B/s",
        SERVED,
        value=notes,
        budget=demand.control_bytes,
        note="; Zipf 0.9 assumed",
    )
    table.told(
        "directory notes, in and out, largest gateway",
        LARGEST * notes,
        "B/s",
        ASSUMED_LARGEST,
        SERVED,
        budget=demand.control_bytes,
    )
    table.measured(
        "membership, in and out", "members_bytes", "B/s", DETECTOR, value=members, budget=demand.control_bytes
    )
    table.told(
        "discovery: purges and heartbeat, in",
        purges,
        "B/s",
        "frames and TCP heads",
        BUS_READER,
        budget=demand.control_bytes,
    )
    table.measured(
        "leases, in and out, all misses at the origin",
        "lease_notes",
        "B/s",
        LEASES,
        value=2.0 * LEASE_BYTES * figures.at("lease_notes"),
        budget=demand.control_bytes,
    )
    table.measured(
        "state of membership",
        "members_state",
        "MB",
        VIEW,
        value=figures.at("members_state") / 1e6,
        budget=demand.control_mb,
        grows=True,
    )
    table.told(
        "processor time: sweep, purges, list, membership",
        control_core(figures, demand),
        "cores",
        "sum of the four fits",
        ROUTER,
        budget=demand.control_cores,
    )
    table.measured(
        "processor time of an idle process", "process_idle", "cores", SCHEDULER, budget=demand.control_cores
    )
    table.measured(
        "a changed server taken in", "list_change", "us", ON_MEMBERS, value=figures.at("list_change", at)
    )
    table.told(
        "purge heard and in force",
        HEARD_S + figures.at("purge_apply") / 1e6,
        "s",
        ASSUMED_HEARD,
        PURGE_LOG,
        budget=demand.purge_s,
        kind="time",
    )
    table.measured("start until ready", "process_start", "s", SERVE, budget=10.0, kind="time")
    return table.build()


def home_router(figures: Figures, demand: Demand) -> Table:
    """The home router of a slice of the directory."""
    slice_objects = demand.objects / demand.gateways
    table = TableBuilder("Home router of a directory slice", figures)
    table.told(
        "objects of a slice",
        slice_objects,
        "entries",
        "objects over gateways",
        DIRECTORY,
        budget=MAX_ENTRIES,
        exponent=-1.0,
    )
    table.measured(
        "notes that reach it",
        "directory_notes",
        "1/s",
        ON_PEER,
        value=demand.requests_each * figures.at("directory_notes"),
    )
    table.measured(
        "objects that change home with one more gateway, no membership", "homes_moved", "share", ROUTER
    )
    table.told("the same with membership", 1.0 / demand.gateways, "share", "rendezvous hash: 1/n", HOMES)
    return table.build()


def member(figures: Figures, demand: Demand) -> Table:
    """A member of the fleet."""
    table = TableBuilder("Member of the fleet", figures)
    table.told("claims held", float(demand.gateways), "claims", "one a gateway", VIEW, exponent=1.0)
    table.measured("datagrams sent", "members_datagrams", "1/s", DETECTOR)
    table.measured(
        "processor time, simulated network included",
        "members_cpu",
        "us/s",
        DETECTOR,
        budget=1e6 * demand.control_cores,
        grows=True,
    )
    table.measured("a death known to all", "members_detect", "s", DETECTOR, kind="time")
    table.measured(
        "one that starts has heard of all, by pages", "members_catch_up", "s", DETECTOR, kind="time"
    )
    return table.build()


def subscriber(figures: Figures, demand: Demand) -> Table:
    """A subscriber of discovery."""
    at = list_gateways(servers(demand))
    table = TableBuilder("Subscriber of discovery", figures)
    table.told(
        "purges in force", demand.purges * 6.1, "entries", "rate x 6.1 s until gone everywhere", PURGE_LOG
    )
    table.measured("whole list", "list_bytes", "B", BUS_READER, value=figures.at("list_bytes", at))
    table.measured("whole list taken in", "list_whole", "ms", ON_MEMBERS, value=figures.at("list_whole", at))
    table.measured("purge applied", "purge_apply", "us", PURGE_LOG)
    return table.build()
