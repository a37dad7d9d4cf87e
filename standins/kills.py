"""Kills a gateway under load at random times, repeatedly, and checks every answer, also after the restarts.

    python -m standins.kills --rounds 200

The load is reads of two classes with a Zipf-like distribution, a fifth of them for objects that are read only
once. Objects and groups are purged all the time, also while the gateway is down. The exit code is 1 if any
answer was torn, older than an announced purge, sent twice or lost.
"""

import asyncio
import random
import shutil
from collections import Counter

import click
import msgspec

from standins.client import StandInClient
from standins.rig import MAX_PURGE_LAG_MS, REPLAY_MS, Rig
from standins.truth import now_ms

OBJECTS, ONE_TIME_SHARE = 300, 0.2
FIRST_ONE_TIME_KEY = 1 << 40
VERDICT_NAMES = ("torn", "old", "lost", "second answer", "served", "refused", "failed", "broken off")
FIGURE_NAMES = (
    "store.hits.memory",
    "store.hits.disk",
    "store.hits.joined",
    "store.confirmed",
    "store.refuted",
    "store.disk.puts",
    "store.disk.torn",
)


async def purge_continuously(rig: Rig, purges_per_s: float) -> None:
    """Purge objects, and in 3 % of the cases a group, until cancelled."""
    rng = random.Random(rig.rng.getrandbits(32))
    while True:
        await asyncio.sleep(rng.expovariate(purges_per_s))
        told = now_ms() + rng.uniform(31.0, min(310.0, MAX_PURGE_LAG_MS))
        if rng.random() < 0.03:
            rig.truth.purge(None, rng.randrange(rig.truth.groups), told)
        else:
            rig.truth.purge(min(int(rng.paretovariate(0.7)), OBJECTS), -1, told)


async def read_continuously(rig: Rig, client: StandInClient, open_reads: int) -> None:
    """Keep `open_reads` reads open on a connection until it ends."""
    rng = client.rng

    async def one() -> None:
        while client.task and not client.task.done():
            key = min(int(rng.paretovariate(0.7)), OBJECTS)
            if rng.random() < ONE_TIME_SHARE:
                key = FIRST_ONE_TIME_KEY + rng.getrandbits(32)
            cls = "lookups" if key % 3 == 0 else "files"
            await client.read(cls, key, rng.randrange(2))

    await asyncio.gather(*(one() for _ in range(open_reads)))


async def run_rounds(rig: Rig, many: int, shows_progress: bool) -> Counter[str]:
    """Run the rounds; return counts of their events."""
    event_counts: Counter[str] = Counter()
    purging = asyncio.create_task(purge_continuously(rig, 8.0))
    for number in range(many):
        is_early_kill = rig.rng.random() < 0.1
        await rig.launch(wait_ready=not is_early_kill)
        if is_early_kill:  # killed while it starts
            await asyncio.sleep(rig.rng.uniform(0.05, 0.6))
            await rig.kill()
            event_counts["killed while starting"] += 1
            continue
        clients = [await rig.terminal() for _ in range(4)]
        load = [asyncio.create_task(read_continuously(rig, client, 6)) for client in clients]
        await asyncio.sleep(rig.rng.uniform(0.1, 1.6))
        figures = await rig.figures()
        for name in FIGURE_NAMES:
            event_counts[name] += figures.get(name, 0)
        event_counts["suspect starts"] += any("suspect" in line or "era" in line for line in rig.lines)
        await asyncio.sleep(rig.rng.uniform(0.0, 0.05))
        await rig.kill()
        await asyncio.gather(*load)
        for client in clients:
            client.close()
        if rig.rng.random() < 0.25:
            await asyncio.sleep((REPLAY_MS + MAX_PURGE_LAG_MS) / 1000.0)  # long enough to miss purges
        if shows_progress:
            click.echo(f"\rround {number + 1} of {many}, wrong {len(rig.verdicts.wrong)}", nl=False, err=True)
    purging.cancel()
    return event_counts


async def play(seed: int, many: int, shows_progress: bool = False) -> dict[str, object]:
    """Run `many` rounds from a seed and return the results."""
    rig = Rig(seed)
    rig.disk()
    await rig.start()
    try:
        event_counts = await run_rounds(rig, many, shows_progress)
    finally:
        await rig.kill()
        shutil.rmtree(rig.folder, ignore_errors=True)
    counts = rig.verdicts.counts
    return {
        "seed": seed,
        "rounds": many,
        "wrong": rig.verdicts.wrong[:20],
        **{name: counts[name] for name in VERDICT_NAMES},
        "purges": len(rig.truth.purges),
        **dict(sorted(event_counts.items())),
    }


@click.command()
@click.option("--rounds", "many", default=200, show_default=True, type=click.IntRange(1, 10_000))
@click.option("--seed", default=1, show_default=True)
@click.option("--lanes", default=4, show_default=True, type=click.IntRange(1, 32), help="Runs side by side.")
def main(many: int, seed: int, lanes: int) -> None:
    """Kill a gateway at random times and check everything that it serves."""

    async def run_lanes() -> list[dict[str, object]]:
        share = [many // lanes + (n < many % lanes) for n in range(lanes)]
        return list(
            await asyncio.gather(
                *(play(seed + 1000 * n, each, n == 0) for n, each in enumerate(share) if each)
            )
        )

    results = asyncio.run(run_lanes())
    total: Counter[str] = Counter()
    for result in results:
        total.update(
            {name: value for name, value in result.items() if isinstance(value, int) and name != "seed"}
        )
    click.echo(err=True)
    wrong = [line for result in results for line in result["wrong"]]  # type: ignore[attr-defined]
    click.echo(msgspec.json.format(msgspec.json.encode({**total, "wrong": wrong})).decode())
    raise SystemExit(bool(wrong))


if __name__ == "__main__":
    main()
