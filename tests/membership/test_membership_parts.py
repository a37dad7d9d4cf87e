"""The parts of membership without a network: claims, words, gossip, homes, shares, standing."""

from itertools import permutations, product

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hitchtiller.codec import notes
from hitchtiller.membership.gossip import Gossip
from hitchtiller.membership.homes import MAX_HANDED_OVER, Homes
from hitchtiller.membership.partition import CUT_WINDOW_MS, SETTLE_MS, Connectivity, PartitionMonitor
from hitchtiller.membership.shares import limit_share, preferred_share, weighted_share
from hitchtiller.membership.view import UNHEARD, Claim, State, View
from hitchtiller.membership.words import (
    MAX_CLAIMS,
    MAX_DATAGRAM_BYTES,
    Kind,
    MembershipMessage,
    is_membership_message,
    pack,
    unpack,
)
from hitchtiller.records import hash64

CLAIMS = st.builds(Claim, st.integers(0, 5), st.sampled_from(State))
SAYINGS = st.lists(st.tuples(st.integers(1, 3), CLAIMS), max_size=12)


def view_of(sayings: list[tuple[int, Claim]]) -> dict[int, Claim]:
    view = View(0, 4, 100)
    for number, claim in sayings:
        view.merge(number, claim, 9, 0.0)
    return view.claims


@given(SAYINGS, st.randoms())
def test_any_order_and_any_repeat_end_in_one_view(sayings: list[tuple[int, Claim]], rng) -> None:  # type: ignore[no-untyped-def]
    mixed = sayings + sayings[::2]
    rng.shuffle(mixed)
    assert view_of(mixed) == view_of(sayings)


@given(CLAIMS, CLAIMS, CLAIMS)
def test_the_merge_is_a_maximum(a: Claim, b: Claim, c: Claim) -> None:
    ends = {max(max(x, y), z) for x, y, z in permutations((a, b, c))}
    assert len(ends) == 1 and max(a, a) == a


def test_only_its_owner_refutes_and_a_later_process_supersedes() -> None:
    view = View(0, 3, 100)
    view.merge(0, Claim(100, State.DEAD), 1, 5.0)
    assert view.claims[0] == Claim(101, State.ALIVE) and not view.superseded
    view.merge(0, Claim(900, State.ALIVE), 1, 6.0)
    assert view.superseded
    view.merge(0, Claim(900, State.DEAD), 1, 7.0)
    assert view.claims[0] == Claim(900, State.DEAD)


def test_a_number_that_the_configuration_does_not_know_is_not_taken_in() -> None:
    view = View(0, 3, 100)
    assert not view.merge(7, Claim(5, State.ALIVE), 1, 0.0)
    view.resize(9)
    assert view.merge(7, Claim(5, State.ALIVE), 1, 0.0)
    view.resize(3)
    assert 7 not in view.claims


def test_forgetting_makes_a_number_unheard_of() -> None:
    view = View(0, 3, 100)
    view.merge(1, Claim(5, State.DEAD), 2, 0.0)
    assert view.forget(1) and view.claims[1] == UNHEARD
    assert not view.forget(0)


WORD = MembershipMessage(
    Kind.ACK, 3, 77, 9, [(5, Claim(1 << 47, State.SUSPECT), 4), (6, Claim(7, State.LEFT), 6)]
)


def test_words_fit_a_datagram_and_come_back() -> None:
    full = MembershipMessage(Kind.TELL, 1, 2, 3, [(n, Claim(n, State.DEAD), n) for n in range(99)])
    assert len(pack(full, 7)) <= MAX_DATAGRAM_BYTES
    read = unpack(pack(full, 7), 7)
    assert read and read.items == full.items[:MAX_CLAIMS]
    assert unpack(pack(WORD, 7), 7) == WORD


@given(st.integers(0, len(pack(WORD, 7)) - 1), st.integers(1, 255))
def test_an_altered_word_is_dropped(place: int, flip: int) -> None:
    data = bytearray(pack(WORD, 7))
    data[place] ^= flip
    assert unpack(bytes(data), 7) is None


@given(st.binary(max_size=300))
def test_random_bytes_and_other_fleets_are_dropped(data: bytes) -> None:
    assert unpack(data, 7) is None
    assert unpack(pack(WORD, 7), 8) is None
    assert unpack(pack(WORD, 7)[:-1], 7) is None


def test_an_older_neighbour_drops_words_and_a_note_is_no_word() -> None:
    assert notes.unpack(pack(WORD, 7)) is None
    assert is_membership_message(pack(WORD, 7)) and not is_membership_message(b"\x00" * 20)


