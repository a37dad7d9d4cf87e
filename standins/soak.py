"""Plays random disturbances against gateway processes, one play for each seed, and checks what may never be.

    python -m standins.soak --seeds 50 --first-seed 1 --parallel 4
    python -m standins.soak --seeds 10 --faults clock --faults calls --faults disk

A play draws its length, crowds of hostile clients (`standins.hostile`) and signals, which come in series:
SIGHUP, SIGKILL and a new start at once or a second later, SIGTERM once or several times. After SIGTERM
well-behaved clients go on with their open connections, and SIGKILL comes at the earliest that the platform
may send it. In the end each process has kept its memory limit, none has ended by itself, no log has a
traceback, and each well-behaved request has one answer unless its process was killed without notice. With
`--faults` the processes run with faults of their clock, calls or files besides (`standins.faulty`).
"""

import asyncio
import json
import random
import shutil
import signal
import time
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

import click

from standins.crowd import (
    GOOD_REQUESTS_PER_S,
    WRITE_SHARE,
    faulty_command,
    large_rig,
    start_hostile,
    status_mb,
)
from standins.faulty import FAULTS
from standins.hostile import DRAWN_BEHAVIOURS, SHARED_OBJECTS
from standins.rig import Rig
from standins.truth import now_ms

MEMORY_MB = 64
MAX_DEADLINE_S, KILL_GRACE_S = 3.0, 0.7  # SIGKILL comes their sum after SIGTERM at the earliest
CROSSING_MS = 60.0  # a request that meets the close of its connection is sent again, once
CLIENTS = 6
SAMPLE_S = 0.05


@dataclass
class Play:
    """What one play showed."""

    seed: int
    steps: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    peak_mb: float = 0.0


