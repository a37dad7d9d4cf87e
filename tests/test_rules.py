"""Tests of the checks by which the Router keeps each of the five rules."""

import math
from dataclasses import replace

import pytest
from conftest import FLEET, Bench, gets

from hitchtiller import interface as api


def final_answers(acts: list[api.Action]) -> list[api.Action]:
    return [act for act in acts if isinstance(act, api.Refuse | api.Fail)]


def find_spread_key(bench: Bench) -> int:
    """Request one object until it is spread over several caches, which a look-up shows; return its key."""
    for id in range(1000, 1100):
        (get,) = gets(bench.ask(id, key=9, size_kb=400.0))
        bench.end(get, "done", closed=True, note=1)
        if get.source == get.server:
            return 9
    raise AssertionError("never spread")


# Rule 1


def test_a_time_out_at_the_deadline_answers_the_request_at_once(bench: Bench) -> None:
    (get,) = gets(bench.ask(1))
    bench.now = 3000.0
    assert final_answers(bench.end(get, "etimedout")) and not bench.router.open_requests


def test_a_request_that_waits_for_its_home_gateway_is_filled_when_the_gateway_does_not_answer() -> None:
    bench = Bench(group_size=50)
    find_spread_key(bench)
    (look,) = gets(bench.ask(1, key=9, size_kb=400.0))
    acts = bench.end(look, "enoent")
    (timer,) = (act for act in acts if isinstance(act, api.SetTimer))
    (fill,) = gets(bench.give(api.TimerDue(timer.token), bench.now + timer.delay_ms))
    assert fill.id == 1 and fill.source in ("p0", "p1")


def test_the_home_gateway_is_not_asked_near_the_deadline() -> None:
    bench = Bench(group_size=50)
    find_spread_key(bench)
    (look,) = gets(bench.ask(1, key=9, size_kb=400.0, life_ms=60.0))
    assert gets(bench.end(look, "enoent"))


def test_a_request_without_any_usable_server_is_refused_at_once(bench: Bench) -> None:
    bench.give(api.Members((), whole=True))
    (final,) = final_answers(bench.ask(1))
    assert isinstance(final, api.Refuse) and final.retry_after_ms > 0.0


@pytest.mark.parametrize("limit", [1, 2, 6])
def test_the_attempt_limit_ends_a_request(limit: int) -> None:
    bench = Bench(max_attempts=limit)
    acts = bench.ask(1)
    while gets(acts):
        (get,) = gets(acts)
        acts = bench.end(get, "busy", len(bench.sent) - 1)
    assert len(final_answers(acts)) == 1 and len(bench.sent) <= limit


def test_late_outcomes_and_departures_of_forgotten_requests_are_ignored(bench: Bench) -> None:
    (get,) = gets(bench.ask(1))
    bench.give(api.ClientLeft(1))
    assert bench.end(get, "etimedout") == [] and bench.end(get, "done", 4) == []
    bench.give(api.ClientLeft(77))


# Rule 2


@pytest.mark.parametrize(("name", "final"), [("once", api.Fail), ("keyed", api.Fail)])
def test_an_effect_that_may_have_run_fails_and_is_not_refused(name: str, final: type) -> None:
    bench = Bench()
    (get,) = gets(bench.ask(1, name=name))
    bench.now = 2000.0  # after the repeat window
    (act,) = final_answers(bench.end(get, "err"))
    assert isinstance(act, final)


def test_an_effect_of_kind_once_is_sent_again_only_if_it_certainly_did_not_run(bench: Bench) -> None:
    (get,) = gets(bench.ask(1, name="once"))
    (again,) = gets(bench.end(get, "busy"))
    assert not gets(bench.end(again, "econnreset", 1))


def test_an_effect_with_a_key_is_sent_again_only_within_its_window(bench: Bench) -> None:
    (get,) = gets(bench.ask(1, name="keyed"))
    bench.now = 100.0
    (again,) = gets(bench.end(get, "err"))
    bench.now = 1000.0
    assert not gets(bench.end(again, "err", 1))


