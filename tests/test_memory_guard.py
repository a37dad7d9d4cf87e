"""What connections may hold while the resident memory of the process nears its limit."""

from unittest.mock import patch

from hitchtiller.account import Holding, Kind
from hitchtiller.limits import MIN_BUFFER_SHARE, RESIDENT_SHARE, allowed_bytes, buffer_bytes
from hitchtiller.ops.memory_guard import TRIM_AFTER_S, MemoryGuard
from hitchtiller.sched import Scheduler

MEMORY_MB = 64.0
BASE_BYTES = buffer_bytes(MEMORY_MB, two_processes=False)
LIMIT_BYTES = MEMORY_MB * 1e6


def make_guard(resident_bytes: int) -> tuple[MemoryGuard, list[str]]:
    """Return a guard whose process has this resident memory, and a list of its calls for less room."""
    calls = list[str]()
    guard = MemoryGuard(Scheduler(), MEMORY_MB, lambda: calls.append("less"))
    guard.resident_bytes = lambda: resident_bytes
    calls.clear()
    return guard, calls


def test_far_from_the_limit_connections_have_their_whole_share() -> None:
    assert allowed_bytes(BASE_BYTES, 0, int(0.5 * LIMIT_BYTES), LIMIT_BYTES) == BASE_BYTES


def test_near_the_limit_connections_may_hold_no_more_than_they_do() -> None:
    held_bytes = int(0.8 * BASE_BYTES)
    resident_bytes = int(RESIDENT_SHARE * LIMIT_BYTES)
    assert allowed_bytes(BASE_BYTES, held_bytes, resident_bytes, LIMIT_BYTES) == held_bytes


def test_a_part_is_always_left_to_connections() -> None:
    assert allowed_bytes(BASE_BYTES, 0, int(LIMIT_BYTES), LIMIT_BYTES) == int(MIN_BUFFER_SHARE * BASE_BYTES)


def test_the_guard_asks_for_room_once_connections_may_hold_less_and_gives_it_back() -> None:
    guard, calls = make_guard(int(LIMIT_BYTES))
    guard.check(0.0)
    assert guard.account.limit_bytes == int(MIN_BUFFER_SHARE * BASE_BYTES) and calls == ["less"]
    guard.resident_bytes = lambda: 0
    guard.check(0.1)
    assert guard.account.limit_bytes == BASE_BYTES and calls == ["less"]


def test_the_second_process_of_an_upgrade_takes_room_at_once() -> None:
    guard, calls = make_guard(0)
    guard.share(True)
    assert guard.account.limit_bytes == buffer_bytes(MEMORY_MB, two_processes=True) and calls == ["less"]
    guard.check(0.0)
    assert guard.account.limit_bytes == buffer_bytes(MEMORY_MB, two_processes=True)


def test_the_heap_is_trimmed_while_connections_hold_much_and_for_a_time_after_it() -> None:
    guard, _ = make_guard(0)
    holding = Holding(guard.account)
    start_s = guard.trimmed_s
    with patch("hitchtiller.heap.trim") as trim:
        guard.check(start_s)
        holding.add(Kind.OPEN_REQUEST, BASE_BYTES // 2)
        guard.check(start_s + 0.1)
        holding.release()
        guard.check(start_s + TRIM_AFTER_S)
        guard.check(start_s + TRIM_AFTER_S + 0.2)
    assert trim.call_count == 2
