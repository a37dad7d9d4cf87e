"""Station caches that misuse the gateway, beside clients that make it ask them for much."""

import asyncio

import pytest

from standins.crowd import run_crowd

MEMORY_MB = 64


@pytest.mark.parametrize("servers", ["huge-items", "mixed"])
def test_hostile_servers_neither_pass_the_memory_limit_nor_leave_requests_unanswered(servers: str) -> None:
    result = asyncio.run(run_crowd("unread", 300, 3.0, 1, MEMORY_MB, servers=servers))
    assert not result.faults(MEMORY_MB), result
