"""Memory and processor time of one gateway's decision code, by the size of its fleet."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from random import Random

from hitchtiller import interface as api
from standins.scale.gateway import HollowGateway, list_frame, purge_frame
from standins.scale.plan import Plan, demand_at

OBJECT_COUNT = 6_000  # requested, enough to fill each bounded table
TIMED_CALLS = 200  # calls over which processor time is averaged
BEGIN_MS = 1_000_000.0


def make_full_gateway(plan: Plan, rng: Random) -> HollowGateway:
    """Return a gateway that has the whole server list and whose bounded tables are full."""
    gateway = HollowGateway(plan.settings(1 % plan.demand.gateways), 7)
    gateway.handle_discovery(list_frame(1, plan.members(), plan.zones, whole=True), BEGIN_MS)
    holder = plan.caches()[0].server
    for request_id in range(OBJECT_COUNT):
        serve_one(gateway, request_id, rng.getrandbits(48), BEGIN_MS + request_id)
        note = api.PeerNote("kept", rng.getrandbits(48), 0, holder, 1)
        gateway.handle(api.PeerMessage(0, note), BEGIN_MS + request_id)
    return gateway


def serve_one(gateway: HollowGateway, request_id: int, key: int, now_ms: float) -> None:
    """Submit a request to a gateway and complete each of its attempts immediately."""
    actions = gateway.handle(api.Request(request_id, "files", key, now_ms + 5_000.0, 50.0, key % 256), now_ms)
    for attempt, get in enumerate(a for a in actions if isinstance(a, api.Get)):
        gateway.finish_request(request_id, "served")
        gateway.handle(api.Outcome(request_id, attempt, get.server, "done", 5.0, True, 1), now_ms)


def mean_cpu_us(rounds: int, call: Callable[[int], object]) -> float:
    """Return the mean processor time of a call in microseconds, over a number of rounds."""
    started_s = time.process_time()
    for call_number in range(rounds):
        call(call_number)
    return 1e6 * (time.process_time() - started_s) / rounds


def measure(gateways: int, seed: int) -> dict[str, float]:
    """Measure one gateway of a fleet of the given size."""
    plan, rng = Plan(demand_at(gateways)), Random(seed)
    gc.collect()
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    gateway = make_full_gateway(plan, rng)
    gc.collect()
    state_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    members, now_ms = plan.members(), BEGIN_MS + OBJECT_COUNT
    whole_list = list_frame(1, members, plan.zones, whole=True)

    def apply_list_change(call_number: int) -> None:
        changed = replace(members[call_number % len(members)], weight=8.0 + call_number % 2)
        gateway.handle_discovery(list_frame(call_number, [changed], plan.zones, whole=False), now_ms)

    def apply_purge(call_number: int) -> None:
        gateway.handle_discovery(purge_frame(call_number, rng.getrandbits(48), 0, now_ms), now_ms)

    def serve_request(call_number: int) -> None:
        serve_one(gateway, OBJECT_COUNT + call_number, call_number, now_ms)

    change_us = mean_cpu_us(TIMED_CALLS, apply_list_change)
    whole_list_ms = mean_cpu_us(5, lambda call_number: gateway.handle_discovery(whole_list, now_ms)) / 1000.0
    purge_us = mean_cpu_us(TIMED_CALLS, apply_purge)
    sweep_us = mean_cpu_us(TIMED_CALLS, lambda call_number: gateway.handle(api.TimerDue("sweep"), now_ms))
    return {
        "router_state": float(state_bytes),
        "list_change": change_us,
        "list_whole": whole_list_ms,
        "list_bytes": float(len(whole_list)),
        "purge_apply": purge_us,
        "sweep": sweep_us,
        "decide": mean_cpu_us(TIMED_CALLS, serve_request),
    }
