"""Plays random trouble of the event bus against a gateway process, one play for each seed.

    python -m standins.bus_soak --seeds 20 --first-seed 1 --parallel 4 --seconds 60

The bus is closed, silent, late or hangs (connections opened until its end stay silent for good), one after
the other, while objects are purged and caches drain. What the bus has to tell counts as told 7 s later, so
no answer may miss a purge by more than that and the grace, and every request has to be served. Where the bus
was only late, no cache may get an attempt by so much after its drain. A purge is dropped by the caches just
within `gone_everywhere_ms`.
"""

import asyncio
import json
import random
import shutil
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import click

from standins.client import StandInClient
from standins.rig import Rig, settings
from standins.truth import now_ms

TOLD_MS, SLACK_MS = 7_000.0, 50.0
PURGE_GRACE_MS, DRAIN_GRACE_MS, GONE_MS = 300.0, 500.0, 6_000.0
MAX_TELL_MS = 300.0  # from a purge until it is in the bus
CACHES, OBJECTS, CLIENTS = 4, 20, 3
ASK_EVERY_S, PURGE_EVERY_S, DRAIN_EVERY_S = 0.05, 1.5, 9.0
MAX_DELAY_S = 6.0
TROUBLES = ("closed", "silent", "late", "hung")
PLATFORM_COMMAND = [sys.executable, "-m", "hitchtiller", "--memory-tier"]


@dataclass
class Play:
    """What one play showed; `faults` has a line for each rule that was broken."""

    seed: int
    steps: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class Drain:
    """A cache that drains, from when on, and until when."""

    cache: int
    begin_ms: float
    end_ms: float


