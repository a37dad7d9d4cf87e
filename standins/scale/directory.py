"""Directory traffic of one gateway: notes to home gateways per request, at the full request rate.

Only one gateway runs. The other gateways are simulated by fixed answers: none holds a directory entry that
the running gateway asks for. The caches of its zone keep what they have served. Object popularity is assumed
to follow a Zipf law over as many objects as one gateway's slice of the directory holds.
"""

from collections.abc import Callable
from functools import partial
from random import Random

import numpy as np

from hitchtiller import interface as api
from standins.scale.fleet import NOTE_DELAY_MS, ROUND_TRIP_MS, HollowFleet
from standins.scale.gateway import HollowGateway
from standins.scale.plan import Plan, demand_at

ZIPF_EXPONENT = 0.9  # exponent of the assumed popularity of objects
WARM_UP_S, MEASURED_S = 4.0, 6.0  # phases of a run, of which only the second counts
CACHE_ANSWER_MS = 20.0  # response time of a cache that serves a request


class SingleGatewayFleet(HollowFleet):
    """A fleet of which one gateway runs and the others are simulated by fixed answers."""

    def __init__(self, plan: Plan, seed: int) -> None:
        """Start the one gateway that runs."""
        super().__init__(plan, seed, lambda number: plan.members())
        self.kept_objects: dict[str, set[int]] = {}
        self.fill_count = 0
        self.running_number = min(1, plan.demand.gateways - 1)
        self.start(self.running_number)

    def deliver_note(self, sender: int, action: api.SendNote) -> None:
        """Answer directory look-ups on behalf of the gateways that do not run."""
        if action.peer in self.running:
            return super().deliver_note(sender, action)
        if isinstance(action.note, api.PeerNote) and action.note.kind == "ask":
            answer = api.PeerNote("holder", action.note.key, action.note.part, "")
            deliver_answer = partial(
                self.handle_event, self.running[sender], api.PeerMessage(action.peer, answer)
            )
            self.schedule(self.now_ms + self.rng.uniform(*NOTE_DELAY_MS), deliver_answer)

    def send_attempt(self, gateway: HollowGateway, get: api.Get) -> None:
        """Serve objects that the cache keeps; fill the others, or answer a look-up with a miss."""
        attempt, request = gateway.next_attempt(get.id), gateway.open_requests[get.id]
        cached_objects = self.kept_objects.setdefault(get.server, set())
        is_fill = get.source != get.server and request.key not in cached_objects
        self.fill_count += is_fill
        is_served = request.key in cached_objects or get.source != get.server
        if is_served:
            cached_objects.add(request.key)
        status, duration_ms = ("done", CACHE_ANSWER_MS) if is_served else ("enoent", ROUND_TRIP_MS)
        self.schedule(self.now_ms + duration_ms, partial(self.finish_attempt, gateway, get, attempt, status))


def draw_popular_objects(objects: int, count: int, seed: int) -> list[int]:
    """Draw a sequence of `count` object keys by the popularity of the objects."""
    weights = 1.0 / np.arange(1, objects + 1) ** ZIPF_EXPONENT
    keys = np.random.default_rng(seed).choice(objects, count, p=weights / weights.sum())
    return [int(key) for key in keys]


def measure(gateways: int, seed: int) -> dict[str, float]:
    """Measure the notes that a gateway sends per request, and their bytes."""
    plan, rng = Plan(demand_at(gateways)), Random(seed)
    fleet = SingleGatewayFleet(plan, seed)
    requests_per_s = plan.demand.mean_requests_per_s
    keys = draw_popular_objects(
        int(plan.demand.objects / gateways), int(requests_per_s * (WARM_UP_S + MEASURED_S) * 1.2), seed
    )
    begin_ms = fleet.now_ms

    def submit_next(position: int, until_ms: float, callback: Callable[[int, float, object], None]) -> None:
        if fleet.now_ms <= until_ms and position < len(keys):
            fleet.submit_request(fleet.running_number, keys[position])
            gap_ms = rng.expovariate(requests_per_s / 1000.0)
            fleet.schedule(fleet.now_ms + gap_ms, partial(callback, position + 1, until_ms, callback))

    submit_next(0, begin_ms + 1000.0 * (WARM_UP_S + MEASURED_S), submit_next)  # type: ignore[arg-type]
    fleet.run(begin_ms + 1000.0 * WARM_UP_S)
    notes_before, bytes_before, served_before = (
        sum(fleet.note_counts.values()),
        fleet.note_bytes,
        fleet.answer_counts["served"],
    )
    fleet.run(begin_ms + 1000.0 * (WARM_UP_S + MEASURED_S))
    served_count = fleet.answer_counts["served"] - served_before
    return {
        "directory_notes": (sum(fleet.note_counts.values()) - notes_before) / served_count,
        "directory_bytes": (fleet.note_bytes - bytes_before) / served_count,
    }
