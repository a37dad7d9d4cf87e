"""The event bus is away while an object is purged: no older copy is served once the purge counts as told."""

import asyncio
import shutil
import sys
import time
from collections.abc import Callable

import pytest

from standins.client import StandInClient
from standins.rig import Rig, settings
from standins.truth import now_ms

TOLD_MS, GRACE_MS, SLACK_MS = 7_000.0, 300.0, 50.0  # PROTOCOL, figures; the settings; limits on sockets
GONE_MS = 6_000.0  # after a purge; until then the caches answer with the older copy
OUTAGE_S, AFTER_S, ASK_EVERY_S = 9.0, 1.0, 0.04
PURGED, OTHER = 5, 7  # keys of objects
# For one second a copy that a cache has confirmed may be served; the settings leave 1.2 s of it.
MAX_PULLS_PER_S = 1.5
PLATFORM_COMMAND = [sys.executable, "-m", "hitchtiller", "--memory-tier"]


def close_bus(rig: Rig) -> None:
    """Refuse new subscriptions and end the open one."""
    rig.bus.stop()


def silence_bus(rig: Rig) -> None:
    """Accept subscriptions and send nothing."""
    rig.bus.silent = True


async def open_bus(rig: Rig) -> None:
    """End the outage."""
    if rig.bus.silent:
        rig.bus.silent = False
    else:
        await rig.bus.start()


class Play:
    """Requests for a purged object and for another one, all of which have to be served."""

    def __init__(self, rig: Rig, client: StandInClient) -> None:
        self.rig, self.client = rig, client
        self.stale_ms: list[float] = []  # when requests were sent that got the older copy, after the purge

    async def ask_for(self, seconds: float, purged_ms: float) -> None:
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            for key in (PURGED, OTHER):
                answer = await self.client.ask("files", key)
                assert answer and answer.code == 0, answer
                if answer.body == self.rig.truth.body(key, 0, 0) and key == PURGED:
                    self.stale_ms.append(answer.sent_ms - purged_ms)
            await asyncio.sleep(ASK_EVERY_S)

    def pulls_of(self, key: int) -> int:
        """Return how often all servers were asked for an object."""
        servers = (*self.rig.caches, self.rig.parent, self.rig.origin)
        return sum(server.pull_counts.get((key, 0), 0) for server in servers)


async def play(leave: Callable[[Rig], None], command: list[str]) -> None:
    rig = Rig(3)
    rig.script.purge_delay_ms = GONE_MS - TOLD_MS  # after the purge counts as told
    rig.command = command or rig.command
    if not command:
        rig.disk(memory_mb=8)
    rig.replay_ms = GONE_MS
    rig.config["settings"] = settings()
    rig.config["settings"]["family_info"] |= {"gone_everywhere_ms": GONE_MS, "purge_grace_ms": GRACE_MS}
    await rig.start()
    try:
        await rig.launch()
        await asyncio.sleep(0.5)
        game = Play(rig, await rig.terminal())
        await game.ask_for(0.5, 0.0)
        leave(rig)
        purged_ms = now_ms()
        rig.truth.purge(PURGED, -1, purged_ms + TOLD_MS)
        game.stale_ms, pulls, origin_pulls = [], game.pulls_of(OTHER), rig.origin.pulls
        await game.ask_for(OUTAGE_S, purged_ms)
        assert game.stale_ms and max(game.stale_ms) <= TOLD_MS + GRACE_MS + SLACK_MS
        asked = game.pulls_of(OTHER) - pulls
        assert 1 <= asked <= MAX_PULLS_PER_S * OUTAGE_S, "each request was passed on"
        assert rig.origin.pulls == origin_pulls, "caches have the object, and the origin was asked"
        await open_bus(rig)
        await asyncio.sleep(1.0)
        pulls = game.pulls_of(OTHER)
        await game.ask_for(AFTER_S, purged_ms)
        assert game.pulls_of(OTHER) == pulls, "copies were not used again after the outage"
        assert sum("the event bus is not heard" in line for line in rig.lines) == 1, "one line for all"
    finally:
        await rig.kill()
        shutil.rmtree(rig.folder, ignore_errors=True)


async def play_all(leave: Callable[[Rig], None]) -> None:
    """Play the gateway with the store and the platform's gateway side by side."""
    await asyncio.gather(*(play(leave, command) for command in ([], PLATFORM_COMMAND)))


@pytest.mark.parametrize("leave", [close_bus, silence_bus])
def test_a_purge_binds_its_copies_once_it_counts_as_told(leave: Callable[[Rig], None]) -> None:
    """Copies were served for as long as the event bus was away (review/7)."""
    asyncio.run(play_all(leave))
