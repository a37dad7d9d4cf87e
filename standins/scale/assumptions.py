"""What the tables take for given: sizes on the wire, and figures from elsewhere, with their source."""

from standins.scale.estimate import Figures, list_gateways
from standins.scale.plan import Demand

TCP_HEAD, UDP_HEAD = 40, 28
PURGE_BYTES, HEARTBEAT_BYTES = 29 + TCP_HEAD, 4 + TCP_HEAD
LEASE_BYTES = 15 + UDP_HEAD
SWEEPS = 20.0  # a second
LINKS = 6  # connections of one gateway to one server at the most: back/upstreams.py
LARGEST = 4.0  # times the mean, for the busiest gateway: "some see several times the mean"
HEARD_S = 0.31  # until a gateway hears of a purge, as the operators measured it
LIST_CHANGES = 3.0  # lines of the list for one failure or restart of a server: gone, there, warm
ANSWERS_S, MB_S = 6_880.0, 272.5  # one process on this machine: standins.speed (off), standins.haul (large)
EFFECTS = 0.036  # of all requests run at the origin: the operators' class of charges
DAY_S = 86_400.0
SIGNAL_S = 1.0  # to give one gateway a file and a signal, by a script that does one after another
ASSUMED_HEARD = "assumed: the operators' 31 to 310 ms"
ASSUMED_LARGEST = f"assumed: {LARGEST:g} x the mean"


def servers(demand: Demand) -> int:
    """Count the listed servers."""
    return demand.caches + demand.parents() + 1


def control_core(figures: Figures, demand: Demand) -> float:
    """Give the cores that control takes of a gateway."""
    at = list_gateways(servers(demand))
    changes = LIST_CHANGES * (demand.failures_a_day + demand.restarts_a_day) / DAY_S
    parts = (
        SWEEPS * figures.at("sweep"),
        demand.purges * figures.at("purge_apply"),
        changes * figures.at("list_change", at),
        figures.at("members_cpu"),
    )
    return sum(parts) / 1e6
