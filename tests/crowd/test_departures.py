"""Clients that leave with much unread, and come again with the same ids, against one gateway process."""

import asyncio

from standins.departures import run


def test_nothing_begins_after_its_client_has_left_and_no_id_runs_twice() -> None:
    found = asyncio.run(run(40, 1, rounds=2))
    assert found.arrivals
    assert not found.late and not found.repeated()
