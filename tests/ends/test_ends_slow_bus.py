"""What the event bus sends arrives seconds late: a drain is heard as late as that, and not never."""

import asyncio
import random
import shutil
import time

import pytest

from standins.client import StandInClient
from standins.rig import Rig
from standins.truth import now_ms

TOLD_MS, GRACE_MS, SLACK_MS = 7_000.0, 500.0, 50.0  # PROTOCOL, figures; WIRE, rule 3; limits on sockets
HEARTBEAT_MS = 1_000.0
READY_S = 10.0  # within which nine in ten restarted processes have to be ready
WATCHED_S = 2.0  # after the drain binds
DELAYS_S = (1.9, 2.5, 4.0, 6.0)


async def ask_for(rig: Rig, client: StandInClient, seconds: float) -> None:
    """Ask for a new object each time, so that all caches are used."""
    end_s, rng = time.monotonic() + seconds, random.Random(1)
    while time.monotonic() < end_s:
        answer = await client.ask("files", rng.getrandbits(48))
        assert answer and answer.code == 0, answer
        await asyncio.sleep(0.02)


def drain(rig: Rig) -> None:
    """Let the bus tell that the first cache drains."""
    (host,) = (host for host in rig.bus.hosts if host["dial"] == f"127.0.0.1:{rig.caches[0].port}")
    rig.bus.announce_host(host | {"health": "Terminating"}, ["north", "hub"], ["box", "parent", "origin"])


async def play(delay_s: float, late_from_start: bool) -> None:
    rig = Rig(4)
    await rig.start()
    rig.bus.heartbeat_ms = HEARTBEAT_MS
    pulls_ms: list[float] = []
    rig.caches[0].on_pull = lambda *_: pulls_ms.append(now_ms())
    try:
        if late_from_start:
            rig.bus.delay_s = delay_s
        await rig.launch()
        assert rig.ready_s < READY_S
        client = await rig.terminal()
        await ask_for(rig, client, 1.0)
        rig.bus.delay_s = delay_s
        await ask_for(rig, client, 1.0)
        drain(rig)
        drained_ms = now_ms()
        await ask_for(rig, client, (TOLD_MS + GRACE_MS) / 1000.0 + WATCHED_S)
        assert pulls_ms[0] < drained_ms, "the cache was not in use"
        last_ms = pulls_ms[-1] - drained_ms
        assert last_ms <= 1000.0 * delay_s + GRACE_MS + SLACK_MS, f"a bus {delay_s} s late was not heard"
        assert rig.verdicts.wrong == []
    finally:
        await rig.kill()
        shutil.rmtree(rig.folder, ignore_errors=True)


async def play_all(late_from_start: bool) -> None:
    """Play all delays side by side."""
    await asyncio.gather(*(play(delay_s, late_from_start) for delay_s in DELAYS_S))


@pytest.mark.parametrize("late_from_start", [False, True])
def test_a_drain_is_heard_from_a_bus_that_sends_late(late_from_start: bool) -> None:
    """Subscriptions without a frame for 1.8 s were ended and asked anew, again and again (review/8)."""
    asyncio.run(play_all(late_from_start))
