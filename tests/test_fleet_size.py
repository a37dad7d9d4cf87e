"""The work of a whole fleet: one cold station cache under 3, 40 and 200 gateways of one zone.

Each gateway decides on its own; the fleet's total is the sum of what each sent. The rule that no cold cache
is overloaded by all gateways together bounds that sum over any second by the fall multiple times what the
cache can do. The worth of answers also requires that the cache is used while it warms, not only once it is
warm.
"""

from dataclasses import dataclass, replace
from random import Random

import pytest
from conftest import FLEET, Bench, gets

from hitchtiller import interface as api
from hitchtiller.routing.fills import MAX_SHARE, FillLimit

COLD_RAMP_MS, COLD_SHARE, FALL_MULTIPLE, WEIGHT, WORK_MS = 16_000.0, 0.17, 3.0, 8.0, 400.0


def work_per_ms(at_ms: float) -> float:
    """Return the work per ms that the cold cache can do at this time."""
    return WEIGHT * (COLD_SHARE + (1.0 - COLD_SHARE) * min(1.0, at_ms / COLD_RAMP_MS))


def simulate_sends(
    gateways: int, seconds: int = 8, rate_per_s: int = 400, work_ms: float = WORK_MS, running: int = 0,
    present: float = 1.0,
) -> list[float]:  # fmt: skip
    """Run a zone of gateways that share the fleet's requests; return the time of each send to the cold cache.

    `running` of them run (0: all), and each believes that the share `present` of them is in service.
    """
    members = tuple(replace(m, started_ms=1.0) if m.server == "c0" else m for m in FLEET)
    benches = []
    for number in range(running or gateways):
        bench = Bench(my_number=number, group_size=gateways, gateways_in_zone=(0, gateways, 0),
                      siblings="none", notes="none", fall_multiple=FALL_MULTIPLE, cold_share=COLD_SHARE,
                      cold_ms=COLD_RAMP_MS)  # fmt: skip
        bench.router.mean_work_ms.update(dict.fromkeys(bench.router.mean_work_ms, work_ms))
        bench.router.serving_share = lambda: present
        bench.give(api.Members(members, whole=True), 1.0)
        benches.append(bench)
    sent_ms = []
    for id in range(seconds * rate_per_s):  # the fleet's requests, one gateway after the other
        bench = benches[id % len(benches)]
        bench.now = 1.0 + 1000.0 * id / rate_per_s
        for get in gets(bench.ask(id, key=id, name="big", size_kb=work_ms)):
            if "c0" in (get.server, get.source):
                sent_ms.append(bench.now)
            bench.give(api.Outcome(id, 0, get.server, "done", 1.0, True))
    return sent_ms


@pytest.mark.parametrize("gateways", [3, 40, 200])
def test_all_gateways_together_keep_a_cold_cache_under_its_fall_multiple(gateways: int) -> None:
    sent_ms = simulate_sends(gateways)
    for start_ms in sent_ms:
        calls_in_window = sum(start_ms <= at_ms < start_ms + 1000.0 for at_ms in sent_ms)
        assert WORK_MS * calls_in_window <= FALL_MULTIPLE * work_per_ms(start_ms + 1000.0) * 1000.0


@pytest.mark.parametrize("gateways", [3, 8, 40, 200])
def test_a_cold_cache_stays_under_its_multiple_when_all_gateways_believe_that_they_are_alone(
    gateways: int,
) -> None:
    """In a partition into two or ten sides, a gateway's part by its view is capped by its configured part."""
    sent_ms = simulate_sends(gateways, 4, rate_per_s=2400, work_ms=60.0, present=1.0 / gateways)
    for start_ms in sent_ms[::10]:
        calls_in_window = sum(start_ms <= at_ms < start_ms + 1000.0 for at_ms in sent_ms)
        assert 60.0 * calls_in_window <= FALL_MULTIPLE * work_per_ms(start_ms + 1000.0) * 1000.0


def test_when_half_are_known_to_be_dead_the_rest_use_nearly_as_much_as_all_would() -> None:
    all_running, believed_alive, known_dead = (
        len(simulate_sends(8, 4, 2400, 60.0, *case)) for case in ((8, 1.0), (4, 1.0), (4, 0.5))
    )
    assert believed_alive < 0.6 * all_running
    assert known_dead > 0.8 * all_running  # capped by the configured part