class Soak:
    """One play: a rig, its well-behaved clients and the disturbances drawn from a seed."""

    def __init__(self, seed: int, faults: Sequence[str] = ()) -> None:
        """Prepare; nothing is started yet. `faults` are those of `standins.faulty`."""
        self.play, self.rng = Play(seed), random.Random(seed)
        self.rig: Rig = large_rig(seed, MEMORY_MB)
        if faults:
            self.rig.command = faulty_command(seed, faults)
        self.killed_ms: list[float] = []  # when a process was killed without notice
        self.is_serving = False  # new connections go to the process
        self.ended = False
        self.own_lags_ms: deque[float] = deque(maxlen=10)  # of this process, in the last half second
        self.hostile: list[asyncio.subprocess.Process] = []

    async def run(self) -> Play:
        """Run the play."""
        await self.rig.start()
        try:
            await self._launch()
            tasks = [
                asyncio.create_task(self._client(random.Random(self.rng.getrandbits(32))))
                for _ in range(CLIENTS)
            ]
            sampling = asyncio.create_task(self._sample())
            for _ in range(self.rng.randint(2, 4)):
                await asyncio.sleep(self.rng.uniform(0.3, 1.5))
                await self.rng.choice(
                    [self._crowd, self._crowd, self._kill_series, self._hang_ups, self._stop]
                )()
            await asyncio.sleep(1.0)
            self.ended = True
            await asyncio.gather(*tasks)
            sampling.cancel()
            await self._stop()
        finally:
            for process in self.hostile:
                if process.returncode is None:
                    process.kill()
                await process.wait()
            await self.rig.kill()
            shutil.rmtree(self.rig.folder, ignore_errors=True)
        self.play.faults += self.rig.verdicts.wrong[:10]
        return self.play

    def _step(self, text: str) -> None:
        self.play.steps.append(f"{text}")

    async def _launch(self) -> None:
        await self.rig.launch()
        self.rig.config["listen"] = f"127.0.0.1:{self.rig.port}"  # the next process takes the same address
        self.is_serving = True

    async def _sample(self) -> None:
        """Note the peak memory, and a process that ends without being told to."""
        while True:
            process = self.rig.process
            if process and self.is_serving:
                self._check_memory()
                if process.returncode is not None:
                    self.play.faults.append(f"the process ended by itself with {process.returncode}")
                    self.is_serving = False
            wake_ms = now_ms() + SAMPLE_S * 1000.0
            await asyncio.sleep(SAMPLE_S)
            self.own_lags_ms.append(now_ms() - wake_ms)

    def _check_memory(self) -> None:
        assert self.rig.process
        peak_mb = status_mb(self.rig.process.pid, "VmHWM")
        if peak_mb > MEMORY_MB >= self.play.peak_mb:
            self.play.faults.append(f"peak of {peak_mb:.1f} MB")
        self.play.peak_mb = max(self.play.peak_mb, peak_mb)

    def _check_log(self) -> None:
        if any("Traceback" in line or "ERROR" in line for line in self.rig.lines):
            self.play.faults.append("a traceback in the log")

    # Disturbances

    async def _crowd(self) -> None:
        for process in self.hostile:  # clients may hold a third of the descriptors, not more
            await process.wait()
        behaviour = self.rng.choice(DRAWN_BEHAVIOURS)
        clients = 1 if behaviour == "flood" else self.rng.choice((20, 150, 300))
        seconds = self.rng.uniform(1.0, 4.0)
        self._step(f"crowd {behaviour} {clients} {seconds:.1f} s")
        self.hostile.append(
            await start_hostile(self.rig.port, behaviour, clients, seconds, self.rng.getrandbits(16))
        )
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))

    async def _hang_ups(self) -> None:
        count = self.rng.randint(1, 20)
        self._step(f"{count} SIGHUP")
        for _ in range(count):
            if self.rig.process and self.rig.process.returncode is None:
                self.rig.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(self.rng.choice((0.0, 0.001, 0.05)))

    async def _kill_series(self) -> None:
        for _ in range(self.rng.randint(1, 3)):
            delay_s = self.rng.choice((0.0, 1.0))
            self._step(f"SIGKILL, start after {delay_s:.0f} s")
            self._check_memory()
            self._check_log()
            self.is_serving = False
            self.killed_ms.append(now_ms())
            await self.rig.kill()
            await asyncio.sleep(delay_s)
            await self._launch()
            await asyncio.sleep(self.rng.choice((0.1, 0.4, 0.6)))

    async def _stop(self) -> None:
        """Stop the process as the platform does, with SIGTERM once or several times, and start another."""
        count = self.rng.choice((1, 1, 3))
        self._step(f"{count} SIGTERM")
        self._check_memory()
        process, begun_s = self.rig.process, time.monotonic()
        assert process
        self.is_serving = False
        for _ in range(count):
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
            await asyncio.sleep(self.rng.choice((0.0, 0.01, 0.3)))
        left_s = begun_s + MAX_DEADLINE_S + KILL_GRACE_S - time.monotonic()
        try:
            code = await asyncio.wait_for(process.wait(), left_s)
            if code:
                self.play.faults.append(f"exit code {code} after SIGTERM")
        except TimeoutError:
            self.play.faults.append("still there when SIGKILL came")
            await self.rig.kill()
        self._check_log()
        if not self.ended:
            await self._launch()

    # Well-behaved clients

    async def _client(self, rng: random.Random) -> None:
        """Ask one thing after the other, on one connection for as long as the gateway lets it."""
        client = None
        while not self.ended:
            await asyncio.sleep(CLIENTS / GOOD_REQUESTS_PER_S * rng.uniform(0.5, 1.5))
            if client is None or client.needs_new_connection:
                if not self.is_serving:
                    continue
                try:
                    client = await self.rig.terminal()
                except OSError:
                    continue
            await asyncio.sleep(0.0)  # the end of the connection may be there already
            if client.needs_new_connection:
                continue
            is_effect, key, effect_key = (
                rng.random() < WRITE_SHARE,
                rng.randrange(SHARED_OBJECTS),
                rng.getrandbits(128),
            )
            begun_ms = now_ms()
            if is_effect:
                answer = await client.effect("charge", key, f"{effect_key:032x}")
            else:
                answer = await client.read("files", key)
            self.play.counts["answered" if answer else "unanswered"] += 1
            if answer is None and not self._is_excused(begun_ms):
                self.play.faults.append(f"no answer, {now_ms() - begun_ms:.0f} ms after the request")

    def _is_excused(self, begun_ms: float) -> bool:
        """Return whether a request may stay unanswered: its process was killed, or it met a close."""
        now = now_ms()
        was_killed = any(begun_ms - 1.0 <= at_ms <= now for at_ms in self.killed_ms)
        return was_killed or now - begun_ms <= CROSSING_MS + max(self.own_lags_ms, default=0.0)


async def run_plays(seeds: list[int], parallel: int, faults: Sequence[str] = ()) -> list[Play]:
    """Run a play for each seed, some at a time."""
    slots = asyncio.Semaphore(parallel)

    async def one(seed: int) -> Play:
        async with slots:
            return await Soak(seed, faults).run()

    return await asyncio.gather(*map(one, seeds))


@click.command()
@click.option("--seeds", default=3, show_default=True, type=click.IntRange(1, 1000))
@click.option("--first-seed", default=1, show_default=True)
@click.option("--parallel", default=1, show_default=True, type=click.IntRange(1, 8))
@click.option("--faults", multiple=True, type=click.Choice(FAULTS), help="May be given several times.")
def main(seeds: int, first_seed: int, parallel: int, faults: tuple[str, ...]) -> None:
    """Run plays and print each with its faults."""
    plays = asyncio.run(run_plays([first_seed + number for number in range(seeds)], parallel, faults))
    for play in plays:
        row = {"seed": play.seed, "peak_mb": round(play.peak_mb, 1), "counts": play.counts}
        click.echo(json.dumps(row | {"steps": play.steps, "faults": play.faults}))
    failed = [play.seed for play in plays if play.faults]
    click.echo(f"{len(plays)} plays, {len(failed)} with faults: {failed}")
    raise SystemExit(bool(failed))


if __name__ == "__main__":
    main()
