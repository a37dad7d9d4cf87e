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

RAMP_MS, SHARE, MULTIPLE, WEIGHT, WORK_MS = 16_000.0, 0.17, 3.0, 8.0, 400.0


def able(at_ms: float) -> float:
    """Return the work per ms that the cold cache can do at this time."""
    return WEIGHT * (SHARE + (1.0 - SHARE) * min(1.0, at_ms / RAMP_MS))


def fleet_sends(
    gateways: int, seconds: int = 8, rate_per_s: int = 400, work_ms: float = WORK_MS, running: int = 0,
    present: float = 1.0,
) -> list[float]:  # fmt: skip
    """Run a zone of gateways that share the fleet's requests; return the time of each send to the cold cache.

    `running` of them run (0: all), and each believes that the share `present` of them does.
    """
    cold = tuple(replace(m, started_ms=1.0) if m.server == "c0" else m for m in FLEET)
    benches = []
    for number in range(running or gateways):
        bench = Bench(my_number=number, group_size=gateways, gateways_in_zone=(0, gateways, 0),
                      siblings="none", notes="none", fall_multiple=MULTIPLE, cold_share=SHARE,
                      cold_ms=RAMP_MS)  # fmt: skip
        bench.router.mean.update(dict.fromkeys(bench.router.mean, work_ms))
        bench.router.present = lambda: present
        bench.give(api.Members(cold, whole=True), 1.0)
        benches.append(bench)
    sent = []
    for id in range(seconds * rate_per_s):  # the fleet's requests, one gateway after the other
        bench = benches[id % len(benches)]
        bench.now = 1.0 + 1000.0 * id / rate_per_s
        for get in gets(bench.ask(id, key=id, name="big", size_kb=work_ms)):
            if "c0" in (get.server, get.source):
                sent.append(bench.now)
            bench.give(api.Outcome(id, 0, get.server, "done", 1.0, True))
    return sent


@pytest.mark.parametrize("gateways", [3, 40, 200])
def test_all_gateways_together_keep_a_cold_cache_under_its_fall_multiple(gateways: int) -> None:
    sent = fleet_sends(gateways)
    for start in sent:
        window = sum(start <= at < start + 1000.0 for at in sent)
        assert WORK_MS * window <= MULTIPLE * able(start + 1000.0) * 1000.0


@pytest.mark.parametrize("gateways", [3, 8, 40, 200])
def test_a_cold_cache_stays_under_its_multiple_where_all_gateways_think_that_they_are_alone(
    gateways: int,
) -> None:
    """In a partition into two or ten sides, a gateway's part by its view is capped by its configured part."""
    sent = fleet_sends(gateways, 4, rate_per_s=2400, work_ms=60.0, present=1.0 / gateways)
    for start in sent[::10]:
        window = sum(start <= at < start + 1000.0 for at in sent)
        assert 60.0 * window <= MULTIPLE * able(start + 1000.0) * 1000.0


def test_where_half_are_dead_and_known_to_be_the_rest_use_what_all_would() -> None:
    whole, unknown, known = (
        len(fleet_sends(8, 4, 2400, 60.0, *case)) for case in ((8, 1.0), (4, 1.0), (4, 0.5))
    )
    assert unknown < 0.6 * whole
    assert known > 0.8 * whole  # capped by the configured part


@pytest.mark.parametrize("gateways", [3, 40, 200])
def test_a_cold_cache_is_used_while_it_warms_whatever_the_fleet(gateways: int) -> None:
    """Without a selection by hash, 40 or 200 gateways each sent it nothing during its whole ramp."""
    sent = fleet_sends(gateways)
    for second in range(1, 8):
        work = WORK_MS * sum(second * 1000.0 <= at < (second + 1) * 1000.0 for at in sent)
        assert work >= 0.1 * able(second * 1000.0) * 1000.0, f"second {second}: {work:.0f} ms of work"


def test_only_a_few_gateways_of_a_large_zone_use_a_cold_cache() -> None:
    users = set()
    cold = tuple(replace(m, started_ms=1.0) if m.server == "c0" else m for m in FLEET)
    for number in range(200):
        bench = Bench(my_number=number, group_size=200, gateways_in_zone=(0, 200, 0), cold_share=SHARE,
                      cold_ms=RAMP_MS, fall_multiple=MULTIPLE)  # fmt: skip
        bench.router.mean = dict.fromkeys(bench.router.mean, WORK_MS)
        bench.give(api.Members(cold, whole=True), 1.0)
        node = bench.router.nodes["c0"]
        if bench.router.cold_rate(node) > 0.0:
            users.add(number)
    assert 1 <= len(users) < 20


@dataclass
class Fill:
    """A fill in flight at a source that all gateways share."""

    limit: FillLimit
    sent: float
    work: float
    left: float
    slow: bool = False


def prompt_share(gateways: int, limited: bool, seconds: int = 20) -> float:
    """Ask a source for twice what it can deliver; return the share of its capacity that ends in prompt fills.

    The link carries 16 transfers for up to 40 gateways and grows with their number above that. A fill
    keeps its part of the link until its client gives up (2 s); it is prompt within 270 ms plus twice its
    own time. Time advances in steps of 20 ms; sizes are random, with a fixed seed. The first five
    seconds, in which the limits are learned, are left out.
    """
    rng, step, mean = Random(5), 20.0, 270.0
    link = 16.0 * max(1.0, gateways / 40)
    limits = [FillLimit() for _ in range(gateways)]
    out, prompt, now, arriving = list[Fill](), 0.0, 0.0, 2.0 * link * step / mean
    while now < seconds * 1000.0:
        for _ in range(int(arriving) + (rng.random() < arriving % 1.0)):
            limit, work = rng.choice(limits), rng.expovariate(1.0 / mean)
            if not limited or limit.admits(work, mean, rng.random()):
                out.append(Fill(limit, now, work, work))
        now += step
        pace = step * min(1.0, link / max(1, len(out)))
        for fill in out:
            fill.left -= pace
            if not fill.slow and now - fill.sent > 270.0 + 2.0 * fill.work:
                fill.slow = True
                fill.limit.shrink()
            elif fill.left <= 0.0 and not fill.slow:
                fill.limit.grow()
                prompt += fill.work * (now > 5000.0)
        out = [fill for fill in out if fill.left > 0.0 and now - fill.sent < 2000.0]
    return prompt / (seconds * 1000.0 - 5000.0) / link


@pytest.mark.parametrize("gateways", [3, 40, 200])
def test_a_source_asked_for_twice_what_it_gives_still_ends_fills_in_time(gateways: int) -> None:
    """Without a limit, hundreds of fills share the link and a hundredth of it ends within its aim."""
    assert prompt_share(gateways, limited=False) < 0.05
    assert prompt_share(gateways, limited=True) > 0.2


def test_a_jam_is_felt_after_three_misses_and_its_end_after_42_prompt_fills() -> None:
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
