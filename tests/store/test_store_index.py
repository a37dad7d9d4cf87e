"""The index against a dict, through growth, removals and copies for checkpoints."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hitchtiller.store.index import FULL, SLOT, Index, pack_place, unpack_place


@given(st.integers(1, 2**24 - 1), st.integers(0, 2**22 - 1), st.integers(0, 2**13 - 1))
def test_a_place_is_unpacked_as_it_was_packed(segment: int, offset: int, length: int) -> None:
    assert unpack_place(pack_place(segment, offset * 64, length * 64)) == (segment, offset * 64, length * 64)


def test_a_place_out_of_bounds_is_refused() -> None:
    for place in ((1 << 24, 0, 0), (1, 64 << 22, 0), (1, 0, 64 << 13)):
        with pytest.raises(ValueError, match="out of bounds"):
            pack_place(*place)


@pytest.mark.parametrize("seed", range(6))
def test_it_is_a_dict_through_growth_removals_and_copies(seed: int) -> None:
    """Marks share their low bits, so that runs are long and wrap round the end of a table."""
    rng, index, model = random.Random(seed), Index(), dict[int, int]()
    marks = [
        (rng.getrandbits(40) << 12 | rng.choice((0, 1, 2, 1023, 1022, rng.getrandbits(12)))) or 1
        for _ in range(4000)
    ]
    for step in range(8_000):
        mark, draw = rng.choice(marks[: 200 + step // 2]), rng.random()
        if draw < 0.6:
            place = rng.getrandbits(50) + 1
            assert index.put(mark, place) == model.get(mark, 0)
            model[mark] = place
        elif draw < 0.95:
            assert index.pop(mark) == model.pop(mark, 0)
        elif draw < 0.97:
            old = model.get(mark, 0)
            if old:
                assert not index.swap(mark, old + 1, 5) and index.swap(mark, old, 9)
                model[mark] = 9
        elif index.frozen is None:
            index.freeze()
        else:
            index.thaw()
        assert len(index) == len(model)
    for mark in marks:
        assert index.get(mark) == model.get(mark, 0)
    assert dict(index.items()) == model


def test_a_copy_in_slices_has_all_that_was_there_when_it_began_and_stayed() -> None:
    """Taking entries out moved others past the slice that was being copied."""
    rng, index = random.Random(3), Index()
    marks = [rng.getrandbits(64) | 1 for _ in range(700)]
    for mark in marks:
        index.put(mark, mark >> 10 | 1)
    while index.old:
        index.pop(12345)
    assert index.freeze() and not index.freeze()
    slices, gone = [], set[int]()
    while piece := index.snapshot(len(slices) * 64, 64):
        slices.append(piece)
        gone |= {mark for mark in rng.sample(marks, 20) if index.pop(mark)}
    index.thaw()
    fresh = Index()
    fresh.load(memoryview(b"".join(slices)), frozenset(range(1 << 24)))
    for mark in marks:
        if mark not in gone:
            assert fresh.get(mark) == index.get(mark) == mark >> 10 | 1
        else:
            assert not index.get(mark)
    assert len(index) == len(marks) - len(gone)


def test_memory_stays_under_the_bound_and_no_change_moves_much() -> None:
    index = Index()
    for number in range(1, 100_000):
        used = index.old.used if index.old else 0
        index.put(number * 0x9E3779B97F4A7C15 & (1 << 64) - 1 or 1, number)
        moved = used - (index.old.used if index.old else 0)
        assert moved <= 64 or index.old is None
        if not index.old and number > 2000:
            assert SLOT / FULL - 1 <= index.room / len(index) <= 43
