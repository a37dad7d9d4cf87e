"""A gateway's state and traffic do not grow with the fleet, and fleet-wide bounds hold at any fleet size.

Growth is measured at 100 and 300 gateways, the bounds at 3, 40, 200 and 2,300, with the same measures as
those of docs/CAPACITY.md. Only counts and sizes are compared, so that no result depends on how fast the
machine is.
"""

import math

import pytest

from hitchtiller.routing.directory import MAX_ENTRIES
from hitchtiller.routing.popularity import MAX_OBJECTS
from standins.scale import bounds, decisions, directory, membership
from standins.scale.plan import Plan, demand_at

SMALL, LARGE = 100, 300
MAX_CONSTANT_EXPONENT = 0.1  # the highest exponent at which a figure counts as constant
FLEET_SIZES = [3, 40, 200, 2_300]


def growth_exponent(small: float, large: float) -> float:
    """Return the exponent of the growth from SMALL to LARGE gateways."""
    return math.log(large / small) / math.log(LARGE / SMALL)


def test_gateway_state_does_not_grow_with_the_fleet() -> None:
    small, large = (decisions.measure(size, 1)["router_state"] for size in (SMALL, LARGE))
    assert abs(growth_exponent(small, large)) < MAX_CONSTANT_EXPONENT


def test_object_tables_are_bounded_whatever_the_number_of_requested_objects() -> None:
    gateway = decisions.make_full_gateway(Plan(demand_at(SMALL)), decisions.Random(1))
    router = gateway.router
    assert decisions.OBJECT_COUNT > MAX_OBJECTS
    assert len(router.popularity.counts) == MAX_OBJECTS
    assert len(router.directory.entries) == MAX_ENTRIES
    assert max(len(router.reported_copies), len(router.rankings)) <= MAX_OBJECTS


def test_directory_notes_of_a_gateway_do_not_grow_with_the_fleet() -> None:
    small, large = (directory.measure(size, 1) for size in (SMALL, LARGE))
    for measure in ("directory_notes", "directory_bytes"):
        assert abs(growth_exponent(small[measure], large[measure])) < MAX_CONSTANT_EXPONENT, measure
    assert large["directory_notes"] < 1.0  # per request


def test_membership_traffic_of_a_gateway_does_not_grow_with_the_fleet() -> None:
    small, large = (membership.measure_steady_state(size, 1) for size in (SMALL, LARGE))
    for measure in ("members_datagrams", "members_bytes"):
        assert abs(growth_exponent(small[measure], large[measure])) < MAX_CONSTANT_EXPONENT, measure
    assert small["members_false"] == large["members_false"] == 0.0


def test_death_detection_time_grows_at_most_logarithmically() -> None:
    small, large = (membership.measure_steady_state(size, 1)["members_detect"] for size in (SMALL, LARGE))
    assert large / small < 1.5 * math.log(LARGE) / math.log(SMALL)
    assert (
        large < membership.MAX_DETECTION_PERIODS / 3.0
    )  # periods of one second; MAX_DETECTION_PERIODS if a gateway never hears of it


@pytest.mark.parametrize("gateways", FLEET_SIZES)
def test_all_gateways_together_stay_within_the_budget_of_a_cold_server(gateways: int) -> None:
    figures = bounds.measure_cold_servers(gateways, 1)
    assert 0.0 < figures["cold_cache"] <= 1.0
    assert 0.0 < figures["cold_parent"] <= 1.0


@pytest.mark.parametrize("gateways", [40, 200])
def test_with_membership_one_more_gateway_moves_few_homes(gateways: int) -> None:
    """Without membership nearly all objects change home, as the configured gateway count is the divisor."""
    assert bounds.measure_moved_homes(gateways, 1)["homes_moved_members"] < 3.0 / gateways
