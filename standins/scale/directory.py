"""Directory traffic of one gateway: notes to home routers for each request, at the full request rate.

One gateway of the zone runs; the others of the fleet are answered for: they hold no entry that it asks for.
Its zone's caches keep what they served. Popularity is assumed: a Zipf law over the objects that one gateway's
home slice would hold.
"""

from collections.abc import Callable
from functools import partial
from random import Random

import numpy as np

from hitchtiller import interface as api
from standins.scale.fleet import DELAY_MS, WAY_MS, HollowFleet
from standins.scale.gateway import HollowGateway
from standins.scale.plan import Plan, demand_at

ZIPF = 0.9  # exponent of the popularity, assumed
WARM_S, MEASURED_S = 4.0, 6.0
SERVED_MS = 20.0


class SampledFleet(HollowFleet):
    """One gateway that runs among others that are only answered for."""

    def __init__(self, plan: Plan, seed: int) -> None:
        """Start the one."""
        super().__init__(plan, seed, lambda number: plan.members())
        self.kept: dict[str, set[int]] = {}
        self.fills = 0
        self.number = min(1, plan.demand.gateways - 1)
        self.start(self.number)

    def deliver(self, sender: int, action: api.SendNote) -> None:
        """Answer look-ups in place of gateways that do not run."""
        if action.peer in self.running:
            return super().deliver(sender, action)
        if isinstance(action.note, api.PeerNote) and action.note.kind == "ask":
            answer = api.PeerNote("holder", action.note.key, action.note.part, "")
            back = partial(self.give, self.running[sender], api.PeerMessage(action.peer, answer))
            self.at(self.now + self.rng.uniform(*DELAY_MS), back)

    def send(self, gateway: HollowGateway, get: api.Get) -> None:
        """Serve what the cache keeps, fill what it lacks."""
        shot, ask = gateway.shot(get.id), gateway.open[get.id]
        kept = self.kept.setdefault(get.server, set())
        fills = get.source != get.server and ask.key not in kept
        self.fills += fills
        found = ask.key in kept or get.source != get.server
        if found:
            kept.add(ask.key)
        status, took = ("done", SERVED_MS) if found else ("enoent", WAY_MS)
        self.at(self.now + took, partial(self.end, gateway, get, shot, status))


def popular(objects: int, count: int, seed: int) -> list[int]:
    """Draw objects by their popularity."""
    weights = 1.0 / np.arange(1, objects + 1) ** ZIPF
    drawn = np.random.default_rng(seed).choice(objects, count, p=weights / weights.sum())
    return [int(key) for key in drawn]


def measure(gateways: int, seed: int) -> dict[str, float]:
    """Measure notes and their bytes for each request."""
    plan, rng = Plan(demand_at(gateways)), Random(seed)
    fleet = SampledFleet(plan, seed)
    rate = plan.demand.requests_each
    keys = popular(int(plan.demand.objects / gateways), int(rate * (WARM_S + MEASURED_S) * 1.2), seed)
    begin = fleet.now

    def arrive(place: int, until_ms: float, again: Callable[[int, float, object], None]) -> None:
        if fleet.now <= until_ms and place < len(keys):
            fleet.ask(fleet.number, keys[place])
            gap = rng.expovariate(rate / 1000.0)
            fleet.at(fleet.now + gap, partial(again, place + 1, until_ms, again))

    arrive(0, begin + 1000.0 * (WARM_S + MEASURED_S), arrive)  # type: ignore[arg-type]
    fleet.run(begin + 1000.0 * WARM_S)
    notes, carried, served = sum(fleet.notes.values()), fleet.note_bytes, fleet.answers["served"]
    fleet.run(begin + 1000.0 * (WARM_S + MEASURED_S))
    requests = fleet.answers["served"] - served
    return {
        "directory_notes": (sum(fleet.notes.values()) - notes) / requests,
        "directory_bytes": (fleet.note_bytes - carried) / requests,
    }
