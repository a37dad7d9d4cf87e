"""Server capacities, stated or estimated: the estimate, its bounds, and the decisions that depend on it."""

from collections.abc import Iterator
from dataclasses import replace

import pytest
from conftest import BASE, FLEET, Bench

from hitchtiller import interface as api
from hitchtiller.routing.capacity import DEFAULT_TRANSFERS, MAX_TRANSFERS, MIN_TRANSFERS, SAFE_SHARE, Capacity

# caches of a zone, transfers of each, share of requests that they miss together, headroom of the inbound link
ZONES = [
    (caches, transfers, miss_share, headroom)
    for caches in (2, 3, 5, 7, 12, 20)
    for transfers in (4.0, 6.5, 9.0)
    for miss_share, headroom in ((0.18, 1.1), (0.22, 1.15), (0.3, 1.2))
]


def make_zone(caches: int, link: float) -> tuple[api.Settings, list[api.Member]]:
    settings = replace(
        BASE, weights="none", link_kb_per_s=(0.0, link * BASE.flow_kb_per_s, link * BASE.flow_kb_per_s)
    )
    members = [api.Member(f"c{n}", "z1", "box", "SERVING") for n in range(caches)]
    return settings, [*members, api.Member("p", "hub", "parent", "SERVING")]


@pytest.mark.parametrize(("caches", "transfers", "miss_share", "headroom"), ZONES)
def test_the_estimate_of_a_link_is_close_to_its_capacity(
    caches: int, transfers: float, miss_share: float, headroom: float
) -> None:
    """With weights of 1, a gateway refused half of the requests on a day of normal load."""
    # a small group of caches misses more, and a small zone's link is wider
    small_zone_factor = max(1.0, 8.0 / caches) ** 0.5
    link = caches * transfers * miss_share * small_zone_factor * headroom * small_zone_factor
    settings, members = make_zone(caches, link)
    likely, safe = Capacity(settings).estimate(members)["c0"]
    assert 0.6 * transfers < likely < 1.5 * transfers
    assert safe == SAFE_SHARE * likely < transfers


def test_stated_weights_are_used_unchanged() -> None:
    estimates = Capacity(BASE).estimate(FLEET)
    assert estimates["c0"] == (8.0, 8.0) and estimates["p0"] == (30.0, 30.0)


def test_live_weights_that_shrink_under_load_leave_the_capacity_unchanged() -> None:
    """A live weight is size / (1 + load): used as it is, it halves a busy cache and counts its load twice."""
    capacity = Capacity(replace(BASE, weights="live"))
    capacity.estimate(FLEET)
    busy = [replace(m, weight=m.weight / 3.0) for m in FLEET]
    assert capacity.estimate(busy)["c0"] == (8.0, 8.0)
    assert "c0" not in capacity.estimate([m for m in busy if m.server != "c0"])


@pytest.mark.parametrize("link", [0.0, 1e-3, 1e9])
def test_the_estimate_is_bounded_for_any_stated_link(link: float) -> None:
    settings, members = make_zone(4, link)
    estimates = Capacity(settings).estimate(members)
    assert MIN_TRANSFERS <= estimates["c0"][0] <= MAX_TRANSFERS and estimates["p"][0] >= MIN_TRANSFERS
    if not link:
        assert estimates["c0"][0] == DEFAULT_TRANSFERS


def test_draining_caches_leave_their_part_of_the_link_to_the_others() -> None:
    settings, members = make_zone(16, 30.0)
    before = Capacity(settings).estimate(members)["c0"][0]
    drained = [replace(m, state="DRAINING") if n < 4 else m for n, m in enumerate(members)]
    assert Capacity(settings).estimate(drained)["c0"][0] > before


def actions_under_normal_load(weights: str, weight: float) -> Iterator[list[api.Action]]:
    """Yield the actions for half the load of three caches of eight transfers, each listed with `weight`."""
    bench = Bench(
        weights=weights, link_kb_per_s=(0.0, 14500.0, 14500.0), classes={"small": BASE.classes["small"]}
    )
    bench.give(api.Members(tuple(replace(m, weight=weight) for m in FLEET), whole=True))
    for n in range(12):
        yield bench.ask(n, key=n, size_kb=300.0)


@pytest.mark.parametrize(("weights", "weight"), [("none", 1.0), ("rough", 8.0)])
def test_normal_load_is_not_refused(weights: str, weight: float) -> None:
    assert not [
        act
        for acts in actions_under_normal_load(weights, weight)
        for act in acts
        if isinstance(act, api.Refuse)
    ]


def test_load_above_the_stated_weights_is_refused() -> None:
    """Weights of 1 that are taken as stated cause refusals, which the estimate prevents."""
    assert [
        act for acts in actions_under_normal_load("rough", 1.0) for act in acts if isinstance(act, api.Refuse)
    ]


def test_a_link_below_its_capacity_does_not_stretch_transfers() -> None:
    """With an aim stretch of 1, a large object was refused at four fifths of a link's capacity."""
    bench = Bench(classes={"small": replace(BASE.classes["small"], aim_ms=450.0, aim_stretch=1.0)})
    for n in range(20):  # three caches of eight transfers: 21 keep each below its capacity
        acts = bench.ask(n, key=n, size_kb=2000.0)
        assert [act for act in acts if isinstance(act, api.Get)], n
