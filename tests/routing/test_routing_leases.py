"""Leases on the origin, one note at a time: each order of events that could grant one permit twice."""

from dataclasses import replace
from random import Random

import pytest
from conftest import BASE, FLEET, Bench, gets

from hitchtiller import interface as api
from hitchtiller.codec.notes import pack, unpack
from hitchtiller.decide import MAX_ORIGIN_FILLS
from hitchtiller.interface import LeaseKind, LeaseNote
from hitchtiller.routing.leases import CLOCK_MARGIN_MS, IDLE_MS, RETRY_MS, OriginLeases

START_MS, FLEET_SIZE = 1_000_000.0, 200


def make_leases(number: int, start_ms: float = START_MS, settled: bool = True) -> OriginLeases:
    """Create one gateway's leases in a fleet of FLEET_SIZE; a settled gateway is past its first term."""
    gateway = OriginLeases(replace(BASE, my_number=number, group_size=FLEET_SIZE), MAX_ORIGIN_FILLS)
    gateway.start(start_ms)
    if settled:
        gateway.grants_from_ms = start_ms
    return gateway


def send_request(holder: OriginLeases, now_ms: float) -> tuple[int, LeaseNote]:
    """Have a gateway request a lease; return the owner's number and the note."""
    ((owner, note),) = holder.request_lease(now_ms)
    return owner, note


def grant_lease(holder: OriginLeases, now_ms: float = START_MS) -> OriginLeases:
    """Grant a gateway the permit of the owner that it asks, and return that owner."""
    number, note = send_request(holder, now_ms)
    owner = make_leases(number)
    ((_, answer),) = owner.receive(holder.number, note, now_ms)
    assert answer.kind is LeaseKind.GRANT
    assert holder.receive(number, answer, now_ms) == []
    return owner


def is_denied(owner: OriginLeases, sender: int, now_ms: float, incarnation: int = 7) -> bool:
    """Send an owner the request of another gateway, and return whether it was denied."""
    ((_, answer),) = owner.receive(sender, LeaseNote(LeaseKind.REQUEST, incarnation, 1), now_ms)
    return answer.kind is LeaseKind.DENIAL


def test_small_fleets_have_a_fixed_number_of_fills_and_send_no_notes() -> None:
    for size in (1, 3, 9, MAX_ORIGIN_FILLS):
        gateway = OriginLeases(replace(BASE, group_size=size), MAX_ORIGIN_FILLS)
        fills = 0
        while gateway.may_begin(START_MS, 0.0):
            gateway.record_fill_start(0.0)
            fills += 1
        assert fills == MAX_ORIGIN_FILLS // size
        assert gateway.request_lease(0.0) == []


def test_one_fill_at_a_time_under_a_lease_and_none_that_could_outlast_it() -> None:
    holder = make_leases(100)
    assert not holder.may_begin(START_MS + 5_000.0, START_MS)
    grant_lease(holder)
    expires_ms = START_MS + holder.term_ms - CLOCK_MARGIN_MS
    assert holder.may_begin(expires_ms, START_MS + 1.0)
    assert not holder.may_begin(expires_ms + 1.0, START_MS + 1.0)
    holder.record_fill_start(START_MS + 1.0)
    assert not holder.may_begin(START_MS + 5_000.0, START_MS + 2.0)
    holder.record_fill_end(START_MS + 3.0)
    assert holder.may_begin(START_MS + 5_000.0, START_MS + 4.0)


def test_a_permit_is_granted_to_one_holder_until_it_is_returned_or_expires() -> None:
    holder = make_leases(100)
    owner = grant_lease(holder)
    assert is_denied(owner, 101, START_MS + holder.term_ms - 1.0)
    ((recipient, returned),) = holder.tick(START_MS + IDLE_MS)
    assert recipient == owner.number and returned.kind is LeaseKind.RETURN
    owner.receive(100, returned, START_MS + IDLE_MS)
    assert not is_denied(owner, 101, START_MS + IDLE_MS)
    assert is_denied(owner, 102, START_MS + IDLE_MS + owner.term_ms - 1.0)
    assert not is_denied(owner, 102, START_MS + IDLE_MS + owner.term_ms)


def test_a_lease_counts_from_its_request_and_ends_at_the_holder_before_the_owner() -> None:
    holder = make_leases(100)
    number, note = send_request(holder, START_MS)
    owner = make_leases(number)
    ((_, answer),) = owner.receive(100, note, START_MS + 90.0)
    holder.receive(number, answer, START_MS + 180.0)
    assert holder.held_lease and owner.granted_lease
    assert holder.held_lease.expires_ms <= owner.granted_lease.expires_ms - CLOCK_MARGIN_MS


def test_an_owner_that_has_just_started_grants_nothing_for_a_term_not_even_to_itself() -> None:
    """A lease that its previous process granted may still be held."""
    owner = make_leases(3, settled=False)
    assert is_denied(owner, 100, START_MS + owner.term_ms - 1.0)
    messages = owner.request_lease(START_MS + 1.0)
    assert owner.held_lease is None and [recipient for recipient, _ in messages] != [3]
    assert not is_denied(owner, 100, START_MS + owner.term_ms)


