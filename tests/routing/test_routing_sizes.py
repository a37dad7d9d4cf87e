"""Sending times, learned where sizes are not stated."""

from dataclasses import replace

from conftest import BASE, CLASSES, Bench
from hypothesis import given
from hypothesis import strategies as st

from hitchtiller import interface as api
from hitchtiller.routing.sizes import MAX_OBJECTS, Sizes

SETTINGS = replace(BASE, notes="all")


def make_request(key: int = 1, name: str = "big", size_kb: float = 0.0, part: int = 0) -> api.Request:
    return api.Request(1, name, key, 5000.0, size_kb, part=part)


def make_outcome(took_ms: float, note: int = 1, waited_ms: float = 0.0, whole: bool = True) -> api.Outcome:
    return api.Outcome(1, 0, "c0", "done", took_ms, True, note, waited_ms, whole=whole)


def test_stated_sizes_are_used_unchanged() -> None:
    sizes = Sizes(SETTINGS)
    assert sizes.estimate(make_request(size_kb=300.0)) == (300.0, True)
    sizes.learn(make_request(size_kb=300.0), make_outcome(9.0), True)
    assert not sizes.work_by_object


def test_the_next_part_of_a_huge_object_is_known_to_be_huge() -> None:
    sizes = Sizes(SETTINGS)
    assert sizes.estimate(make_request()) == (500.0, False)
    sizes.learn(make_request(part=0), make_outcome(4200.0, note=3, waited_ms=200.0), True)
    assert sizes.estimate(make_request(part=1)) == (4000.0, True)


def test_a_wait_for_the_source_is_not_sending_time() -> None:
    sizes = Sizes(SETTINGS)
    sizes.learn(make_request(), make_outcome(900.0, note=2, waited_ms=600.0), True)
    assert sizes.estimate(make_request())[0] == 300.0


def test_a_joined_fill_and_a_confirmed_copy_are_not_learned_from() -> None:
    """Their bytes were already on their way, or were not sent."""
    sizes = Sizes(SETTINGS)
    sizes.learn(make_request(), make_outcome(5.0, note=4, waited_ms=100.0), True)
    sizes.learn(make_request(), make_outcome(5.0, whole=False), True)
    assert sizes.estimate(make_request()) == (500.0, False)


def test_a_fill_whose_wait_is_not_stated_is_not_learned_from() -> None:
    sizes = Sizes(replace(BASE, notes="hit"))
    sizes.learn(make_request(), make_outcome(900.0, note=2), True)
    assert sizes.estimate(make_request()) == (500.0, False)
    sizes.learn(make_request(), make_outcome(300.0, note=1), True)
    assert sizes.estimate(make_request()) == (300.0, True)


def test_a_time_stretched_by_load_is_soon_forgotten() -> None:
    sizes = Sizes(SETTINGS)
    for took_ms in (2000.0, 300.0, 300.0, 300.0):
        sizes.learn(make_request(), make_outcome(took_ms), True)
    assert sizes.estimate(make_request())[0] < 450.0


@given(st.lists(st.floats(0.0, 1e6), max_size=60))
def test_means_stay_within_the_deadline_of_the_class(times_ms: list[float]) -> None:
    sizes = Sizes(SETTINGS)
    for n, took_ms in enumerate(times_ms):
        sizes.learn(make_request(n), make_outcome(took_ms), True)
    assert 0.0 < sizes.mean_work_ms["big"] <= CLASSES["big"].deadline_ms


def test_the_table_is_bounded() -> None:
    sizes = Sizes(SETTINGS)
    for n in range(MAX_OBJECTS + 9):
        sizes.learn(make_request(n), make_outcome(10.0), True)
    assert (
        len(sizes.work_by_object) == MAX_OBJECTS
        and not sizes.estimate(make_request(0))[1]
        and sizes.estimate(make_request(MAX_OBJECTS))[1]
    )


def test_an_effect_is_served_under_load_at_which_others_are_refused() -> None:
    """Without a learned time, 1,170 of 1,264 sign-offs were refused at once on an overloaded day."""
    bench = Bench(notes="all", classes={n: replace(c, aim_stretch=0.0) for n, c in CLASSES.items()})
    for n in range(40):
        bench.ask(n, key=n, name="big", size_kb=0.0, life_ms=5000.0)
    refused = [a for a in bench.ask(50, key=50, name="big", size_kb=0.0) if isinstance(a, api.Refuse)]
    assert refused
    assert [a for a in bench.ask(51, key=51, name="once", size_kb=0.0) if isinstance(a, api.Get)]
