"""The index compared with a dict, through growth, removals and copies for checkpoints."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hitchtiller.store.index import MAX_FILL, SLOT_BYTES, Index, pack_place, unpack_place


@given(st.integers(1, 2**24 - 1), st.integers(0, 2**22 - 1), st.integers(0, 2**13 - 1))
def test_a_place_is_unpacked_as_it_was_packed(segment: int, offset: int, length: int) -> None:
    assert unpack_place(pack_place(segment, offset * 64, length * 64)) == (segment, offset * 64, length * 64)


def test_a_place_out_of_bounds_is_refused() -> None:
    for place in ((1 << 24, 0, 0), (1, 64 << 22, 0), (1, 0, 64 << 13)):
        with pytest.raises(ValueError, match="out of bounds"):
            pack_place(*place)


@pytest.mark.parametrize("seed", range(6))
def test_the_index_matches_a_dict_through_growth_removals_and_copies(seed: int) -> None:
    """Hashes share their low bits, so that runs are long and wrap round the end of a table."""
    rng, index, model = random.Random(seed), Index(), dict[int, int]()
    part_hashes = [
        (rng.getrandbits(40) << 12 | rng.choice((0, 1, 2, 1023, 1022, rng.getrandbits(12)))) or 1
        for _ in range(4000)
    ]
    for step in range(8_000):
        part_hash, draw = rng.choice(part_hashes[: 200 + step // 2]), rng.random()
        if draw < 0.6:
            place = rng.getrandbits(50) + 1
            assert index.put(part_hash, place) == model.get(part_hash, 0)
            model[part_hash] = place
        elif draw < 0.95:
            assert index.pop(part_hash) == model.pop(part_hash, 0)
        elif draw < 0.97:
            old = model.get(part_hash, 0)
            if old:
                assert not index.compare_and_set(part_hash, old + 1, 5) and index.compare_and_set(
                    part_hash, old, 9
                )
                model[part_hash] = 9
        elif index.removed_while_frozen is None:
            index.freeze()
        else:
            index.thaw()
        assert len(index) == len(model)
    for part_hash in part_hashes:
        assert index.get(part_hash) == model.get(part_hash, 0)
    assert dict(index.items()) == model


def test_a_copy_in_slices_has_every_entry_that_existed_throughout() -> None:
    """Guards against a copy that misses entries: removals moved others past the slice being copied."""
    rng, index = random.Random(3), Index()
    part_hashes = [rng.getrandbits(64) | 1 for _ in range(700)]
    for part_hash in part_hashes:
        index.put(part_hash, part_hash >> 10 | 1)
    while index.old_table:
        index.pop(12345)
    assert index.freeze() and not index.freeze()
    slices, removed = [], set[int]()
    while piece := index.snapshot(len(slices) * 64, 64):
        slices.append(piece)
        removed |= {part_hash for part_hash in rng.sample(part_hashes, 20) if index.pop(part_hash)}
    index.thaw()
    loaded = Index()
    loaded.load(memoryview(b"".join(slices)), frozenset(range(1 << 24)))
    for part_hash in part_hashes:
        if part_hash not in removed:
            assert loaded.get(part_hash) == index.get(part_hash) == part_hash >> 10 | 1
        else:
            assert not index.get(part_hash)
    assert len(index) == len(part_hashes) - len(removed)


def test_memory_stays_within_its_limit_and_no_change_moves_many_slots() -> None:
    index = Index()
    for number in range(1, 100_000):
        used = index.old_table.used if index.old_table else 0
        index.put(number * 0x9E3779B97F4A7C15 & (1 << 64) - 1 or 1, number)
        moved = used - (index.old_table.used if index.old_table else 0)
        assert moved <= 64 or index.old_table is None
        if not index.old_table and number > 2000:
            assert SLOT_BYTES / MAX_FILL - 1 <= index.table_bytes / len(index) <= 43
