"""All gateways together never pass the bound on fills at the origin, whatever happens between them.

The fleets are hollow: the program's own decisions on a virtual clock and network. The origin counts each fill
from its start to its end, also when the gateway that asked for it has been killed meanwhile.
"""

import pytest

from hitchtiller.decide import ORIGIN_FILLS
from standins.scale.fleet import HollowFleet
from standins.scale.scenarios import Trouble, fills_from_origin

SIZES = [(3, 20.0, 10.0), (40, 5.0, 10.0), (200, 3.0, 8.0), (2_300, 0.5, 4.0)]  # gateways, misses, seconds
FAULTY = [(40, 5.0, 15.0), (200, 3.0, 12.0)]


@pytest.mark.parametrize(("gateways", "each_per_s", "seconds"), SIZES)
def test_the_origin_is_used_and_its_bound_is_kept_at_any_size(
    gateways: int, each_per_s: float, seconds: float
) -> None:
    """Each had a fill of its own from 25 gateways on: 2,300 of them 2,300 at once."""
    found = fills_from_origin(gateways, each_per_s, seconds)
    assert found.peak <= ORIGIN_FILLS
    assert found.mean >= 0.4 * ORIGIN_FILLS


@pytest.mark.parametrize("gateways", [25, 40, 200])
def test_lease_notes_stay_few_where_all_want_a_lease(gateways: int) -> None:
    assert fills_from_origin(gateways, 5.0, 8.0).notes_each() < 4.0


def loss(fleet: HollowFleet, begin_ms: float) -> None:
    """Lose a third of the notes, repeat a third of the rest."""
    fleet.wire.loss = fleet.wire.repeat = 0.33


def cut(fleet: HollowFleet, begin_ms: float) -> None:
    """Cut the fleet in two for five seconds, owners on both sides."""
    middle = min(12, fleet.plan.demand.gateways // 2)

    def apart(sender: int, receiver: int) -> bool:
        return (sender < middle) != (receiver < middle)

    def heal() -> None:
        fleet.wire.cut = lambda sender, receiver: False

    def begin() -> None:
        fleet.wire.cut = apart

    fleet.at(begin_ms + 1_000.0, begin)
    fleet.at(begin_ms + 6_000.0, heal)


def restarts(fleet: HollowFleet, begin_ms: float) -> None:
    """Kill seven in ten at once, owners and holders among them, and start them again at once."""

    def again() -> None:
        for number in list(fleet.running):
            if fleet.rng.random() < 0.7:
                fleet.kill(number)
                fleet.start(number)

    fleet.at(begin_ms + 2_000.0, again)
    fleet.at(begin_ms + 3_000.0, again)


def stops(fleet: HollowFleet, begin_ms: float) -> None:
    """Stop half of the processes for longer than a lease's term, holders and owners among them."""

    def stop() -> None:
        for number in list(fleet.running):
            if fleet.rng.random() < 0.5:
                fleet.stop(number)
                fleet.at(
                    begin_ms + 11_500.0 + fleet.rng.random() * 100.0,
                    lambda n=number: fleet.resume_process(n),  # type: ignore[misc]
                )

    fleet.at(begin_ms + 1_000.0, stop)


def views(fleet: HollowFleet, begin_ms: float) -> None:
    """Have each believe something else of who is in service: alone, half of them, all."""
    shares = (1.0 / fleet.plan.demand.gateways, 0.5, 1.0)
    for number, gateway in fleet.running.items():
        gateway.router.serving_share = lambda share=shares[number % 3]: share  # type: ignore[misc]


@pytest.mark.parametrize(("gateways", "each_per_s", "seconds"), FAULTY)
@pytest.mark.parametrize("trouble", [loss, cut, restarts, stops, views])
def test_the_bound_holds_through_faults(
    gateways: int, each_per_s: float, seconds: float, trouble: Trouble
) -> None:
    found = fills_from_origin(gateways, each_per_s, seconds, trouble=trouble)
    assert found.peak <= ORIGIN_FILLS
    assert found.served > 0
