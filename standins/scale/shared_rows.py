"""Rows that appear both in the table of a role and in that of an event."""

from hitchtiller.decide import MAX_ORIGIN_FILLS
from standins.scale.assumptions import RELOAD_SIGNAL_S
from standins.scale.estimate import Figures, Row
from standins.scale.mechanisms import COLD_GUARD, LEASES
from standins.scale.plan import Demand


def cold_server_row(figures: Figures, kind: str) -> Row:
    """Return the row of calls to a cold server, a `cache` or a `parent`, as a share of what it can take."""
    name, unit = f"cold {kind}: calls in its window, all gateways", "of what it bears"
    return figures.make_row(
        name, f"cold_{kind}", unit, COLD_GUARD, budget=1.0, follows_fit=True, is_rule=True
    )


def origin_fills_row(figures: Figures) -> Row:
    """Return the row of simultaneous fills at the origin."""
    name, budget = "fills at once, all gateways", float(MAX_ORIGIN_FILLS)
    return figures.make_row(name, "origin_peak", "fills", LEASES, budget=budget, is_rule=True)


def change_in_force_row(demand: Demand) -> Row:
    """Return the row of the time until a changed configuration is in force at all gateways."""
    name, duration_s = "until a change is in force everywhere", RELOAD_SIGNAL_S * demand.gateways
    basis = f"assumed: {RELOAD_SIGNAL_S:g} s a gateway, one after another"
    return Row(name, duration_s, "s", demand.max_config_change_s, basis, exponent=1.0, kind="time")