@pytest.mark.parametrize("gateways", [3, 40, 200])
def test_a_cold_cache_is_used_while_it_warms_whatever_the_fleet_size(gateways: int) -> None:
    """Without a selection by hash, 40 or 200 gateways each sent it nothing during its whole ramp."""
    sent_ms = simulate_sends(gateways)
    for second in range(1, 8):
        work_ms = WORK_MS * sum(second * 1000.0 <= at_ms < (second + 1) * 1000.0 for at_ms in sent_ms)
        assert (
            work_ms >= 0.1 * work_per_ms(second * 1000.0) * 1000.0
        ), f"second {second}: {work_ms:.0f} ms of work"


def test_only_a_few_gateways_of_a_large_zone_use_a_cold_cache() -> None:
    users = set()
    members = tuple(replace(m, started_ms=1.0) if m.server == "c0" else m for m in FLEET)
    for number in range(200):
        bench = Bench(my_number=number, group_size=200, gateways_in_zone=(0, 200, 0), cold_share=COLD_SHARE,
                      cold_ms=COLD_RAMP_MS, fall_multiple=FALL_MULTIPLE)  # fmt: skip
        bench.router.mean_work_ms = dict.fromkeys(bench.router.mean_work_ms, WORK_MS)
        bench.give(api.Members(members, whole=True), 1.0)
        node = bench.router.nodes["c0"]
        if bench.router.cold_rate(node) > 0.0:
            users.add(number)
    assert 1 <= len(users) < 20


@dataclass
class Fill:
    """A fill in flight at a source that all gateways share."""

    limit: FillLimit
    sent_ms: float
    work_ms: float
    left_ms: float
    is_slow: bool = False


def prompt_share(gateways: int, limited: bool, seconds: int = 20) -> float:
    """Ask a source for twice what it can deliver; return the share of its capacity that ends in prompt fills.

    The link carries 16 transfers for up to 40 gateways and grows with their number above that. A fill
    keeps its part of the link until its client gives up (2 s); it is prompt within 270 ms plus twice its
    own time. Time advances in steps of 20 ms; sizes are random, with a fixed seed. The first five
    seconds, in which the limits are learned, are left out.
    """
    rng, step_ms, mean_ms = Random(5), 20.0, 270.0
    link_transfers = 16.0 * max(1.0, gateways / 40)
    limits = [FillLimit() for _ in range(gateways)]
    in_flight, prompt_ms, now_ms, arrivals = list[Fill](), 0.0, 0.0, 2.0 * link_transfers * step_ms / mean_ms
    while now_ms < seconds * 1000.0:
        for _ in range(int(arrivals) + (rng.random() < arrivals % 1.0)):
            limit, work_ms = rng.choice(limits), rng.expovariate(1.0 / mean_ms)
            if not limited or limit.admits(work_ms, mean_ms, rng.random()):
                in_flight.append(Fill(limit, now_ms, work_ms, work_ms))
        now_ms += step_ms
        progress_ms = step_ms * min(1.0, link_transfers / max(1, len(in_flight)))
        for fill in in_flight:
            fill.left_ms -= progress_ms
            if not fill.is_slow and now_ms - fill.sent_ms > 270.0 + 2.0 * fill.work_ms:
                fill.is_slow = True
                fill.limit.shrink()
            elif fill.left_ms <= 0.0 and not fill.is_slow:
                fill.limit.grow()
                prompt_ms += fill.work_ms * (now_ms > 5000.0)
        in_flight = [fill for fill in in_flight if fill.left_ms > 0.0 and now_ms - fill.sent_ms < 2000.0]
    return prompt_ms / (seconds * 1000.0 - 5000.0) / link_transfers


@pytest.mark.parametrize("gateways", [3, 40, 200])
def test_a_source_asked_for_twice_its_capacity_still_ends_fills_in_time(gateways: int) -> None:
    """Without a limit, hundreds of fills share the link and a hundredth of it ends within its aim."""
    assert prompt_share(gateways, limited=False) < 0.05
    assert prompt_share(gateways, limited=True) > 0.2


def test_congestion_is_noticed_after_3_misses_and_its_end_after_42_prompt_fills() -> None:
    """From 3.0 of the mean down to 0.02, a gateway with two fills per second took 26 s to notice the end."""
    limit = FillLimit()
    for _ in range(3):
        limit.shrink()
    assert not limit.admits(2.0 * 270.0, 270.0, 0.5)
    for _ in range(100):
        limit.shrink()
    assert limit.admits(36.0, 270.0, 0.99)  # a fill of the shorter class is always sent, and shows the end
    for _ in range(42):
        limit.grow()
    assert limit.share == MAX_SHARE
