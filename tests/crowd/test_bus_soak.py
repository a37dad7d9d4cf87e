"""Short plays of the soak of the event bus; the long run is started by hand (standins.bus_soak)."""

import asyncio

import pytest

from standins.bus_soak import BusSoak, Play

SEEDS, PARALLEL_SECONDS = (1, 2, 5, 6), 30.0


@pytest.fixture(scope="module")
def plays() -> list[Play]:
    async def run() -> list[Play]:
        return list(await asyncio.gather(*(BusSoak(seed, PARALLEL_SECONDS).run() for seed in SEEDS)))

    return asyncio.run(run())


def test_purges_and_drains_bind_through_any_trouble_of_the_bus(plays: list[Play]) -> None:
    """Older copies were served while the bus was away, and a bus that was late was never heard."""
    assert [play.faults for play in plays] == [[]] * len(SEEDS)
    assert all(play.counts["purges"] and play.counts["current"] > 100 for play in plays)
