"""Scenarios run on a hollow fleet: every miss needs the origin, optionally while faults are injected."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from standins.scale.fleet import HollowFleet
from standins.scale.plan import Plan, demand_at

LEASE_SETTLE_MS = 11_000.0  # longer than a lease term, during which newly started owners grant no leases
OBJECT_KEY_BITS = 48


@dataclass(frozen=True, slots=True)
class OriginFigures:
    """The load of all gateways together on the origin in one run."""

    gateways: int
    peak_fills: int  # highest number of simultaneous fills
    mean_fills: float  # mean number of simultaneous fills while requests arrive
    served: int
    refused: int
    lease_notes: int
    seconds: float

    def lease_notes_per_s(self) -> float:
        """Return the mean number of lease notes that a gateway sent per second."""
        return self.lease_notes / self.gateways / self.seconds


# Schedules faults in a fleet, given the time when requests begin.
FaultScheduler = Callable[[HollowFleet, float], None]


def start_origin_only_fleet(gateways: int, seed: int = 1) -> HollowFleet:
    """Start a fleet whose gateways list the caches of their zone and the origin, but no parent."""
    plan = Plan(demand_at(gateways))
    lists_by_zone = [(*plan.caches(zone), plan.origin()) for zone in range(plan.demand.zones)]
    fleet = HollowFleet(plan, seed, lambda number: lists_by_zone[plan.zone_of(number)])
    for number in range(gateways):
        fleet.start(number)
    return fleet


def send_requests(fleet: HollowFleet, number: int, misses_per_s: float, until_ms: float) -> None:
    """Send a gateway requests for objects that no server holds, at random intervals, until a time."""
    if fleet.now_ms > until_ms:
        return
    if number in fleet.running and number not in fleet.queued_events:
        fleet.submit_request(number, fleet.rng.getrandbits(OBJECT_KEY_BITS))
    gap_ms = fleet.rng.expovariate(misses_per_s / 1000.0)
    fleet.schedule(fleet.now_ms + gap_ms, partial(send_requests, fleet, number, misses_per_s, until_ms))


def measure_origin_fills(
    gateways: int,
    misses_per_s: float,
    seconds: float,
    seed: int = 1,
    schedule_faults: FaultScheduler | None = None,
) -> OriginFigures:
    """Run a fleet whose gateways each get misses that only the origin can fill, and measure its load."""
    fleet = start_origin_only_fleet(gateways, seed)
    begin_ms = fleet.now_ms + LEASE_SETTLE_MS
    until_ms = begin_ms + 1000.0 * seconds
    for number in range(gateways):
        first_ms = begin_ms + fleet.rng.random() * 1000.0 / misses_per_s
        fleet.schedule(first_ms, partial(send_requests, fleet, number, misses_per_s, until_ms))
    if schedule_faults:
        schedule_faults(fleet, begin_ms)
    fleet.run(until_ms)
    fleet.update_open_fills(0)
    lease_note_count = sum(count for kind, count in fleet.note_counts.items() if kind.startswith("lease"))
    answers = (fleet.answer_counts["served"], fleet.answer_counts["refused"])
    mean_fills = fleet.origin_fill_ms / (1000.0 * seconds)
    return OriginFigures(gateways, fleet.peak_origin_fills, mean_fills, *answers, lease_note_count, seconds)
