"""Measures answers per second of a real gateway: from memory, from disk, and from a stand-in cache.

    python -m standins.speed --seconds 4 --seeds 3

The clients run in separate processes. The three ways take turns on each seed, so that their ratios are
comparable on a machine with other load.
"""

import asyncio
import multiprocessing
import random
import shutil
import time
from typing import Any

import click
import msgspec
import numpy as np

from standins.client import StandInClient, Verdicts
from standins.rig import Rig
from standins.truth import Truth


def count_served(port: int, keys: list[int], seconds: float, open_requests: int, seed: int) -> int:
    """Send requests until the time is over, in a process of its own; return the number of served answers."""

    async def run() -> int:
        truth, rng = Truth(small=20_000, large=20_001), random.Random(seed)
        client = StandInClient(truth, Verdicts(), rng)
        await client.connect(port)
        served, until = 0, time.monotonic() + seconds

        async def send_requests() -> None:
            nonlocal served
            while time.monotonic() < until:
                got = await client.ask("files", rng.choice(keys))
                served += bool(got and got.code == 0)

        await asyncio.gather(*(send_requests() for _ in range(open_requests)))
        client.close()
        return served

    return asyncio.run(run())


async def measure_way(way: str, seed: int, seconds: float, processes: int, pool: Any) -> dict[str, Any]:
    """Start a gateway for one way, fill its copies, and measure."""
    rig = Rig(seed)
    rig.truth.small, rig.truth.large = 20_000, 20_001
    if way != "off":
        # Memory for all copies, or for almost none, so that hits are read from disk.
        rig.disk(budget_mb=200, segment_mb=8, memory_mb=40 if way == "memory" else 0.1, queue_mb=32)
    await rig.start()
    try:
        await rig.launch()
        if way != "off":
            await rig.logged("store open")
        keys = list(range(1, 1001))
        client = await rig.terminal()
        for _ in range(2):
            for start in range(0, len(keys), 16):
                await asyncio.gather(*(client.ask("files", key) for key in keys[start : start + 16]))
        client.close()
        before = await rig.figures()
        loop = asyncio.get_running_loop()
        asked = [(rig.port, keys, seconds, 16, n) for n in range(processes)]
        jobs = [loop.run_in_executor(None, pool.apply, count_served, each) for each in asked]
        served = sum(await asyncio.gather(*jobs))
        after = await rig.figures()
        hits = {k: after[k] - before[k] for k in after if k.startswith("store.hits.")}
        await rig.terminate()
    finally:
        await rig.kill()
        shutil.rmtree(rig.folder, ignore_errors=True)
    return {"way": way, "seed": seed, "per_s": served / seconds, **hits}


@click.command()
@click.option("--seconds", default=4.0, show_default=True, type=click.FloatRange(0.2, 120.0))
@click.option("--seeds", default=3, show_default=True, type=click.IntRange(1, 20))
@click.option("--processes", default=3, show_default=True, type=click.IntRange(1, 16))
def main(seconds: float, seeds: int, processes: int) -> None:
    """Compare the answers per second for bodies of 20 kB."""
    ways, rows = ("off", "memory", "disk"), []
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        for seed in range(1, seeds + 1):
            for way in ways:
                rows.append(asyncio.run(measure_way(way, seed, seconds, processes, pool)))
                click.echo(msgspec.json.encode(rows[-1]))
    for way in ways:
        median = float(np.median([row["per_s"] for row in rows if row["way"] == way]))
        click.echo(f"{way}: {median:.0f} answers a second, median of seeds")


if __name__ == "__main__":
    main()
