"""What one gateway holds and sends does not grow with the fleet, and fleet-wide bounds hold at any size.

Measured at 100 and 300 gateways for the growth, at 3, 40, 200 and 2,300 for the bounds, with the same
measures that docs/CAPACITY.md is made from. Counts only: no verdict depends on the machine's speed.
"""

import math

import pytest

from hitchtiller.routing.directory import MAX_ENTRIES
from hitchtiller.routing.popularity import MAX_OBJECTS
from standins.scale import bounds, decisions, directory, membership
from standins.scale.plan import Plan, demand_at

SMALL, LARGE = 100, 300
CONSTANT = 0.1  # exponent up to which a figure counts as not growing
FLEETS = [3, 40, 200, 2_300]


def exponent(small: float, large: float) -> float:
    """Give the growth from SMALL to LARGE gateways as a power of their number."""
    return math.log(large / small) / math.log(LARGE / SMALL)


def test_what_a_gateway_holds_does_not_grow_with_the_fleet() -> None:
    small, large = (decisions.measure(size, 1)["router_state"] for size in (SMALL, LARGE))
    assert abs(exponent(small, large)) < CONSTANT


def test_tables_of_objects_are_bounded_however_many_are_asked_for() -> None:
    gateway = decisions.settled(Plan(demand_at(SMALL)), decisions.Random(1))
    router = gateway.router
    assert decisions.OBJECTS > MAX_OBJECTS
    assert len(router.popularity.counts) == MAX_OBJECTS
    assert len(router.directory.entries) == MAX_ENTRIES
    assert max(len(router.reported), len(router.rankings)) <= MAX_OBJECTS


def test_directory_notes_of_a_gateway_do_not_grow_with_the_fleet() -> None:
    small, large = (directory.measure(size, 1) for size in (SMALL, LARGE))
    for measure in ("directory_notes", "directory_bytes"):
        assert abs(exponent(small[measure], large[measure])) < CONSTANT, measure
    assert large["directory_notes"] < 1.0  # a request


def test_membership_sends_as_much_in_a_large_fleet_as_in_a_small_one() -> None:
    small, large = (membership.steady(size, 1) for size in (SMALL, LARGE))
    for measure in ("members_datagrams", "members_bytes"):
        assert abs(exponent(small[measure], large[measure])) < CONSTANT, measure
    assert small["members_false"] == large["members_false"] == 0.0


def test_the_time_until_all_know_of_a_death_grows_with_the_logarithm_at_the_most() -> None:
    small, large = (membership.steady(size, 1)["members_detect"] for size in (SMALL, LARGE))
    assert large / small < 1.5 * math.log(LARGE) / math.log(SMALL)
    assert large < membership.PATIENCE / 3.0  # periods of a second; PATIENCE where some never hear of it


@pytest.mark.parametrize("gateways", FLEETS)
def test_all_gateways_together_keep_cold_servers_up(gateways: int) -> None:
    found = bounds.cold(gateways, 1)
    assert 0.0 < found["cold_cache"] <= 1.0
    assert 0.0 < found["cold_parent"] <= 1.0


@pytest.mark.parametrize("gateways", [40, 200])
def test_with_membership_one_more_gateway_moves_few_homes(gateways: int) -> None:
    """Without it nearly all homes move: the configured number is the divisor."""
    assert bounds.homes(gateways, 1)["homes_moved_members"] < 3.0 / gateways