def test_a_restarted_holder_neither_uses_nor_returns_its_previous_lease() -> None:
    """Fills of its previous process may still run at the origin."""
    holder = make_leases(100)
    owner = grant_lease(holder)
    restarted = make_leases(100, START_MS + 500.0)
    assert is_denied(owner, 100, START_MS + 600.0, restarted.incarnation)
    late_grant = LeaseNote(LeaseKind.GRANT, holder.incarnation, holder.sequence)
    assert restarted.receive(owner.number, late_grant, START_MS + 700.0) == []
    assert restarted.held_lease is None
    returned = LeaseNote(LeaseKind.RETURN, restarted.incarnation, holder.sequence)
    owner.receive(100, returned, START_MS + 800.0)
    assert is_denied(owner, 101, START_MS + 900.0)


def test_a_grant_that_comes_after_its_request_was_given_up_is_returned_and_not_used() -> None:
    holder = make_leases(100)
    number, note = send_request(holder, START_MS)
    owner = make_leases(number)
    ((_, answer),) = owner.receive(100, note, START_MS + 10.0)
    holder.tick(START_MS + RETRY_MS + 1.0)
    ((recipient, returned),) = holder.receive(number, answer, START_MS + RETRY_MS + 2.0)
    assert recipient == number and returned.kind is LeaseKind.RETURN and holder.held_lease is None
    owner.receive(100, returned, START_MS + RETRY_MS + 3.0)
    assert not is_denied(owner, 101, START_MS + RETRY_MS + 4.0)


def test_a_grant_of_an_earlier_request_does_not_answer_the_pending_one() -> None:
    """The owner counts from the earlier request, so the holder's lease would end after the owner's."""
    holder = make_leases(100)
    first_owner, first_request = send_request(holder, START_MS)
    holder.tick(START_MS + RETRY_MS + 1.0)
    later_ms = START_MS + 1_000.0
    second_owner, second_request = send_request(holder, later_ms)
    late_grant = replace(first_request, kind=LeaseKind.GRANT)
    ((recipient, returned),) = holder.receive(first_owner, late_grant, later_ms + 1.0)
    assert recipient == first_owner and returned == replace(first_request, kind=LeaseKind.RETURN)
    other_owner = (second_owner + 1) % MAX_ORIGIN_FILLS
    grant = replace(second_request, kind=LeaseKind.GRANT)
    ((recipient, _),) = holder.receive(other_owner, grant, later_ms + 2.0)
    assert recipient == other_owner and holder.held_lease is None
    assert holder.receive(second_owner, grant, later_ms + 3.0) == [] and holder.held_lease is not None


def test_a_duplicate_request_or_grant_grants_and_returns_nothing_more() -> None:
    holder = make_leases(100)
    number, note = send_request(holder, START_MS)
    owner = make_leases(number)
    ((_, first_answer),) = owner.receive(100, note, START_MS)
    assert owner.granted_lease
    expires_ms = owner.granted_lease.expires_ms
    ((_, second_answer),) = owner.receive(100, note, START_MS + 50.0)
    assert (first_answer, owner.granted_lease.expires_ms) == (second_answer, expires_ms)
    assert holder.receive(number, first_answer, START_MS + 60.0) == []
    assert holder.receive(number, second_answer, START_MS + 70.0) == []
    assert holder.held_lease and is_denied(owner, 101, START_MS + 80.0)


def test_a_clock_that_is_set_back_ends_the_lease() -> None:
    holder = make_leases(100)
    grant_lease(holder)
    assert holder.may_begin(START_MS + 5_000.0, START_MS + 100.0)
    assert not holder.may_begin(START_MS + 1_000.0, START_MS - 3_000.0)


def test_a_gateway_without_a_permit_grants_nothing() -> None:
    assert is_denied(make_leases(MAX_ORIGIN_FILLS), 100, START_MS + 60_000.0)


def test_a_lease_with_a_fill_in_flight_is_not_returned() -> None:
    holder = make_leases(100)
    grant_lease(holder)
    holder.record_fill_start(START_MS + 1.0)
    assert holder.tick(START_MS + 3.0 * IDLE_MS) == []
    holder.record_fill_end(START_MS + 4.0 * IDLE_MS)
    assert len(holder.tick(START_MS + 5.0 * IDLE_MS)) == 1


def test_without_notes_between_gateways_owners_use_their_own_permits_and_others_none() -> None:
    settings = replace(BASE, group_size=FLEET_SIZE, peers=False)
    owner = OriginLeases(replace(settings, my_number=3), MAX_ORIGIN_FILLS)
    other = OriginLeases(replace(settings, my_number=100), MAX_ORIGIN_FILLS)
    for gateway in (owner, other):
        gateway.start(START_MS - gateway.term_ms)
        assert gateway.request_lease(START_MS) == []
    assert owner.may_begin(START_MS + 5_000.0, START_MS)
    assert not other.may_begin(START_MS + 5_000.0, START_MS)


