"""Stories that are played on a hollow fleet: all misses need the origin, while things go wrong."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from standins.scale.fleet import HollowFleet
from standins.scale.plan import Plan, demand_at

SETTLE_MS = 11_000.0  # a lease's term and more: owners that have just started lend nothing for it
OBJECT_BITS = 48


@dataclass(frozen=True, slots=True)
class OriginFigures:
    """What all gateways together did at the origin."""

    gateways: int
    peak: int  # fills at once
    mean: float  # of them, over the time of the requests
    served: int
    refused: int
    lease_notes: int
    seconds: float

    def notes_each(self) -> float:
        """Give the lease notes that a gateway sent a second."""
        return self.lease_notes / self.gateways / self.seconds


Trouble = Callable[[HollowFleet, float], None]  # schedules faults, told when the requests begin


def origin_only(gateways: int, seed: int = 1) -> HollowFleet:
    """Make a fleet that is told of its zone's caches and the origin, and of no parent; all run."""
    plan = Plan(demand_at(gateways))
    lists = [(*plan.caches(zone), plan.origin()) for zone in range(plan.demand.zones)]
    fleet = HollowFleet(plan, seed, lambda number: lists[plan.zone_of(number)])
    for number in range(gateways):
        fleet.start(number)
    return fleet


def keep_asking(fleet: HollowFleet, number: int, each_per_s: float, until_ms: float) -> None:
    """Have a gateway asked for objects that nothing holds, until a time."""
    if fleet.now > until_ms:
        return
    if number in fleet.running and number not in fleet.stopped:
        fleet.ask(number, fleet.rng.getrandbits(OBJECT_BITS))
    gap = fleet.rng.expovariate(each_per_s / 1000.0)
    fleet.at(fleet.now + gap, partial(keep_asking, fleet, number, each_per_s, until_ms))


def fills_from_origin(
    gateways: int, each_per_s: float, seconds: float, seed: int = 1, trouble: Trouble | None = None
) -> OriginFigures:
    """Play misses that only the origin can fill at all gateways; `each_per_s` of them at each."""
    fleet = origin_only(gateways, seed)
    begin = fleet.now + SETTLE_MS
    until = begin + 1000.0 * seconds
    for number in range(gateways):
        first = begin + fleet.rng.random() * 1000.0 / each_per_s
        fleet.at(first, partial(keep_asking, fleet, number, each_per_s, until))
    if trouble:
        trouble(fleet, begin)
    fleet.run(until)
    fleet.count_fills(0)
    notes = sum(count for kind, count in fleet.notes.items() if kind.startswith("lease"))
    answers = (fleet.answers["served"], fleet.answers["refused"])
    mean = fleet.origin_ms / (1000.0 * seconds)
    return OriginFigures(gateways, fleet.origin_peak, mean, *answers, notes, seconds)
