"""Sending times, learned where sizes are not stated."""

from dataclasses import replace

from conftest import BASE, CLASSES, Bench
from hypothesis import given
from hypothesis import strategies as st

from hitchtiller import interface as api
from hitchtiller.routing.sizes import MAX_OBJECTS, Sizes

ALL = replace(BASE, notes="all")


def ask(key: int = 1, name: str = "big", size_kb: float = 0.0, part: int = 0) -> api.Request:
    return api.Request(1, name, key, 5000.0, size_kb, part=part)


def end(took: float, note: int = 1, waited: float = 0.0, whole: bool = True) -> api.Outcome:
    return api.Outcome(1, 0, "c0", "done", took, True, note, waited, whole=whole)


def test_told_sizes_are_taken_as_told() -> None:
    sizes = Sizes(ALL)
    assert sizes.estimate(ask(size_kb=300.0)) == (300.0, True)
    sizes.learn(ask(size_kb=300.0), end(9.0), True)
    assert not sizes.work_by_object


def test_the_next_part_of_a_huge_object_is_known_to_be_huge() -> None:
    sizes = Sizes(ALL)
    assert sizes.estimate(ask()) == (500.0, False)
    sizes.learn(ask(part=0), end(4200.0, note=3, waited=200.0), True)
    assert sizes.estimate(ask(part=1)) == (4000.0, True)


def test_a_wait_for_the_source_is_no_sending_time() -> None:
    sizes = Sizes(ALL)
    sizes.learn(ask(), end(900.0, note=2, waited=600.0), True)
    assert sizes.estimate(ask())[0] == 300.0


def test_a_joined_fill_and_a_confirmed_copy_teach_nothing() -> None:
    """Their bytes were already on their way, or were not sent."""
    sizes = Sizes(ALL)
    sizes.learn(ask(), end(5.0, note=4, waited=100.0), True)
    sizes.learn(ask(), end(5.0, whole=False), True)
    assert sizes.estimate(ask()) == (500.0, False)


def test_a_wait_that_is_not_told_is_not_taken_for_sending() -> None:
    sizes = Sizes(replace(BASE, notes="hit"))
    sizes.learn(ask(), end(900.0, note=2), True)
    assert sizes.estimate(ask()) == (500.0, False)
    sizes.learn(ask(), end(300.0, note=1), True)
    assert sizes.estimate(ask()) == (300.0, True)


def test_a_crowds_stretch_is_forgotten_soon() -> None:
    sizes = Sizes(ALL)
    for took in (2000.0, 300.0, 300.0, 300.0):
        sizes.learn(ask(), end(took), True)
    assert sizes.estimate(ask())[0] < 450.0


@given(st.lists(st.floats(0.0, 1e6), max_size=60))
def test_means_stay_within_what_a_client_waits(times: list[float]) -> None:
    sizes = Sizes(ALL)
    for n, took in enumerate(times):
        sizes.learn(ask(n), end(took), True)
    assert 0.0 < sizes.mean["big"] <= CLASSES["big"].deadline_ms


def test_the_table_is_bounded() -> None:
    sizes = Sizes(ALL)
    for n in range(MAX_OBJECTS + 9):
        sizes.learn(ask(n), end(10.0), True)
    assert (
        len(sizes.work_by_object) == MAX_OBJECTS
        and not sizes.estimate(ask(0))[1]
        and sizes.estimate(ask(MAX_OBJECTS))[1]
    )


def test_an_effect_is_served_in_a_crowd_that_ends_others() -> None:
    """Without a learned time, 1,170 of 1,264 sign-offs were refused at once on an overloaded day."""
    bench = Bench(notes="all", classes={n: replace(c, aim_stretch=0.0) for n, c in CLASSES.items()})
    for n in range(40):
        bench.ask(n, key=n, name="big", size_kb=0.0, life_ms=5000.0)
    refused = [a for a in bench.ask(50, key=50, name="big", size_kb=0.0) if isinstance(a, api.Refuse)]
    assert refused
    assert [a for a in bench.ask(51, key=51, name="once", size_kb=0.0) if isinstance(a, api.Get)]