def test_a_repeat_with_a_key_of_scope_cell_goes_to_the_same_server() -> None:
    keyed = api.ClassSettings("k", 800.0, 3000.0, effect="by_key", key_scope="cell", repeat_window_ms=1000.0)
    bench = Bench(classes={"k": keyed})
    cells = [replace(m, cell=n) for n, m in enumerate(FLEET)]
    bench.give(api.Members(tuple(cells), whole=True))
    (get,) = gets(bench.ask(1, name="k"))
    assert all(act.server == get.server for act in gets(bench.end(get, "err")))


def test_an_effect_of_kind_once_has_no_repeat_window_even_if_one_is_set() -> None:
    once = api.ClassSettings("k", 800.0, 3000.0, effect="once", repeat_window_ms=9000.0)
    bench = Bench(classes={"k": once})
    (get,) = gets(bench.ask(1, name="k"))
    assert not gets(bench.end(get, "err"))


def test_an_answer_of_a_peer_after_the_deadline_sends_nothing() -> None:
    bench = Bench(group_size=50)
    find_spread_key(bench)
    (look,) = gets(bench.ask(1, key=9, size_kb=400.0, life_ms=200.0))
    bench.end(look, "enoent")
    bench.now += 250.0
    assert not gets(bench.give(api.PeerMessage(3, api.PeerNote("holder", 9, 0, "d0"))))


# Rule 3


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_draining_and_gone_servers_get_nothing(bench: Bench, state: str) -> None:
    out = tuple(replace(m, state=state) for m in FLEET if m.server in ("c0", "p0"))
    bench.give(api.Members(out))
    for id in range(60):
        for get in gets(bench.ask(id, key=id)):
            assert get.server not in ("c0", "p0") and get.source not in ("c0", "p0")
            bench.end(get, "done", closed=True)


def test_a_server_missing_from_a_whole_list_gets_no_request(bench: Bench) -> None:
    bench.give(api.Members(tuple(m for m in FLEET if m.server != "c1"), whole=True))
    sent = [get for id in range(60) for get in gets(bench.ask(id, key=id, size_kb=1.0))]
    assert sent and all(get.server != "c1" for get in sent)


def test_a_draining_sibling_is_no_source_even_if_the_directory_names_it() -> None:
    bench = Bench()
    find_spread_key(bench)
    bench.give(api.PeerMessage(0, api.PeerNote("kept", 9, 0, "d0")))
    (look,) = gets(bench.ask(1, key=9, size_kb=400.0))
    bench.give(api.Members((replace(FLEET[3], state="DRAINING"),)))
    assert [get.source for get in gets(bench.end(look, "enoent"))] != ["d0"]


# Rule 4


@pytest.mark.parametrize(
    ("cold", "weight", "share", "ramp"), [("c0", 8.0, 0.2, 10_000.0), ("p0", 30.0, 0.1, 20_000.0)]
)
def test_a_cold_server_gets_at_most_its_budget_in_any_second(
    cold: str, weight: float, share: float, ramp: float
) -> None:
    bench = Bench(notes="none", siblings="none")
    bench.router.mean_work_ms["big"] = 400.0
    bench.give(api.Members(tuple(replace(m, started_ms=1.0) if m.server == cold else m for m in FLEET)), 1.0)
    for id in range(2000):
        bench.now = 1.0 + 5.0 * id
        for get in gets(bench.ask(id, key=id, name="big", size_kb=400.0)):
            bench.give(api.Outcome(id, 0, get.server, "done", 1.0, True))
    hits = [at for at, get in bench.sent if cold in (get.server, get.source)]
    assert hits
    for start in hits:
        able = weight * (share + (1.0 - share) * start / ramp)
        assert 400.0 * sum(start <= at < start + 1000.0 for at in hits) <= 2.0 * able * 1000.0


def test_gateways_share_the_budget_of_a_cold_parent() -> None:
    counts = []
    for size in (1, 4):
        bench = Bench(group_size=size, siblings="none")
        bench.give(api.Members(tuple(replace(m, started_ms=1.0) for m in FLEET if m.server == "p0")), 1.0)
        for id in range(1000):
            bench.now = 10.0 * id
            for get in gets(bench.ask(id, key=id)):
                bench.end(get, "done", closed=True)
        counts.append(sum(get.source == "p0" for _, get in bench.sent))
    assert 0 < counts[1] < 0.6 * counts[0]