@pytest.mark.parametrize("size", [3, 40, 200, 1000])
def test_each_claim_is_told_a_bounded_number_of_times(size: int) -> None:
    gossip = Gossip(size)
    for number in range(size):
        gossip.queue(number)
    told = 0
    while numbers := gossip.next_numbers(MAX_CLAIMS):
        told += len(numbers)
    assert told == size * Gossip.max_sends_for(size) and Gossip.max_sends_for(1000) == 30


def test_what_was_told_least_often_goes_first() -> None:
    gossip = Gossip(5)
    gossip.queue(1)
    gossip.next_numbers(MAX_CLAIMS)
    gossip.queue(2)
    assert gossip.next_numbers(1) == [2]


def test_a_home_that_left_moves_its_own_objects_and_no_others() -> None:
    """With a remainder all look-ups for a dead home's objects waited in vain."""
    homes, all_, rest = Homes(10), set(range(10)), set(range(10)) - {4}
    moved = 0
    for hashed in range(0, 1 << 62, 1 << 53):
        before, after = homes.home(hashed, all_), homes.home(hashed, rest)
        assert after != 4 and (before == 4 or before == after)
        moved += before != after
    assert 20 < moved < 90
    assert homes.home(1, set()) in all_


@given(st.floats(0.1, 1e6), st.lists(st.floats(0.0, 100.0), min_size=1, max_size=60))
def test_weighed_shares_never_sum_to_more_than_the_bound(bound: float, weights: list[float]) -> None:
    assert sum(weighted_share(bound, weights, n) for n in range(len(weights))) <= bound * (1 + 1e-9)


@pytest.mark.parametrize("size", [3, 40, 200])
def test_a_rules_share_is_the_same_in_every_view(size: int) -> None:
    """Both sides of a cut think the other dead: their sum still is the bound."""
    assert sum(limit_share(8.0, size) for _ in range(size)) <= 8.0 + 1e-9
    assert preferred_share(range(size // 2), 0) > preferred_share(range(size), 0)


def test_standing_names_deaths_cuts_and_being_alone() -> None:
    def look(missing: set[int], heard: bool = True, caches: bool = True, bus: bool = True) -> Connectivity:
        return PartitionMonitor().assess(0.0, 9, missing, heard, caches, bus)

    assert look(set()) is Connectivity.WHOLE
    assert look({1}) is Connectivity.DEATHS
    assert look({1, 2, 3}) is Connectivity.CUT
    assert look(set(range(9)), heard=False) is Connectivity.ALONE
    assert look(set(range(9)), heard=False, caches=False, bus=False) is Connectivity.DEAF


def test_deaths_one_by_one_are_no_cut() -> None:
    partition = PartitionMonitor()
    for n in range(4):
        now = n * (CUT_WINDOW_MS + 1.0)
        assert partition.assess(now, 9, set(range(n)), True, True, True) <= Connectivity.DEATHS


def test_a_flapping_member_moves_nothing_back_and_forth() -> None:
    partition, seen = PartitionMonitor(), []
    for n in range(20):
        seen.append(partition.assess(n * 1000.0, 9, {1, 2, 3} if n % 2 else set(), True, True, True))
    assert seen[1:] == [Connectivity.CUT] * 19
    partition.assess(30_000.0, 9, set(), True, True, True)
    assert partition.assess(30_000.0 + SETTLE_MS, 9, set(), True, True, True) is Connectivity.WHOLE


def test_all_interleavings_of_two_claims_on_three_numbers_end_alike() -> None:
    """Loss, repeat and order of four claims on one number, all of them: 625 histories with repeats."""
    claims = [Claim(1, State.ALIVE), Claim(1, State.DEAD), Claim(2, State.ALIVE), Claim(2, State.SUSPECT)]
    seen = 0
    for history in product(range(5), repeat=4):  # 4 stands for a lost one
        told = [(1, claims[n]) for n in history if n < 4]
        expected = max([claim for _, claim in told], default=UNHEARD)
        assert view_of(told)[1] == max(expected, UNHEARD)
        seen += 1
    assert seen == 625


def test_the_latest_entries_whose_home_changes_are_handed_over_and_no_others() -> None:
    homes, all_of, rest = Homes(5), set(range(5)), {0, 1, 3, 4}
    mine = [(key, 0) for key in range(600) if homes.home(hash64(key, 0), all_of) == 2]
    moved = homes.moved_entries(mine, all_of, rest)
    assert [item for item, _ in moved] == mine[::-1][:MAX_HANDED_OVER] and len(mine) > MAX_HANDED_OVER
    assert all(home == homes.home(hash64(*item), rest) for item, home in moved)
    theirs = [(key, 0) for key in range(600) if homes.home(hash64(key, 0), rest) == 1]
    back = homes.moved_entries(theirs, rest, all_of, new_home=2)
    assert back and all(home == 2 for _, home in back)
    assert homes.moved_entries(theirs, rest, all_of, new_home=3) == [], "nobody but 2 came"
