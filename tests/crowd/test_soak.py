"""Short plays of the soak; the long run is started by hand (standins.soak)."""

import asyncio
from collections.abc import Sequence

import pytest

from standins.faulty import FAULTS
from standins.soak import MEMORY_MB, Soak


def check(seed: int, faults: Sequence[str] = ()) -> None:
    """Run a play; fail the test on any fault."""
    play = asyncio.run(Soak(seed, faults).run())
    assert not play.faults, play
    assert play.counts["answered"] and 0.0 < play.peak_mb <= MEMORY_MB


@pytest.mark.parametrize("seed", [2, 3, 6, 16])
def test_crowds_and_series_of_signals_cost_no_request_and_no_process(seed: int) -> None:
    check(seed)


@pytest.mark.parametrize("seed", [2, 7])
def test_the_same_with_a_stepping_clock_and_failing_calls_and_files(seed: int) -> None:
    check(seed, FAULTS)
