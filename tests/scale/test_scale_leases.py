"""All gateways together never exceed the bound on fills at the origin, whatever faults occur between them.

The fleets are hollow: the program's own decision code on a virtual clock and network. Each fill counts from
its start to its end, even if the gateway that asked for it is killed meanwhile.
"""

import pytest

from hitchtiller.decide import MAX_ORIGIN_FILLS
from standins.scale.fleet import HollowFleet
from standins.scale.scenarios import FaultScheduler, measure_origin_fills

SIZES = [(3, 20.0, 10.0), (40, 5.0, 10.0), (200, 3.0, 8.0), (2_300, 0.5, 4.0)]  # gateways, misses, seconds
FAULT_SIZES = [(40, 5.0, 15.0), (200, 3.0, 12.0)]


@pytest.mark.parametrize(("gateways", "misses_per_s", "seconds"), SIZES)
def test_the_origin_is_used_and_its_bound_is_kept_at_any_size(
    gateways: int, misses_per_s: float, seconds: float
) -> None:
    """Without leases, each gateway of 25 or more had a fill of its own: 2,300 gateways had 2,300 at once."""
    figures = measure_origin_fills(gateways, misses_per_s, seconds)
    assert figures.peak_fills <= MAX_ORIGIN_FILLS
    assert figures.mean_fills >= 0.4 * MAX_ORIGIN_FILLS


@pytest.mark.parametrize("gateways", [25, 40, 200])
def test_lease_notes_stay_few_when_every_miss_needs_a_lease(gateways: int) -> None:
    assert measure_origin_fills(gateways, 5.0, 8.0).lease_notes_per_s() < 4.0


def lose_notes(fleet: HollowFleet, begin_ms: float) -> None:
    """Lose a third of the notes and duplicate a third of the others."""
    fleet.network_faults.loss_share = fleet.network_faults.repeat_share = 0.33


def partition_fleet(fleet: HollowFleet, begin_ms: float) -> None:
    """Partition the fleet into two parts for five seconds, with owners in both."""
    middle = min(12, fleet.plan.demand.gateways // 2)

    def is_apart(sender: int, receiver: int) -> bool:
        return (sender < middle) != (receiver < middle)

    def end_partition() -> None:
        fleet.network_faults.is_cut = lambda sender, receiver: False

    def start_partition() -> None:
        fleet.network_faults.is_cut = is_apart

    fleet.schedule(begin_ms + 1_000.0, start_partition)
    fleet.schedule(begin_ms + 6_000.0, end_partition)


def restart_gateways(fleet: HollowFleet, begin_ms: float) -> None:
    """Kill 70% of the gateways, lease owners and holders among them, and restart them at once; twice."""

    def restart_most() -> None:
        for number in list(fleet.running):
            if fleet.rng.random() < 0.7:
                fleet.kill(number)
                fleet.start(number)

    fleet.schedule(begin_ms + 2_000.0, restart_most)
    fleet.schedule(begin_ms + 3_000.0, restart_most)


def stop_gateways(fleet: HollowFleet, begin_ms: float) -> None:
    """Stop half of the processes, lease owners and holders among them, for longer than a lease term."""

    def stop_half() -> None:
        for number in list(fleet.running):
            if fleet.rng.random() < 0.5:
                fleet.stop(number)
                fleet.schedule(
                    begin_ms + 11_500.0 + fleet.rng.random() * 100.0,
                    lambda n=number: fleet.resume_process(n),  # type: ignore[misc]
                )

    fleet.schedule(begin_ms + 1_000.0, stop_half)


def vary_fleet_views(fleet: HollowFleet, begin_ms: float) -> None:
    """Give the gateways different views of the share of the fleet in service: itself only, half, or all."""
    shares = (1.0 / fleet.plan.demand.gateways, 0.5, 1.0)
    for number, gateway in fleet.running.items():
        gateway.router.serving_share = lambda share=shares[number % 3]: share  # type: ignore[misc]


@pytest.mark.parametrize(("gateways", "misses_per_s", "seconds"), FAULT_SIZES)
@pytest.mark.parametrize(
    "schedule_faults", [lose_notes, partition_fleet, restart_gateways, stop_gateways, vary_fleet_views]
)
def test_the_bound_holds_through_faults(
    gateways: int, misses_per_s: float, seconds: float, schedule_faults: FaultScheduler
) -> None:
    figures = measure_origin_fills(gateways, misses_per_s, seconds, schedule_faults=schedule_faults)
    assert figures.peak_fills <= MAX_ORIGIN_FILLS
    assert figures.served > 0
