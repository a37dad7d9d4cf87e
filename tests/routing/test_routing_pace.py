"""A server's stretch, and the decisions that use it."""

from dataclasses import replace

from conftest import BASE, Bench, gets
from hypothesis import given
from hypothesis import strategies as st

from hitchtiller import interface as api
from hitchtiller.routing.pace import DECAY_MS, MAX_STRETCH, Pace
from hitchtiller.routing.sizes import Sizes


def test_the_stretch_follows_the_answers_and_decays() -> None:
    pace = Pace()
    assert pace.current(0.0) == 1.0
    for n in range(12):
        pace.record(float(n), 9.0)
    assert 8.0 < pace.current(12.0) <= 9.0
    assert pace.current(12.0 + 5 * DECAY_MS) < 1.1


@given(st.lists(st.tuples(st.floats(0.0, 1e7), st.floats(-9.0, 1e6)), max_size=50))
def test_the_stretch_is_bounded(answers: list[tuple[float, float]]) -> None:
    pace, now = Pace(), 0.0
    for delay_ms, stretch in answers:
        now += delay_ms
        pace.record(now, stretch)
    assert 1.0 <= pace.current(now) <= MAX_STRETCH


def serve_requests(bench: Bench, server: str, took_ms: float, note: int = 1) -> None:
    """Have ten requests of 100 ms served by `server` in `took_ms` each, as hits or with another note."""
    for n in range(10):
        for id in range(100 * n + 100, 100 * n + 200):  # until one is sent to the server
            (get,) = gets(bench.ask(id, key=id, size_kb=100.0, life_ms=3000.0))
            is_target = get.server == server
            bench.now += took_ms if is_target else 0.0
            bench.give(
                api.Outcome(id, 0, get.server, "done", took_ms if is_target else 100.0, True, note=note)
            )
            if is_target:
                break


def count_served_by(bench: Bench, server: str) -> int:
    """Return how many of 60 requests are sent to `server`."""
    count = 0
    for id in range(5000, 5060):
        for get in gets(bench.ask(id, key=id, size_kb=100.0, life_ms=3000.0)):
            count += get.server == server
            bench.give(api.Outcome(id, 0, get.server, "done", 100.0, True, note=0))
    return count


def test_a_cache_that_became_slow_is_avoided() -> None:
    """Two caches at 9 to 19 times their usual time kept 11 to 18 requests in flight for 25 s."""
    bench = Bench(notes="all")
    before = count_served_by(bench, "c0")
    serve_requests(bench, "c0", 1500.0)
    assert before > 5
    assert count_served_by(bench, "c0") == 0
    bench.now += 5 * DECAY_MS
    assert count_served_by(bench, "c0") > 5


def test_a_slow_fill_does_not_change_the_stretch_of_its_cache() -> None:
    bench = Bench(notes="all")
    serve_requests(bench, "c0", 1500.0, note=2)
    assert bench.router.nodes["c0"].pace.current(bench.now) == 1.0


def test_answers_of_a_slow_cache_do_not_lengthen_sending_times() -> None:
    """An object whose time was learned at a slow cache was refused at the fast caches too."""
    sizes, request = Sizes(replace(BASE, notes="all")), api.Request(1, "big", 1, 5000.0)
    sizes.learn(request, api.Outcome(1, 0, "c0", "done", 2700.0, True, note=1), True, stretch=9.0)
    assert sizes.estimate(request) == (300.0, True)
