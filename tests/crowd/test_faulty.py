"""One gateway process whose wall clock steps, or whose system calls or files fail."""

import asyncio

import pytest

from standins.crowd import NO_CROWD, run_crowd

MEMORY_MB = 64


@pytest.mark.parametrize("faults", ["clock", "calls", "disk"])
def test_a_stepping_clock_and_failing_calls_and_files_cost_no_request_and_no_process(faults: str) -> None:
    result = asyncio.run(run_crowd(NO_CROWD, 1, 6.0, 1, MEMORY_MB, [faults]))
    assert not result.faults(MEMORY_MB), result
