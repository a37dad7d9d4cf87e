"""Assumptions of the tables: sizes on the wire, and figures from other sources, each with its source."""

from standins.scale.estimate import Figures, fleet_size_listing
from standins.scale.plan import Demand

TCP_HEADER_BYTES, UDP_HEADER_BYTES = 40, 28
PURGE_FRAME_BYTES, HEARTBEAT_FRAME_BYTES = 29 + TCP_HEADER_BYTES, 4 + TCP_HEADER_BYTES
LEASE_NOTE_BYTES = 15 + UDP_HEADER_BYTES
SWEEPS_PER_S = 20.0  # timer sweeps of a gateway per second
MAX_LINKS_PER_SERVER = 6  # upper limit on connections of one gateway to one server: back/upstreams.py
# Load of the busiest gateway over the mean; the operators say that "some see several times the mean".
LARGEST_LOAD_FACTOR = 4.0
PURGE_DELIVERY_S = 0.31  # until a gateway receives a purge, measured by the operators
LIST_CHANGES_PER_EVENT = 3.0  # list changes for one failure or restart of a server: gone, back, warm
# Throughput of one process on the machine of these measures: standins.speed (off) and standins.haul (large).
MAX_ANSWERS_PER_S, MAX_MB_PER_S = 6_880.0, 272.5
EFFECTS_SHARE = 0.036  # share of requests that run at the origin: the operators' class of charges
DAY_S = 86_400.0
# Time to send one gateway a file and a signal, by a script that handles the gateways in sequence.
RELOAD_SIGNAL_S = 1.0
PURGE_DELIVERY_BASIS = "assumed: the operators' 31 to 310 ms"
LARGEST_LOAD_BASIS = f"assumed: {LARGEST_LOAD_FACTOR:g} x the mean"


def count_servers(demand: Demand) -> int:
    """Return the number of servers on the list."""
    return demand.caches + demand.parents() + 1


def compute_control_cores(figures: Figures, demand: Demand) -> float:
    """Return the processor time, in cores, of one gateway's control work."""
    list_fleet_size = fleet_size_listing(count_servers(demand))
    list_changes_per_s = LIST_CHANGES_PER_EVENT * (demand.failures_per_day + demand.restarts_per_day) / DAY_S
    cpu_us_per_s = (
        SWEEPS_PER_S * figures.value_at("sweep"),
        demand.purges * figures.value_at("purge_apply"),
        list_changes_per_s * figures.value_at("list_change", list_fleet_size),
        figures.value_at("members_cpu"),
    )
    return sum(cpu_us_per_s) / 1e6
