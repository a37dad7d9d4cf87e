"""Measures how a rush of release downloads delays look-ups, with the repository front giving way or not.

    python -m standins.rush --seconds 8 --seeds 3

The result is the share of look-ups answered in time: without a rush, with one that gives way, and with
one that does not. The three ways take turns on each seed. Look-ups start at a constant rate, also while
earlier ones are late.
"""

import asyncio
import random
import shutil
from typing import Any

import click
import msgspec
import numpy as np

from standins.repo import RepoTruth, get, page
from standins.rig import Rig
from standins.truth import Truth, now_ms

AIM_MS = 250.0


class MixedTruth(RepoTruth):
    """A repository's paths, and ordinary objects for all keys below 2**20 that are no path."""

    def __init__(self) -> None:
        """Start with no path."""
        super().__init__()
        self.objects = Truth()

    def _is_plain(self, key: int) -> bool:
        return key not in self.texts and key < 1 << 20

    def body(self, key: int, part: int, version: int) -> bytes:
        """Return the bytes of a part."""
        return (
            self.objects.body(key, part, version) if self._is_plain(key) else super().body(key, part, version)
        )

    def tag(self, key: int, version: int) -> str:
        """Return the tag of a version."""
        return self.objects.tag(key, version) if self._is_plain(key) else super().tag(key, version)

    def size(self, key: int, part: int) -> int:
        """Return the size of a part in bytes."""
        return self.objects.size(key, part) if self._is_plain(key) else super().size(key, part)


async def run_way(way: str, seed: int, seconds: float, rate: float, pullers: int) -> dict[str, Any]:
    """Run one way and return its results."""
    rig, truth = Rig(seed, 4), MixedTruth()
    rig.truth = truth
    for server in (*rig.caches, rig.parent, rig.origin):
        server.truth = truth
    rig.repositories(give_way=str(way != "rush").lower())
    data = random.Random(seed).randbytes(6_000_000)
    truth.publish("files/big-1.0.tar.gz", data)
    truth.publish("simple/big/", page({"big-1.0.tar.gz": data}))
    await rig.start()
    waits: list[float] = []
    done = 0
    try:
        await rig.launch()
        clients = [await rig.terminal() for _ in range(8)]
        until = now_ms() + seconds * 1000.0

        async def download(number: int) -> None:
            nonlocal done
            source = f"127.0.2.{1 + number}"
            while now_ms() < until:
                await get(rig.http, "/simple/simple/big/", source=source)
                got = await get(rig.http, "/simple/files/big-1.0.tar.gz", source=source)
                done += got.status == 200 and got.whole

        async def look_up(number: int) -> None:
            begun = now_ms()
            got = await clients[number % 8].ask("lookups", rig.rng.randrange(1, 5000), wait_ms=2500.0)
            waits.append(now_ms() - begun if got and got.code == 0 else 1e9)

        rush = [asyncio.create_task(download(n)) for n in range(pullers if way != "calm" else 0)]
        await asyncio.sleep(1.0)
        tasks = list[asyncio.Task[None]]()
        while now_ms() < until:
            tasks.append(asyncio.create_task(look_up(len(tasks))))
            await asyncio.sleep(1.0 / rate)
        await asyncio.gather(*tasks)
        figures = await rig.figures()
        for task in rush:
            task.cancel()
        await asyncio.gather(*rush, return_exceptions=True)
    finally:
        await rig.kill()
        shutil.rmtree(rig.folder, ignore_errors=True)
    in_time = sum(wait <= AIM_MS for wait in waits) / len(waits)
    return {
        "way": way, "seed": seed, "look_ups": len(waits), "in_time": round(in_time, 4),
        "p99_ms": round(min(1e6, float(np.percentile(waits, 99))), 1), "files": done,
        "parts_limit": figures["repo.parts_limit"], "gave_way": figures["repo.gave_way"],
    }  # fmt: skip


@click.command()
@click.option("--seconds", default=8.0, show_default=True, type=click.FloatRange(1.0, 300.0))
@click.option("--seeds", default=3, show_default=True, type=click.IntRange(1, 20))
@click.option("--rate", default=150.0, show_default=True, type=click.FloatRange(1.0, 2000.0))
@click.option("--pullers", default=40, show_default=True, type=click.IntRange(1, 200))
def main(seconds: float, seeds: int, rate: float, pullers: int) -> None:
    """Compare look-ups without a rush of downloads, with one that gives way, and with one that does not."""
    ways, rows = ("calm", "give way", "rush"), list[dict[str, Any]]()
    for seed in range(1, seeds + 1):
        for way in ways:
            rows.append(asyncio.run(run_way(way, seed, seconds, rate, pullers)))
            click.echo(msgspec.json.encode(rows[-1]))
    for way in ways:
        share = float(np.median([row["in_time"] for row in rows if row["way"] == way]))
        click.echo(f"{way}: {share:.1%} of look-ups within {AIM_MS:.0f} ms, median of seeds")


if __name__ == "__main__":
    main()
