"""Fleet-wide bounds, measured as the sum over all gateways, and the share of objects that change home."""

import math
from random import Random

from hitchtiller import interface as api
from hitchtiller.decide import Router
from hitchtiller.membership.homes import Homes
from hitchtiller.records import hash64
from standins.scale.plan import Plan, demand_at
from standins.scale.scenarios import measure_origin_fills

# Lower bounds on the misses per second at each gateway and over all, which far exceed what the bound admits.
MIN_MISSES_PER_S, ORIGIN_RUN_S = 0.5, 6.0
MIN_FLEET_MISSES_PER_S = 200.0
STEP_MS, COLD_RUN_MS = 50.0, 4_000.0
CALL_WORK_MS = 400.0  # work of one call at the cold server
SAMPLED_OBJECTS = 2_000


def measure_origin_bound(gateways: int, seed: int) -> dict[str, float]:
    """Measure simultaneous fills at the origin while every miss can be filled there only."""
    misses_per_s = max(MIN_MISSES_PER_S, MIN_FLEET_MISSES_PER_S / gateways)
    figures = measure_origin_fills(gateways, misses_per_s, ORIGIN_RUN_S, seed)
    return {
        "origin_peak": float(figures.peak_fills),
        "origin_mean": figures.mean_fills,
        "lease_notes": figures.lease_notes_per_s(),
    }


def measure_cold_servers(gateways: int, seed: int) -> dict[str, float]:
    """Measure the calls to a cold parent and a cold cache, as a share of what each can take."""
    plan = Plan(demand_at(gateways))
    zone_numbers = [n for n in range(gateways) if plan.zone_of(n) == 0]
    settings = plan.shared_settings
    parent = (settings.parent_cold_share, settings.parent_cold_ms, settings.parent_fall_multiple, 30.0)
    cache = (settings.cold_share, settings.cold_ms, settings.fall_multiple, 8.0)
    return {
        "cold_parent": _worst_cold_share(plan, plan.parents()[0], list(range(gateways)), parent, seed),
        "cold_cache": _worst_cold_share(plan, plan.caches(0)[0], zone_numbers, cache, seed),
    }


def _worst_cold_share(
    plan: Plan,
    server: api.Member,
    numbers: list[int],
    cold_settings: tuple[float, float, float, float],
    seed: int,
) -> float:
    """Return the highest share of a cold server's budget that all gateways together use in one window.

    Each gateway sends whenever its router admits a call; the gateways hear of the server up to 2 s apart. For
    a budget of N calls the bound is N + 2 * sqrt(N) + 2, since which gateways of a zone use a cold server is
    decided by a hash and their number varies by chance.
    """
    rng, begin_ms = Random(seed), 1.0
    member = api.Member(server.server, server.zone, server.kind, "SERVING", begin_ms, server.weight)
    routers = []
    for number in numbers:
        router = Router(plan.settings(number), number)
        router.handle(api.Members((member, plan.origin()), whole=True), begin_ms)
        router.mean_work_ms.update(dict.fromkeys(router.mean_work_ms, CALL_WORK_MS))
        routers.append((router, begin_ms + rng.choice((0.0, 300.0, 2_000.0))))
    call_times_ms = []
    for step in range(int(COLD_RUN_MS / STEP_MS)):
        now_ms = begin_ms + step * STEP_MS
        for router, informed_ms in routers:
            router.now_ms, node = now_ms, router.nodes[member.server]
            if now_ms >= informed_ms and router.admits(node):
                node.debt_ms += CALL_WORK_MS
                call_times_ms.append(now_ms)
    share, ramp, multiple, weight = cold_settings
    worst_share = 0.0
    for window_start_ms in sorted(set(call_times_ms)):
        capacity = weight * (share + (1.0 - share) * min(1.0, (window_start_ms - begin_ms) / ramp))
        budget = multiple * capacity * plan.shared_settings.fall_ms / CALL_WORK_MS
        call_count = sum(
            window_start_ms <= call_ms < window_start_ms + plan.shared_settings.fall_ms
            for call_ms in call_times_ms
        )
        worst_share = max(worst_share, call_count / (budget + 2.0 * math.sqrt(budget) + 2.0))
    return worst_share


def measure_moved_homes(gateways: int, seed: int) -> dict[str, float]:
    """Measure the share of objects whose home changes with one more gateway, without and with membership."""
    rng = Random(seed)
    hashes = [hash64(rng.getrandbits(48), 0) for _ in range(SAMPLED_OBJECTS)]
    moved_by_number = sum(hashed % gateways != hashed % (gateways + 1) for hashed in hashes)
    ranked_homes, all_but_last = Homes(gateways + 1), set(range(gateways))
    all_numbers = all_but_last | {gateways}
    moved_by_membership = sum(
        ranked_homes.home(hashed, all_but_last) != ranked_homes.home(hashed, all_numbers)
        for hashed in hashes[:200]
    )
    return {
        "homes_moved": moved_by_number / SAMPLED_OBJECTS,
        "homes_moved_members": moved_by_membership / 200.0,
    }


def measure(gateways: int, seed: int) -> dict[str, float]:
    """Measure all bounds in a fleet of the given size."""
    return (
        measure_origin_bound(gateways, seed)
        | measure_cold_servers(gateways, seed)
        | measure_moved_homes(gateways, seed)
    )
