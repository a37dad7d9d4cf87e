"""What a gateway holds, sends, works and waits for, in each of its roles."""

from hitchtiller.routing.directory import MOST_ENTRIES
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
from standins.scale.estimate import Figures, Row, Table, list_gateways
from standins.scale.plan import Demand


def gateway_data(figures: Figures, demand: Demand) -> Table:
    """A gateway's data path."""
    each = demand.requests_each
    mb = 1e-6 * 5.7e12 / 8.0 * (demand.requests / Demand().requests) / demand.gateways
    core = each * figures.at("decide") / 1e6
    used = each / ANSWERS_S
    return Table(
        "Gateway, data path",
        (
            Row(
                "state of the decisions, mean gateway",
                figures.at("router_state") / 1e6,
                "MB",
                demand.control_mb,
                figures.basis("router_state"),
                "hitchtiller.decide.Router",
                figures.exponent("router_state"),
            ),
            Row(
                "resident memory of an idle process",
                figures.at("process_memory"),
                "MB",
                demand.control_mb,
                figures.basis("process_memory"),
                "hitchtiller.__main__.serve",
            ),
            Row(
                "requests, mean gateway at the peak",
                each,
                "1/s",
                ANSWERS_S,
                "told; budget: standins.speed, small answers",
                "hitchtiller.sched.Scheduler",
            ),
            Row(
                "requests, largest gateway",
                LARGEST * each,
                "1/s",
                ANSWERS_S,
                ASSUMED_LARGEST,
                "hitchtiller.sched.Scheduler",
            ),
            Row(
                "bytes, mean gateway at the peak",
                mb,
                "MB/s",
                MB_S,
                "told; budget: standins.haul, one large file",
                "hitchtiller.sched.Stream",
            ),
            Row(
                "bytes, largest gateway",
                LARGEST * mb,
                "MB/s",
                MB_S,
                ASSUMED_LARGEST,
                "hitchtiller.sched.Stream",
            ),
            Row(
                "processor time of decisions alone, mean gateway",
                core,
                "cores",
                1.0,
                figures.basis("decide"),
                "hitchtiller.decide.Router",
            ),
            Row(
                "processor time of all, mean gateway",
                used,
                "cores",
                1.0,
                "requests over standins.speed",
                "hitchtiller.sched.Scheduler",
            ),
        ),
    )


def gateway_control(figures: Figures, demand: Demand) -> Table:
    """A gateway's control."""
    each, at = demand.requests_each, list_gateways(servers(demand))
    notes = 2.0 * each * figures.at("directory_bytes")
    purges = demand.purges * PURGE_BYTES + HEARTBEAT_BYTES
    members = 2.0 * figures.at("members_bytes")
    return Table(
        "Gateway, control",
        (
            Row(
                "directory notes, in and out, mean gateway",
                notes,
                "B/s",
                demand.control_bytes,
                figures.basis("directory_bytes") + "; Zipf 0.9 assumed",
                "hitchtiller.decide.Router.served",
            ),
            Row(
                "directory notes, in and out, largest gateway",
                LARGEST * notes,
                "B/s",
                demand.control_bytes,
                ASSUMED_LARGEST,
                "hitchtiller.decide.Router.served",
            ),
            Row(
                "membership, in and out",
                members,
                "B/s",
                demand.control_bytes,
                figures.basis("members_bytes"),
                "hitchtiller.membership.detector.Detector",
            ),
            Row(
                "discovery: purges and heartbeat, in",
                purges,
                "B/s",
                demand.control_bytes,
                "frames and TCP heads",
                "hitchtiller.codec.bus.BusReader",
            ),
            Row(
                "leases, in and out, all misses at the origin",
                2.0 * LEASE_BYTES * figures.at("lease_notes"),
                "B/s",
                demand.control_bytes,
                figures.basis("lease_notes"),
                "hitchtiller.routing.leases.OriginLeases",
            ),
            Row(
                "state of membership",
                figures.at("members_state") / 1e6,
                "MB",
                demand.control_mb,
                figures.basis("members_state"),
                "hitchtiller.membership.view.View",
                figures.exponent("members_state"),
            ),
            Row(
                "processor time: sweep, purges, list, membership",
                control_core(figures, demand),
                "cores",
                demand.control_cores,
                "sum of the four fits",
                "hitchtiller.decide.Router",
            ),
            Row(
                "processor time of an idle process",
                figures.at("process_idle"),
                "cores",
                demand.control_cores,
                figures.basis("process_idle"),
                "hitchtiller.sched.Scheduler",
            ),
            Row(
                "a changed server taken in",
                figures.at("list_change", at),
                "us",
                None,
                figures.basis("list_change"),
                "hitchtiller.decide.Router.on_members",
            ),
            Row(
                "purge heard and in force",
                HEARD_S + figures.at("purge_apply") / 1e6,
                "s",
                demand.purge_s,
                ASSUMED_HEARD,
                "hitchtiller.routing.purges.PurgeLog",
                kind="time",
            ),
            Row(
                "start until ready",
                figures.at("process_start"),
                "s",
                10.0,
                figures.basis("process_start"),
                "hitchtiller.__main__.serve",
                kind="time",
            ),
        ),
    )


