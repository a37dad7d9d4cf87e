"""Parts of membership without a network: claims, messages, gossip, homes, shares, connectivity."""

from itertools import permutations, product

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hitchtiller.codec import notes
from hitchtiller.membership.gossip import Gossip
from hitchtiller.membership.homes import MAX_HANDED_OVER, Homes
from hitchtiller.membership.partition import CUT_WINDOW_MS, SETTLE_MS, Connectivity, PartitionMonitor
from hitchtiller.membership.shares import limit_share, preferred_share, weighted_share
from hitchtiller.membership.view import UNHEARD, MemberClaim, State, View
from hitchtiller.membership.words import (
    MAX_CLAIMS,
    MAX_DATAGRAM_BYTES,
    MembershipMessage,
    MessageKind,
    is_membership_message,
    pack,
    unpack,
)
from hitchtiller.records import hash64

CLAIMS = st.builds(MemberClaim, st.integers(0, 5), st.sampled_from(State))
HISTORIES = st.lists(st.tuples(st.integers(1, 3), CLAIMS), max_size=12)


def merged_claims(history: list[tuple[int, MemberClaim]]) -> dict[int, MemberClaim]:
    view = View(0, 4, 100)
    for number, claim in history:
        view.merge(number, claim, 9, 0.0)
    return view.claims


@given(HISTORIES, st.randoms())
def test_order_and_repetition_of_claims_do_not_change_the_view(
    history: list[tuple[int, MemberClaim]], rng
) -> None:  # type: ignore[no-untyped-def]
    shuffled = history + history[::2]
    rng.shuffle(shuffled)
    assert merged_claims(shuffled) == merged_claims(history)


@given(CLAIMS, CLAIMS, CLAIMS)
def test_the_merge_is_a_maximum(a: MemberClaim, b: MemberClaim, c: MemberClaim) -> None:
    ends = {max(max(x, y), z) for x, y, z in permutations((a, b, c))}
    assert len(ends) == 1 and max(a, a) == a


def test_the_owner_refutes_claims_until_a_later_process_supersedes_it() -> None:
    view = View(0, 3, 100)
    view.merge(0, MemberClaim(100, State.DEAD), 1, 5.0)
    assert view.claims[0] == MemberClaim(101, State.ALIVE) and not view.superseded
    view.merge(0, MemberClaim(900, State.ALIVE), 1, 6.0)
    assert view.superseded
    view.merge(0, MemberClaim(900, State.DEAD), 1, 7.0)
    assert view.claims[0] == MemberClaim(900, State.DEAD)


def test_claims_about_unconfigured_numbers_are_ignored() -> None:
    view = View(0, 3, 100)
    assert not view.merge(7, MemberClaim(5, State.ALIVE), 1, 0.0)
    view.resize(9)
    assert view.merge(7, MemberClaim(5, State.ALIVE), 1, 0.0)
    view.resize(3)
    assert 7 not in view.claims


def test_forget_resets_a_number_to_unheard() -> None:
    view = View(0, 3, 100)
    view.merge(1, MemberClaim(5, State.DEAD), 2, 0.0)
    assert view.forget(1) and view.claims[1] == UNHEARD
    assert not view.forget(0)


MESSAGE = MembershipMessage(
    MessageKind.ACK,
    3,
    77,
    9,
    [(5, MemberClaim(1 << 47, State.SUSPECT), 4), (6, MemberClaim(7, State.LEFT), 6)],
)


def test_messages_fit_a_datagram_and_decode_unchanged() -> None:
    full = MembershipMessage(
        MessageKind.CLAIMS, 1, 2, 3, [(n, MemberClaim(n, State.DEAD), n) for n in range(99)]
    )
    assert len(pack(full, 7)) <= MAX_DATAGRAM_BYTES
    read = unpack(pack(full, 7), 7)
    assert read and read.items == full.items[:MAX_CLAIMS]
    assert unpack(pack(MESSAGE, 7), 7) == MESSAGE


@given(st.integers(0, len(pack(MESSAGE, 7)) - 1), st.integers(1, 255))
def test_an_altered_message_is_dropped(position: int, mask: int) -> None:
    data = bytearray(pack(MESSAGE, 7))
    data[position] ^= mask
    assert unpack(bytes(data), 7) is None


@given(st.binary(max_size=300))
def test_random_bytes_and_messages_of_other_fleets_are_dropped(data: bytes) -> None:
    assert unpack(data, 7) is None
    assert unpack(pack(MESSAGE, 7), 8) is None
    assert unpack(pack(MESSAGE, 7)[:-1], 7) is None


def test_older_versions_drop_membership_messages_and_notes_are_told_apart() -> None:
    assert notes.unpack(pack(MESSAGE, 7)) is None
    assert is_membership_message(pack(MESSAGE, 7)) and not is_membership_message(b"\x00" * 20)