@pytest.mark.parametrize("kind", list(LeaseKind))
def test_lease_notes_are_unpacked_as_they_were_packed(kind: LeaseKind) -> None:
    note = LeaseNote(kind, 1_764_576_000_123, 0xFFFF, 1_999.0)
    data = pack(note)
    assert unpack(data) == note
    assert all(unpack(data[:size]) is None for size in range(4, len(data)))
    assert unpack(data + b"x") is None


def test_random_bytes_are_never_an_error() -> None:
    rng = Random(5)
    for _ in range(2_000):
        unpack(rng.randbytes(rng.randrange(24)))


# Through the router


def gateway_without_parents(number: int = 100) -> Bench:
    """Create a gateway of a large fleet whose misses only the origin can fill."""
    bench = Bench(
        my_number=number, group_size=FLEET_SIZE, gateways_in_zone=(0, FLEET_SIZE, 0), siblings="none"
    )
    bench.give(api.Members(tuple(m for m in FLEET if m.kind != "parent"), whole=True), START_MS)
    return bench


def lease_notes(actions: list[api.Action]) -> list[api.SendNote]:
    return [a for a in actions if isinstance(a, api.SendNote) and isinstance(a.note, LeaseNote)]


def wait_for_lease(bench: Bench) -> tuple[api.SendNote, api.Get]:
    """Have a miss wait for a lease; return the note that requests it, and the look-up that missed."""
    actions = bench.ask(1, key=1, size_kb=1.0)
    (request,), (lookup,) = lease_notes(actions), gets(actions)
    assert lookup.source == lookup.server
    assert bench.end(lookup, "enoent") == []
    return request, lookup


def test_a_miss_waits_for_its_lease_and_is_filled_under_it() -> None:
    bench = gateway_without_parents()
    request, _ = wait_for_lease(bench)
    assert isinstance(request.note, LeaseNote)
    grant = replace(request.note, kind=LeaseKind.GRANT)
    (fill,) = gets(bench.give(api.PeerMessage(request.peer, grant), START_MS + 20.0))
    assert fill.source == "o"
    assert bench.router.recheck_send(1, 1, START_MS + 25.0) is not None


def test_a_miss_whose_lease_came_before_its_look_up_ended_is_filled_under_it() -> None:
    """When the owner answered before the cache did, the miss was refused although the lease was held."""
    bench = gateway_without_parents()
    actions = bench.ask(1, key=1, size_kb=1.0)
    (request,), (lookup,) = lease_notes(actions), gets(actions)
    assert isinstance(request.note, LeaseNote)
    assert bench.give(api.PeerMessage(request.peer, replace(request.note, kind=LeaseKind.GRANT))) == []
    (fill,) = gets(bench.end(lookup, "enoent"))
    assert fill.source == "o"


def test_a_miss_whose_lease_is_denied_is_refused_at_once() -> None:
    bench = gateway_without_parents()
    request, _ = wait_for_lease(bench)
    assert isinstance(request.note, LeaseNote)
    denial = replace(request.note, kind=LeaseKind.DENIAL, wait_ms=500.0)
    (refused,) = bench.give(api.PeerMessage(request.peer, denial), START_MS + 20.0)
    assert isinstance(refused, api.Refuse) and bench.router.open_requests == {}


def test_a_miss_whose_owner_does_not_answer_is_refused_after_a_timeout() -> None:
    bench = gateway_without_parents()
    wait_for_lease(bench)
    assert not any(isinstance(a, api.Refuse) for a in bench.give(api.TimerDue("sweep"), START_MS + RETRY_MS))
    actions = bench.give(api.TimerDue("sweep"), START_MS + RETRY_MS + 1.0)
    assert [a.id for a in actions if isinstance(a, api.Refuse)] == [1]


def test_one_of_the_waiting_misses_is_filled_and_a_client_that_left_is_forgotten() -> None:
    bench = gateway_without_parents()
    request, _ = wait_for_lease(bench)
    assert isinstance(request.note, LeaseNote)
    for id in (2, 3):
        (lookup,) = gets(bench.ask(id, key=id, size_kb=1.0))
        assert bench.end(lookup, "enoent") == []
    bench.give(api.ClientLeft(1))
    grant = replace(request.note, kind=LeaseKind.GRANT)
    actions = bench.give(api.PeerMessage(request.peer, grant), START_MS + 20.0)
    assert [g.id for g in gets(actions)] == [2]
    assert [a.id for a in actions if isinstance(a, api.Refuse)] == [3]


def test_a_fill_decided_before_a_suspension_is_not_sent_once_its_lease_has_expired() -> None:
    bench = gateway_without_parents()
    request, _ = wait_for_lease(bench)
    assert isinstance(request.note, LeaseNote)
    grant = replace(request.note, kind=LeaseKind.GRANT)
    assert gets(bench.give(api.PeerMessage(request.peer, grant), START_MS + 20.0))
    bench.router.leases.held_lease = None  # as if it had expired while the process was suspended
    assert bench.router.recheck_send(1, 1, START_MS + 30.0) is None
