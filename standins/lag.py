"""Measures the event loop's delay with the tiers off, with a busy disk, and with a disk that stalls for 2 s.

    python -m standins.lag --seconds 8 --seeds 3

Everything runs in one process: the real scheduler, engine, tiers, threads and files, a back end that answers
after 1 ms, requests at a constant rate, and a greenlet that measures its wake-up every millisecond. The three
ways take turns on each seed.
"""

import random
import shutil
import tempfile
import time
from pathlib import Path
from typing import Any

import click
import msgspec
import numpy as np

from hitchtiller import interface as api
from hitchtiller.decide import Router
from hitchtiller.engine import Engine
from hitchtiller.exchange import Answer, Attempt, AttemptResult, ClientRequest
from hitchtiller.front.leave import DrainControl
from hitchtiller.front.server import Front
from hitchtiller.news import ListedServer, Topology
from hitchtiller.sched import Clock, Scheduler, now_ms
from hitchtiller.settings import read_settings
from hitchtiller.store.disk import DiskOptions
from hitchtiller.store.files import OsFiles
from hitchtiller.store.jobs import ThreadJobs
from hitchtiller.store.keeper import FolderKeeper
from hitchtiller.store.memory import Memory
from hitchtiller.store.pace import Pace
from hitchtiller.store.space import TokenBucket
from hitchtiller.store.suspect import Proof, SavedProof
from hitchtiller.store.tier import Tier
from standins.rig import settings

MB = 1_000_000
BODY = random.Random(1).randbytes(60_000)


class StallingFiles(OsFiles):
    """A folder in which all calls hang for the first 2 s of every 3 s."""

    def _stall(self) -> None:
        phase = time.monotonic() % 3.0
        if phase < 2.0:
            time.sleep(2.0 - phase)

    def read(self, name: str, offset: int, size: int) -> bytes:
        """Read, after any stall."""
        self._stall()
        return super().read(name, offset, size)

    def read_cached(self, name: str, offset: int, size: int) -> bytes | None:
        """Return cached bytes, but nothing during a stall."""
        return None if time.monotonic() % 3.0 < 2.0 else super().read_cached(name, offset, size)

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write, after any stall."""
        self._stall()
        super().write(name, offset, data)

    def sync(self, name: str) -> None:
        """Sync, after any stall."""
        self._stall()
        super().sync(name)


class FastBackEnd:
    """A back end that answers each attempt after 1 ms."""

    def __init__(self, sched: Scheduler) -> None:
        """Prepare to answer by the timers of `sched`."""
        self.sched = sched

    def send(self, attempt: Attempt) -> None:
        """Accept an attempt and schedule its answer."""
        attempt.authorize(attempt)
        attempt.written = True
        key = attempt.exchange.request.key
        size = 1_000 + key * 7919 % 59_000
        ending = AttemptResult("done", BODY[:size], False, f"t{key}", since_ms=int(now_ms()))
        self.sched.later(1.0, lambda: attempt.end(ending))

    def cancel(self, attempt: Attempt) -> None:
        """Ignore the cancellation: the answer comes anyway."""

    def probe(self, server: str, report: Any) -> None:
        """Do nothing: probes are not used here."""

    def follow(self, news: Topology) -> Any:
        """Accept a list of servers; it changes nothing here."""
        return lambda: None


def measure_way(way: str, seed: int, seconds: float, rate: float) -> dict[str, float]:
    """Run one way; return the delay of wake-ups in ms, the served answers and the disk's counts."""
    sched, rng = Scheduler(), random.Random(seed)
    setup = read_settings(settings())
    engine = Engine(Router(setup, seed), Clock(sched), FastBackEnd(sched), lambda peer, note: None)
    kinds = (("c0", "north", "box"), ("c1", "north", "box"), ("p", "hub", "parent"), ("o", "hub", "origin"))
    members = tuple(
        ListedServer(api.Member(n, z, k, "SERVING", weight=50.0), ("127.0.0.1", 1)) for n, z, k in kinds
    )
    engine.on_bus_event(Topology(members, whole=True))
    folder = Path(tempfile.mkdtemp(prefix="lag-"))
    keeper = jobs = None
    if way != "off":
        tier = Tier(engine, Memory(4 * MB), Proof(SavedProof(), 6000.0), Pace(0.0, 0.0))
        tier.on_caught_up()
        front = Front(sched, engine, setup, 10, 10)
        front.leave = DrainControl(front)
        jobs = ThreadJobs(sched)
        options = DiskOptions(budget=200 * MB, segment_bytes=8 * MB, checkpoint_ms=2_000.0, sync_ms=200.0)
        make = StallingFiles if way == "stalled" else OsFiles
        keeper = FolderKeeper(sched, tier, front, folder, options, jobs, TokenBucket(50e6, 5e6, 4e6), make)
        sched.spawn(keeper.run)
        for _ in range(int(seconds)):
            sched.later(1000.0 * _, tier.on_caught_up)
    delays_ms: list[float] = []
    answers: list[Answer] = []
    begun = time.monotonic()

    def measure_delay() -> None:
        while True:
            due = time.monotonic() + 0.001
            sched.sleep(1.0)
            delays_ms.append((time.monotonic() - due) * 1000.0)

    def send_requests() -> None:
        count = 0
        while time.monotonic() - begun < seconds:
            for _ in range(int((time.monotonic() - begun) * rate) - count):
                count += 1
                key = rng.randrange(2_000) if rng.random() < 0.8 else 10_000 + rng.getrandbits(30)
                name = f"{key:016x}"
                wait = now_ms() + 2000.0
                engine.accept(
                    ClientRequest(f"{count:016x}", "files", name, key, wait, size_kb=30.0), answers.append
                )
            sched.sleep(1.0)
        sched.sleep(50.0)
        sched.stopped = True

    sched.spawn(measure_delay)
    sched.spawn(send_requests)
    sched.run()
    disk = keeper.disk if keeper else None
    result = {
        "p50": float(np.percentile(delays_ms, 50)),
        "p99": float(np.percentile(delays_ms, 99)),
        "worst": max(delays_ms),
        "served": float(sum(answer.kind == "served" for answer in answers)),
        "disk_reads": float(disk.counts.reads if disk else 0),
        "disk_puts": float(disk.counts.puts if disk else 0),
        "dropped": float(disk.counts.dropped if disk else 0),
    }
    if jobs:
        jobs.close(3.0)
    shutil.rmtree(folder, ignore_errors=True)
    return result


@click.command()
@click.option("--seconds", default=8.0, show_default=True, type=click.FloatRange(0.2, 600.0))
@click.option("--seeds", default=3, show_default=True, type=click.IntRange(1, 50))
@click.option("--rate", default=800.0, show_default=True, type=click.FloatRange(1.0, 10_000.0))
def main(seconds: float, seeds: int, rate: float) -> None:
    """Compare the delay of the event loop; times are in ms."""
    ways = ("off", "busy", "stalled")
    turns = [(way, seed) for seed in range(1, seeds + 1) for way in ways]
    rows: list[dict[str, Any]] = [
        {"way": way, "seed": seed, **measure_way(way, seed, seconds, rate)} for way, seed in turns
    ]
    for row in rows:
        shown = {name: round(v, 3) if isinstance(v, float) else v for name, v in row.items()}
        click.echo(msgspec.json.encode(shown))
    for way in ways:
        median = float(np.median([row["p99"] for row in rows if row["way"] == way]))
        click.echo(f"{way}: p99 {median:.2f} ms, median of seeds")


if __name__ == "__main__":
    main()