class BusSoak:
    """One play: a rig and the trouble drawn from a seed."""

    def __init__(self, seed: int, seconds: float) -> None:
        """Prepare; half of the seeds run the platform's gateway, the others the one with a store."""
        self.rng, self.seconds, self.play = random.Random(seed), seconds, Play(seed)
        self.rig = rig = Rig(seed, caches=CACHES)
        if seed % 2:
            rig.command = PLATFORM_COMMAND
        else:
            rig.disk(memory_mb=8)
        rig.script.purge_delay_ms = GONE_MS - MAX_TELL_MS
        rig.replay_ms = GONE_MS
        rig.config["settings"] = settings()
        bounds = {"gone_everywhere_ms": GONE_MS, "purge_grace_ms": PURGE_GRACE_MS}
        rig.config["settings"]["family_info"] |= bounds
        self.pulls: list[tuple[int, float]] = []  # at caches: their index, and the time
        self.drains: list[Drain] = []
        self.unheard: list[tuple[float, float]] = []  # when the bus could not be heard, from and until

    async def run(self) -> Play:
        """Play it and return what it showed."""
        rig = self.rig
        await rig.start()
        rig.bus.heartbeat_ms = 1_000.0
        for index, cache in enumerate(rig.caches):
            cache.on_pull = lambda *_, index=index: self.pulls.append((index, now_ms()))
        try:
            await rig.launch()
            self.end_s = time.monotonic() + self.seconds
            tasks = [self._ask(await rig.terminal()) for _ in range(CLIENTS)]
            await asyncio.gather(self._trouble(), self._purge(), self._drain(), *tasks)
            self._check_drains()
            if any("Traceback" in line for line in rig.lines):
                self.play.faults.append("a traceback in the log")
            assert rig.process
            if rig.process.returncode is not None:
                self.play.faults.append(f"the process ended with {rig.process.returncode}")
        finally:
            await rig.kill()
            shutil.rmtree(rig.folder, ignore_errors=True)
        return self.play

    def _goes_on(self) -> bool:
        return time.monotonic() < self.end_s

    async def _ask(self, client: StandInClient) -> None:
        """Ask for objects and judge each answer."""
        weights = [1.0 / rank for rank in range(1, OBJECTS + 1)]
        rng = random.Random(self.rng.getrandbits(32))
        while self._goes_on():
            (key,) = rng.choices(range(1, OBJECTS + 1), weights)
            answer = await client.ask("files", key)
            self.play.counts["asked"] += 1
            if answer is None or answer.code != 0:
                self.play.faults.append(f"{key} was not served: {answer}")
                return
            self._judge(key, answer.body, answer.sent_ms)
            await asyncio.sleep(ASK_EVERY_S)
        client.close()

    def _judge(self, key: int, body: bytes, sent_ms: float) -> None:
        truth = self.rig.truth
        bound_ms = TOLD_MS + PURGE_GRACE_MS + SLACK_MS
        purges = truth.purges_of(key)
        told = [purge for purge in purges if purge.announced_ms + bound_ms <= sent_ms]
        versions = range(len(purges), -1, -1)
        version = next((v for v in versions if truth.body(key, 0, v) == body), -1)
        if version < 0:
            self.play.faults.append(f"{key}: bytes of no version")
        elif version < len(told):
            late_ms = sent_ms - told[version].announced_ms
            self.play.faults.append(f"{key} at {sent_ms:.0f}: the older copy {late_ms:.0f} ms after a purge")
        self.play.counts["current" if version == len(purges) else "older"] += 1

    async def _purge(self) -> None:
        """Purge objects; the bus tells of each a little later."""
        while self._goes_on():
            await asyncio.sleep(self.rng.expovariate(1.0 / PURGE_EVERY_S))
            tell_ms = now_ms() + self.rng.uniform(0.0, MAX_TELL_MS)
            self.rig.truth.purge(self.rng.randint(1, OBJECTS // 2), -1, tell_ms)
            self.play.counts["purges"] += 1

    async def _drain(self) -> None:
        """Let one cache after the other drain and serve again."""
        hosts = self.rig.bus.hosts
        while self._goes_on():
            await asyncio.sleep(self.rng.uniform(0.2, 1.0) * DRAIN_EVERY_S)
            index = self.rng.randrange(CACHES)
            begin_ms = now_ms()
            self._announce(hosts[index] | {"health": "Terminating"})
            await asyncio.sleep(self.rng.uniform(1.0, 2.0) * DRAIN_EVERY_S)
            self.drains.append(Drain(index, begin_ms, now_ms()))
            self._announce(hosts[index])

    def _announce(self, host: dict[str, object]) -> None:
        self.rig.bus.announce_host(host, ["north", "hub"], ["box", "parent", "origin"])

    async def _trouble(self) -> None:
        """Draw trouble of the bus, one after the other."""
        while self._goes_on():
            await asyncio.sleep(self.rng.uniform(0.5, 5.0))
            trouble, seconds = self.rng.choice(TROUBLES), self.rng.uniform(1.0, 15.0)
            self.play.steps.append(f"{now_ms():.0f} {trouble} for {seconds:.1f} s")
            begin_ms = now_ms()
            await getattr(self, f"_{trouble}")(min(seconds, max(0.0, self.end_s - time.monotonic())))
            if trouble != "late":
                self.unheard.append((begin_ms, now_ms()))

    async def _closed(self, seconds: float) -> None:
        self.rig.bus.stop()
        await asyncio.sleep(seconds)
        await self.rig.bus.start()

    async def _silent(self, seconds: float) -> None:
        self.rig.bus.silent = True
        await asyncio.sleep(seconds)
        self.rig.bus.silent = False

    async def _late(self, seconds: float) -> None:
        self.rig.bus.delay_s = self.rng.uniform(0.5, MAX_DELAY_S)
        await asyncio.sleep(seconds)
        self.rig.bus.delay_s = 0.0

    async def _hung(self, seconds: float) -> None:
        self.rig.bus.hang_end_ms = now_ms() + 1000.0 * seconds
        await asyncio.sleep(seconds)

    def _check_drains(self) -> None:
        """Check the drains whose events could be heard: the bus was at most late while they were told."""
        bound_ms = TOLD_MS + DRAIN_GRACE_MS + SLACK_MS
        for drain in self.drains:
            told_ms = drain.begin_ms + bound_ms
            if any(begin_ms < told_ms and end_ms > drain.begin_ms for begin_ms, end_ms in self.unheard):
                continue
            self.play.counts["drains"] += 1
            late = [at for index, at in self.pulls if index == drain.cache and told_ms < at < drain.end_ms]
            if late:
                text = f"{len(late)} attempts at a draining cache, the last one"
                self.play.faults.append(f"{text} {max(late) - drain.begin_ms:.0f} ms after")


async def play_all(seeds: range, parallel: int, seconds: float) -> int:
    """Play all seeds, print a line for each, and return how many showed a fault."""
    slots = asyncio.Semaphore(parallel)
    faulty = 0

    async def play_one(seed: int) -> None:
        nonlocal faulty
        async with slots:
            play = await BusSoak(seed, seconds).run()
        faulty += bool(play.faults)
        row = {"seed": seed, "faults": play.faults[:5], "counts": play.counts, "steps": play.steps}
        click.echo(json.dumps(row))

    await asyncio.gather(*(play_one(seed) for seed in seeds))
    return faulty


@click.command(help=(__doc__ or "").partition("\n")[0])
@click.option("--seeds", default=20, help="how many plays")
@click.option("--first-seed", default=1)
@click.option("--parallel", default=4)
@click.option("--seconds", default=60.0, help="length of each play")
def main(seeds: int, first_seed: int, parallel: int, seconds: float) -> None:
    """Play and report."""
    faulty = asyncio.run(play_all(range(first_seed, first_seed + seeds), parallel, seconds))
    click.echo(f"{seeds} plays, {faulty} with a fault")
    sys.exit(faulty > 0)


if __name__ == "__main__":
    main()
