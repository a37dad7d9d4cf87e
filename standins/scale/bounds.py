"""Bounds that hold over the whole fleet, measured as the sum over all gateways, and how homes move."""

import math
from random import Random

from hitchtiller import interface as api
from hitchtiller.decide import Router
from hitchtiller.membership.homes import Homes
from hitchtiller.records import hash64
from standins.scale.plan import Plan, demand_at
from standins.scale.scenarios import fills_from_origin

ORIGIN_RATE, ORIGIN_S = 0.5, 6.0  # misses a second at each gateway, of which far more than a bound's worth
ORIGIN_LEAST = 200.0  # misses a second over all
STEP_MS, COLD_MS = 50.0, 4_000.0
WORK_MS = 400.0
MOVED_OBJECTS = 2_000


def origin(gateways: int, seed: int) -> dict[str, float]:
    """Measure the fills at the origin at once, where all misses need it."""
    rate = max(ORIGIN_RATE, ORIGIN_LEAST / gateways)
    found = fills_from_origin(gateways, rate, ORIGIN_S, seed)
    return {
        "origin_peak": float(found.peak),
        "origin_mean": found.mean,
        "lease_notes": found.notes_each(),
    }


def cold(gateways: int, seed: int) -> dict[str, float]:
    """Measure the calls to one cold parent and one cold cache over what they bear, chance included."""
    plan = Plan(demand_at(gateways))
    zone = [n for n in range(gateways) if plan.zone_of(n) == 0]
    settings = plan.common
    parent = (settings.parent_cold_share, settings.parent_cold_ms, settings.parent_fall_multiple, 30.0)
    cache = (settings.cold_share, settings.cold_ms, settings.fall_multiple, 8.0)
    return {
        "cold_parent": _cold(plan, plan.parents()[0], list(range(gateways)), parent, seed),
        "cold_cache": _cold(plan, plan.caches(0)[0], zone, cache, seed),
    }


def _cold(
    plan: Plan, server: api.Member, numbers: list[int], figures: tuple[float, float, float, float], seed: int
) -> float:
    """Have all send what they may, told up to 2 s apart; give the worst window over its bound."""
    rng, begin = Random(seed), 1.0
    member = api.Member(server.server, server.zone, server.kind, "SERVING", begin, server.weight)
    routers = []
    for number in numbers:
        router = Router(plan.settings(number), number)
        router.handle(api.Members((member, plan.origin()), whole=True), begin)
        router.mean.update(dict.fromkeys(router.mean, WORK_MS))
        routers.append((router, begin + rng.choice((0.0, 300.0, 2_000.0))))
    calls = []
    for step in range(int(COLD_MS / STEP_MS)):
        now = begin + step * STEP_MS
        for router, told_ms in routers:
            router.now, node = now, router.nodes[member.server]
            if now >= told_ms and router.admits(node):
                node.debt_ms += WORK_MS
                calls.append(now)
    share, ramp, multiple, weight = figures
    worst = 0.0
    for start in sorted(set(calls)):
        able = weight * (share + (1.0 - share) * min(1.0, (start - begin) / ramp))
        budget = multiple * able * plan.common.fall_ms / WORK_MS
        sent = sum(start <= at < start + plan.common.fall_ms for at in calls)
        worst = max(worst, sent / (budget + 2.0 * math.sqrt(budget) + 2.0))
    return worst


def homes(gateways: int, seed: int) -> dict[str, float]:
    """Measure the share of objects whose home changes with one more gateway, both ways of choosing it."""
    rng = Random(seed)
    hashes = [hash64(rng.getrandbits(48), 0) for _ in range(MOVED_OBJECTS)]
    plain = sum(h % gateways != h % (gateways + 1) for h in hashes)
    ranked, all_but_last = Homes(gateways + 1), set(range(gateways))
    every = all_but_last | {gateways}
    moved = sum(ranked.home(h, all_but_last) != ranked.home(h, every) for h in hashes[:200])
    return {"homes_moved": plain / MOVED_OBJECTS, "homes_moved_members": moved / 200.0}


def measure(gateways: int, seed: int) -> dict[str, float]:
    """Measure all bounds in a fleet of so many."""
    return origin(gateways, seed) | cold(gateways, seed) | homes(gateways, seed)
