"""Checks that clients get consistent sets of files while releases are purged and published.

    python -m standins.releases --clients 200 --releases 20 --caches 14 --gateways 3

The exit code is 1 if a complete body did not match the index that its client had received, or a client never
received a consistent set.
"""

import asyncio
import random
import shutil
import time
from collections import Counter
from typing import Any

import click
import msgspec

from standins.parties import ServerBehaviour
from standins.repo import RepoTruth, ScriptedRepository, fetch_set
from standins.rig import Rig


async def play(
    seed: int, clients: int, releases: int, caches: int, gateways: int, seconds: float
) -> dict[str, Any]:
    """Run the clients and the releases; return the results."""
    rng = random.Random(seed)
    first = Rig(seed, caches, ServerBehaviour(purge_delay_ms=500.0))
    truth = RepoTruth()
    first.truth = truth
    for server in (*first.caches, first.parent, first.origin):
        server.truth = truth
    rigs = [first]
    for number in range(1, gateways):
        rigs.append(Rig(seed + number, 1))
        rigs[-1].share_servers_of(first)
    repository = ScriptedRepository(truth, rng)
    await repository.publish()
    counts: Counter[str] = Counter()
    wrong: list[str] = []
    durations_s: list[float] = []

    async def client(number: int) -> None:
        client_rng = random.Random(seed * 1000 + number)
        await asyncio.sleep(client_rng.uniform(0.0, seconds))
        begun = time.monotonic()
        source = f"127.0.{1 + number // 250}.{1 + number % 250}"
        await fetch_set(rigs[number % len(rigs)].http, source, client_rng, counts, wrong)
        durations_s.append(time.monotonic() - begun)

    async def publish() -> None:
        for number in range(releases):
            await asyncio.sleep(seconds / (releases + 1) * rng.uniform(0.5, 1.5))
            await repository.publish(older_release=max(1, repository.release - 2) if number % 5 == 4 else 0)
            if number % 4 == 1:  # two releases within a second
                await repository.publish()

    try:
        for rig in rigs:
            rig.disk()
            rig.repositories()
            await rig.start()
        for number, rig in enumerate(rigs):
            # Every second gateway is told of purges later than the others.
            rig.bus.extra_delay_ms = 300.0 * (number % 2)
            await rig.launch()
        await asyncio.gather(publish(), *(client(number) for number in range(clients)))
        figures = [await rig.figures() for rig in rigs]
    finally:
        for rig in rigs:
            await rig.kill()
            shutil.rmtree(rig.folder, ignore_errors=True)
    durations_s.sort()
    sums = {
        name: sum(each.get(name, 0) for each in figures) for name in figures[0] if name.startswith("repo.")
    }
    return {
        "clients": clients, "releases": repository.release, "sets": counts["sets"], "wrong": wrong[:20],
        "median_s": round(durations_s[len(durations_s) // 2], 2), "slowest_s": round(durations_s[-1], 2),
        **dict(sorted(counts.items())), **sums,
    }  # fmt: skip


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--clients", default=200, show_default=True, type=click.IntRange(1, 5000))
@click.option("--releases", default=20, show_default=True, type=click.IntRange(0, 1000))
@click.option("--caches", default=14, show_default=True, type=click.IntRange(1, 50))
@click.option("--gateways", default=3, show_default=True, type=click.IntRange(1, 10))
@click.option("--seconds", default=30.0, show_default=True, type=click.FloatRange(1.0, 600.0))
def main(**options: Any) -> None:
    """Publish releases while clients fetch them."""
    result = asyncio.run(play(**options))
    click.echo(msgspec.json.format(msgspec.json.encode(result)).decode())
    raise SystemExit(bool(result["wrong"]))


if __name__ == "__main__":
    main()