def home_router(figures: Figures, demand: Demand) -> Table:
    """The home router of a slice of the directory."""
    slice_objects = demand.objects / demand.gateways
    return Table(
        "Home router of a directory slice",
        (
            Row(
                "objects of a slice",
                slice_objects,
                "entries",
                MOST_ENTRIES,
                "objects over gateways",
                "hitchtiller.routing.directory.Directory",
                -1.0,
            ),
            Row(
                "notes that reach it",
                demand.requests_each * figures.at("directory_notes"),
                "1/s",
                None,
                figures.basis("directory_notes"),
                "hitchtiller.decide.Router.on_peer",
            ),
            Row(
                "objects that change home with one more gateway, no membership",
                figures.at("homes_moved"),
                "share",
                None,
                figures.basis("homes_moved"),
                "hitchtiller.decide.Router",
            ),
            Row(
                "the same with membership",
                1.0 / demand.gateways,
                "share",
                None,
                "rendezvous hash: 1/n",
                "hitchtiller.membership.homes.Homes",
            ),
        ),
    )


def member(figures: Figures, demand: Demand) -> Table:
    """A member of the fleet."""
    return Table(
        "Member of the fleet",
        (
            Row(
                "claims held",
                float(demand.gateways),
                "claims",
                None,
                "one a gateway",
                "hitchtiller.membership.view.View",
                1.0,
            ),
            Row(
                "datagrams sent",
                figures.at("members_datagrams"),
                "1/s",
                None,
                figures.basis("members_datagrams"),
                "hitchtiller.membership.detector.Detector",
            ),
            Row(
                "processor time, simulated network included",
                figures.at("members_cpu"),
                "us/s",
                1e6 * demand.control_cores,
                figures.basis("members_cpu"),
                "hitchtiller.membership.detector.Detector",
                figures.exponent("members_cpu"),
            ),
            Row(
                "a death known to all",
                figures.at("members_detect"),
                "s",
                None,
                figures.basis("members_detect"),
                "hitchtiller.membership.detector.Detector",
                kind="time",
            ),
            Row(
                "one that starts has heard of all, by pages",
                figures.at("members_catch_up"),
                "s",
                None,
                figures.basis("members_catch_up"),
                "hitchtiller.membership.detector.Detector",
                kind="time",
            ),
        ),
    )


def subscriber(figures: Figures, demand: Demand) -> Table:
    """A subscriber of discovery."""
    at = list_gateways(servers(demand))
    return Table(
        "Subscriber of discovery",
        (
            Row(
                "purges in force",
                demand.purges * 6.1,
                "entries",
                None,
                "rate x 6.1 s until gone everywhere",
                "hitchtiller.routing.purges.PurgeLog",
            ),
            Row(
                "whole list",
                figures.at("list_bytes", at),
                "B",
                None,
                figures.basis("list_bytes"),
                "hitchtiller.codec.bus.BusReader",
            ),
            Row(
                "whole list taken in",
                figures.at("list_whole", at),
                "ms",
                None,
                figures.basis("list_whole"),
                "hitchtiller.decide.Router.on_members",
            ),
            Row(
                "purge applied",
                figures.at("purge_apply"),
                "us",
                None,
                figures.basis("purge_apply"),
                "hitchtiller.routing.purges.PurgeLog",
            ),
        ),
    )
