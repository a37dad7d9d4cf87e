"""Crowds of hostile clients against one gateway process with 64 MB and 1,024 descriptors."""

import asyncio

import pytest

from standins.crowd import Result, run_crowd

MEMORY_MB = 64
CLIENTS = 300
LONGEST_WAIT_MS = 500.0  # the aim of the class `files`


def run(behaviour: str, clients: int = CLIENTS, seconds: float = 3.0) -> Result:
    """Run a crowd with seed 1; fail the test on any fault."""
    result = asyncio.run(run_crowd(behaviour, clients, seconds, 1, MEMORY_MB))
    assert not result.faults(MEMORY_MB), result
    return result


@pytest.mark.parametrize("behaviour", ["partial", "half-write", "too-long", "pieces", "unread"])
def test_slow_and_stopped_clients_neither_pass_the_memory_limit_nor_cost_others(behaviour: str) -> None:
    run(behaviour)


@pytest.mark.parametrize("behaviour", ["short-fields", "writes", "unsound", "give-up", "leave", "mixed"])
def test_floods_neither_pass_the_memory_limit_nor_leave_others_unanswered(behaviour: str) -> None:
    run(behaviour, seconds=4.0)


def test_ids_used_again_with_another_object_never_change_what_others_are_served() -> None:
    """The answer to a request that was taken back was stored as a copy of another object."""
    run("reuse", 20, 4.0)


def test_one_connection_at_full_speed_under_new_names_neither_grows_memory_nor_delays_others() -> None:
    result = run("flood", 1, 5.0)
    assert result.longest_wait_ms < LONGEST_WAIT_MS, result


def test_32_mb_hold_with_all_clients_that_the_descriptors_allow() -> None:
    memory_mb = 32
    result = asyncio.run(run_crowd("leave", 341, 4.0, 5, memory_mb))
    assert result.exit_code is None and result.peak_mb <= memory_mb and not result.wrong, result