# Rule 5


def test_a_purge_limits_the_age_of_copies_until_all_old_ones_are_gone(bench: Bench) -> None:
    bench.give(api.Purged(1, 5, 80.0), 1000.0)
    bench.give(api.Purged(None, 6, 80.0))
    for key, group in ((1, 5), (2, 6)):
        bench.now = 4000.0
        (get,) = gets(bench.ask(key, key=key, group=group))
        assert 0.0 < get.age_ms <= 4000.0 - 920.0
        (again,) = gets(bench.end(get, "busy"))
        assert 0.0 < again.age_ms <= 4000.0 - 920.0
    (other,) = gets(bench.ask(9, key=3, group=5))
    assert other.age_ms == 0.0


def test_a_purge_is_kept_over_a_sweep_and_dropped_once_it_is_done(bench: Bench) -> None:
    bench.give(api.Purged(1, 5, 0.0), 1000.0)
    bench.give(api.TimerDue("sweep"), 6900.0)
    assert bench.router.purges
    bench.give(api.TimerDue("sweep"), 7500.0)
    assert not bench.router.purges


def test_directory_entries_from_before_a_purge_are_not_used() -> None:
    bench = Bench()
    bench.give(api.PeerMessage(0, api.PeerNote("kept", 9, 0, "d0", 4)), 100.0)
    assert bench.router.next_holder((9, 0), "z1", "c0")
    bench.give(api.Purged(None, 4, 10.0), 200.0)
    assert bench.router.next_holder((9, 0), "z1", "c0") is None


def test_a_cold_parent_is_shared_by_few_of_many_gateways_and_not_starved() -> None:
    """Many routers send to one cold parent: per second at least a tenth of its capacity, at most twice it."""
    routers, sent = 70, [0.0] * 6
    cold = (*FLEET[:4], replace(FLEET[4], started_ms=1.0), *FLEET[6:])
    for number in range(routers):
        bench = Bench(my_number=number, group_size=routers, siblings="none", fall_ms=1000.0)
        bench.router.mean_work_ms = dict.fromkeys(bench.router.mean_work_ms, 400.0)
        bench.give(api.Members(cold, whole=True), 1.0)
        for id in range(100):
            bench.now = 1.0 + 50.0 * id
            for get in gets(bench.ask(id, key=id, size_kb=400.0)):
                sent[int(bench.now // 1000)] += 400.0 * (get.source == "p0")
                bench.end(get, "done", closed=True, note=1)
    for second in range(5):
        able = 30.0 * (0.1 + 0.9 * (second + 0.5) / 20.0) * 1000.0
        assert 0.1 * able < sent[second] <= 2.0 * able


def test_a_cache_that_refused_a_connection_counts_as_cold_until_the_list_announces_its_start() -> None:
    """The cache's process has ended, and it may be back and empty before a late list announces its start."""
    bench = Bench()
    bench.router.mean_work_ms = dict.fromkeys(bench.router.mean_work_ms, 400.0)
    node = bench.router.nodes["c0"]
    assert bench.router.cold_rate(node) == math.inf
    bench.now = 5000.0
    (get,) = gets(bench.ask(1, key=1))
    bench.give(api.Outcome(get.id, 0, get.server, "econnrefused", 1.0))
    refused = bench.router.nodes[get.server]
    assert refused.refused_ms == 5000.0 and bench.router.cold_rate(refused) < math.inf
    refused.failure_score = 0.5
    bench.give(api.Members(FLEET, whole=True), 6000.0)  # the unchanged record has no news
    assert refused.failure_score == 0.5 and bench.router.cold_rate(refused) < math.inf
    told = tuple(replace(m, started_ms=-20_000.0) if m.server == get.server else m for m in FLEET)
    bench.give(api.Members(told, whole=True), 6100.0)  # the announced start takes precedence
    assert refused.refused_ms == 0.0 and bench.router.cold_rate(refused) == math.inf