@pytest.mark.parametrize("size", [3, 40, 200, 1000])
def test_each_claim_is_sent_a_bounded_number_of_times(size: int) -> None:
    gossip = Gossip(size)
    for number in range(size):
        gossip.queue(number)
    sent = 0
    while numbers := gossip.next_numbers(MAX_CLAIMS):
        sent += len(numbers)
    assert sent == size * Gossip.max_sends_for(size) and Gossip.max_sends_for(1000) == 30


def test_claims_sent_least_often_go_first() -> None:
    gossip = Gossip(5)
    gossip.queue(1)
    gossip.next_numbers(MAX_CLAIMS)
    gossip.queue(2)
    assert gossip.next_numbers(1) == [2]


def test_only_the_objects_of_a_home_that_left_move() -> None:
    """With the hash modulo the fleet's size, look-ups for a dead home's objects never got an answer."""
    homes, everyone, remaining = Homes(10), set(range(10)), set(range(10)) - {4}
    moved = 0
    for object_hash in range(0, 1 << 62, 1 << 53):
        before, after = homes.home(object_hash, everyone), homes.home(object_hash, remaining)
        assert after != 4 and (before == 4 or before == after)
        moved += before != after
    assert 20 < moved < 90
    assert homes.home(1, set()) in everyone


@given(st.floats(0.1, 1e6), st.lists(st.floats(0.0, 100.0), min_size=1, max_size=60))
def test_weighted_shares_never_sum_to_more_than_the_bound(bound: float, weights: list[float]) -> None:
    assert sum(weighted_share(bound, weights, n) for n in range(len(weights))) <= bound * (1 + 1e-9)


@pytest.mark.parametrize("size", [3, 40, 200])
def test_the_share_of_a_limit_is_the_same_in_every_view(size: int) -> None:
    """Both sides of a network partition believe the other dead; the shares still sum to the bound."""
    assert sum(limit_share(8.0, size) for _ in range(size)) <= 8.0 + 1e-9
    assert preferred_share(range(size // 2), 0) > preferred_share(range(size), 0)


def test_connectivity_tells_deaths_partitions_and_isolation_apart() -> None:
    def assess_once(
        missing: set[int], heard: bool = True, caches: bool = True, bus: bool = True
    ) -> Connectivity:
        return PartitionMonitor().assess(0.0, 9, missing, heard, caches, bus)

    assert assess_once(set()) is Connectivity.WHOLE
    assert assess_once({1}) is Connectivity.DEATHS
    assert assess_once({1, 2, 3}) is Connectivity.CUT
    assert assess_once(set(range(9)), heard=False) is Connectivity.ALONE
    assert assess_once(set(range(9)), heard=False, caches=False, bus=False) is Connectivity.DEAF


def test_deaths_spread_over_time_are_no_partition() -> None:
    monitor = PartitionMonitor()
    for n in range(4):
        now = n * (CUT_WINDOW_MS + 1.0)
        assert monitor.assess(now, 9, set(range(n)), True, True, True) <= Connectivity.DEATHS


def test_flapping_members_do_not_change_the_connectivity_back_and_forth() -> None:
    monitor, seen = PartitionMonitor(), []
    for n in range(20):
        seen.append(monitor.assess(n * 1000.0, 9, {1, 2, 3} if n % 2 else set(), True, True, True))
    assert seen[1:] == [Connectivity.CUT] * 19
    monitor.assess(30_000.0, 9, set(), True, True, True)
    assert monitor.assess(30_000.0 + SETTLE_MS, 9, set(), True, True, True) is Connectivity.WHOLE


def test_all_histories_of_four_claims_end_in_the_same_view() -> None:
    """All sequences of four claims about one number with loss, repetition and reordering: 625."""
    claims = [
        MemberClaim(1, State.ALIVE),
        MemberClaim(1, State.DEAD),
        MemberClaim(2, State.ALIVE),
        MemberClaim(2, State.SUSPECT),
    ]
    seen = 0
    for history in product(range(5), repeat=4):  # 4 stands for a lost claim
        sent = [(1, claims[n]) for n in history if n < 4]
        expected = max([claim for _, claim in sent], default=UNHEARD)
        assert merged_claims(sent)[1] == max(expected, UNHEARD)
        seen += 1
    assert seen == 625


def test_only_the_latest_entries_whose_home_changes_are_handed_over() -> None:
    homes, everyone, remaining = Homes(5), set(range(5)), {0, 1, 3, 4}
    own_entries = [(key, 0) for key in range(600) if homes.home(hash64(key, 0), everyone) == 2]
    moved = homes.moved_entries(own_entries, everyone, remaining)
    assert [item for item, _ in moved] == own_entries[::-1][:MAX_HANDED_OVER] and len(
        own_entries
    ) > MAX_HANDED_OVER
    assert all(home == homes.home(hash64(*item), remaining) for item, home in moved)
    entries = [(key, 0) for key in range(600) if homes.home(hash64(key, 0), remaining) == 1]
    back = homes.moved_entries(entries, remaining, everyone, new_home=2)
    assert back and all(home == 2 for _, home in back)
    assert (
        homes.moved_entries(entries, remaining, everyone, new_home=3) == []
    ), "only gateway 2 has come into service"
