"""Rows that stand in the table of a role and again in that of an event."""

from hitchtiller.decide import ORIGIN_FILLS
from standins.scale.assumptions import SIGNAL_S
from standins.scale.estimate import Figures, Row
from standins.scale.mechanisms import COLD_GUARD, LEASES
from standins.scale.plan import Demand


def cold_server(figures: Figures, kind: str) -> Row:
    """Give the calls to one cold `cache` or `parent` over what it bears."""
    name, bears = f"cold {kind}: calls in its window, all gateways", "of what it bears"
    return figures.row(name, f"cold_{kind}", bears, COLD_GUARD, budget=1.0, grows=True, rule=True)


def origin_fills(figures: Figures) -> Row:
    """Give the fills at the origin at once."""
    name, most = "fills at once, all gateways", float(ORIGIN_FILLS)
    return figures.row(name, "origin_peak", "fills", LEASES, budget=most, rule=True)


def change_in_force(demand: Demand) -> Row:
    """Give the time until a changed configuration is in force everywhere."""
    name, took = "until a change is in force everywhere", SIGNAL_S * demand.gateways
    basis = f"assumed: {SIGNAL_S:g} s a gateway, one after another"
    return Row(name, took, "s", demand.change_s, basis, exponent=1.0, kind="time")
