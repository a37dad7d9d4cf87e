"""Measures a gateway process, and what its well-behaved clients get, under a crowd of hostile clients.

    python -m standins.crowd --behaviour partial --clients 300 --seconds 6 --seed 1
    python -m standins.crowd --all
    python -m standins.crowd --behaviour none --faults clock
    python -m standins.crowd --behaviour none --servers huge-items

The gateway runs as the deploy file starts it, with `--memory-mb` and 1,024 descriptors, and with `--faults`
in a process whose clock steps or whose calls or files fail (`standins.faulty`). With `--servers` half of the
caches are hostile (`standins.hostile_servers`). Each run prints a
line with its peak memory, what was left after the crowd had gone, and what well-behaved clients got. The exit
code is 1 if a run passed its limit, ended the process, or left a well-behaved request unanswered.
"""

import asyncio
import json
import random
import shutil
import sys
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

import click

from standins.client import StandInClient
from standins.faulty import FAULTS
from standins.hostile import BEHAVIOURS, LARGE_OBJECT, SHARED_OBJECTS
from standins.hostile_servers import BEHAVIOURS as SERVER_BEHAVIOURS
from standins.hostile_servers import HostileServer
from standins.rig import ROOT, Rig
from standins.truth import Truth, now_ms

DESCRIPTORS = 1024
GOOD_CLIENTS, GOOD_REQUESTS_PER_S = 8, 50.0  # in all
WRITE_SHARE = 0.1  # of the well-behaved requests
LEAD_S, SETTLE_S = 1.0, 3.0  # of well-behaved load alone, before the crowd and after it
ONE_CONNECTION = ("flood",)  # behaviours that one client shows alone
# Behaviours that ask for hardly any work: others must be served as if nothing happened.
QUIET = ("none", "partial", "half-write", "too-long", "pieces", "unread")
NO_CROWD = "none"
MIN_SERVED_SHARE = 0.99  # of the well-behaved requests beside a quiet crowd
MAX_LEFT_SHARE = 0.75  # of the memory limit, once the crowd has gone


class CrowdTruth(Truth):
    """Objects of the usual sizes, and large ones from key LARGE_OBJECT on."""

    def size(self, key: int, part: int) -> int:
        """Return the size of a part in bytes."""
        return 240_000 if key >= LARGE_OBJECT else super().size(key, part)


@dataclass
class Result:
    """What one run showed; sizes in MB of 10**6 bytes, waits in ms."""

    behaviour: str
    seed: int
    quiet: bool = True  # nothing but the crowd may cost requests
    peak_mb: float = 0.0
    left_mb: float = 0.0  # after the crowd had gone and SETTLE_S had passed
    held_bytes: int = 0  # by the account, after the crowd had gone
    exit_code: int | None = None  # of the process, if it ended by itself
    tracebacks: int = 0  # in its log
    good: dict[str, int] = field(default_factory=dict)  # answers to well-behaved clients, by kind
    longest_wait_ms: float = 0.0
    wrong: list[str] = field(default_factory=list)
    hostile: dict[str, int] = field(default_factory=dict)
    rejected: dict[str, int] = field(default_factory=dict)
    closed: dict[str, int] = field(default_factory=dict)  # connections of clients, by reason code

    def faults(self, memory_mb: float) -> list[str]:
        """Return what no crowd may cause."""
        found = list(self.wrong)
        if self.exit_code is not None:
            found.append(f"the process ended with {self.exit_code}")
        if self.tracebacks:
            found.append(f"{self.tracebacks} tracebacks in the log")
        if self.peak_mb > memory_mb:
            found.append(f"peak of {self.peak_mb:.1f} MB over the limit of {memory_mb:.1f}")
        if self.left_mb > MAX_LEFT_SHARE * memory_mb:
            found.append(f"still {self.left_mb:.1f} MB after the crowd had gone")
        served = self.good.get("served", 0) + self.good.get("effect 0", 0)
        asked = served + sum(
            self.good.get(kind, 0) for kind in ("refused", "failed", "effect 11", "effect 5")
        )
        if self.quiet and self.behaviour in QUIET and served < MIN_SERVED_SHARE * asked:
            found.append(f"only {served} of {asked} well-behaved requests were served")
        return found


def status_mb(pid: int, name: str) -> float:
    """Return a size of a process from its status file (proc(5)) in MB; 0 if it has ended."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1]) * 1024 / 1e6
    except OSError:
        pass
    return 0.0


class GoodClients:
    """Well-behaved clients that ask at a constant rate, whatever happens to others."""

    def __init__(self, rig: Rig, seed: int) -> None:
        """Prepare; nothing is connected yet."""
        self.rig, self.rng = rig, random.Random(seed)
        self.clients: list[StandInClient] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Ask for the given time, then wait for all answers."""
        end_ms = now_ms() + seconds * 1000.0
        self.clients = [await self.rig.terminal() for _ in range(GOOD_CLIENTS)]
        number = 0
        while now_ms() < end_ms:
            number += 1
            task = asyncio.create_task(self._ask(number % GOOD_CLIENTS))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1.0 / GOOD_REQUESTS_PER_S)
        await asyncio.gather(*self.tasks)
        for client in self.clients:
            client.close()

    async def _ask(self, index: int) -> None:
        if self.clients[index].needs_new_connection:
            try:
                self.clients[index] = await self.rig.terminal()
            except OSError:
                self.rig.verdicts.wrong.append("a connection was refused")
                return
        client = self.clients[index]
        if self.rng.random() < WRITE_SHARE:
            key = f"{self.rng.getrandbits(128):032x}"
            await client.effect("charge", self.rng.randrange(SHARED_OBJECTS), key)
        else:
            await client.read("files", self.rng.randrange(SHARED_OBJECTS))


def large_rig(seed: int, memory_mb: int) -> Rig:
    """Return a rig whose gateway runs as the deploy file starts it."""
    rig, truth = Rig(seed, 4), CrowdTruth()
    rig.truth = truth
    for server in (*rig.caches, rig.parent, rig.origin):
        server.truth = truth
    rig.command = [sys.executable, "-m", "hitchtiller", "--memory-tier"]
    rig.config = {"limits": {"sockets": DESCRIPTORS, "memory_mb": memory_mb, "cores": 1.0}}
    return rig


async def start_hostile(
    port: int, behaviour: str, clients: int, seconds: float, seed: int
) -> asyncio.subprocess.Process:
    """Start a process of hostile clients."""
    options = {"port": port, "behaviour": behaviour, "clients": clients, "seconds": seconds, "seed": seed}
    words = [word for name, value in options.items() for word in (f"--{name}", str(value))]
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "standins.hostile", *words, cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )


def faulty_command(seed: int, faults: Sequence[str]) -> list[str]:
    """Return the command of a gateway in a process with faults (`standins.faulty`)."""
    options = ["--seed", str(seed), "--faults", ",".join(faults), "--", "--memory-tier"]
    return [sys.executable, "-m", "standins.faulty", *options]


async def run_crowd(
    behaviour: str,
    clients: int,
    seconds: float,
    seed: int,
    memory_mb: int = 64,
    faults: Sequence[str] = (),
    servers: str = "",
) -> Result:
    """Run one crowd against a new gateway and return what it showed.

    `faults` are those of `standins.faulty`, `servers` a behaviour of `standins.hostile_servers`.
    """
    rig, result = large_rig(seed, memory_mb), Result(behaviour, seed)
    if servers:
        hostile_servers = [
            HostileServer(rig.truth, servers, random.Random(seed + number)) for number in range(2)
        ]
        rig.caches[: len(hostile_servers)] = hostile_servers
        result.quiet = False
    if faults:
        rig.command = faulty_command(seed, faults)
    await rig.start()
    try:
        await rig.launch()
        assert rig.process
        pid = rig.process.pid
        good = asyncio.create_task(GoodClients(rig, seed).run(LEAD_S + seconds + SETTLE_S))
        await asyncio.sleep(LEAD_S)
        if behaviour != NO_CROWD:
            hostile = await start_hostile(rig.port, behaviour, clients, seconds, seed)
            output, _ = await hostile.communicate()
            result.hostile = json.loads(output)
        await good
        result.peak_mb, result.left_mb = status_mb(pid, "VmHWM"), status_mb(pid, "VmRSS")
        result.exit_code = rig.process.returncode
        result.tracebacks = sum("Traceback" in line for line in rig.lines)
        if result.exit_code is None:
            figures = await rig.figures()
            result.held_bytes = figures.get("memory.held", 0)
            result.rejected = {name: n for name, n in figures.items() if n and name.startswith("rejected.")}
            result.closed = {name: n for name, n in figures.items() if name.startswith("closed.client.")}
    finally:
        await rig.kill()
        shutil.rmtree(rig.folder, ignore_errors=True)
    verdicts = rig.verdicts
    result.good, result.wrong = dict(sorted(verdicts.counts.items())), verdicts.wrong[:20]
    result.longest_wait_ms = max(verdicts.waits_ms, default=0.0)
    return result


@click.command()
@click.option("--behaviour", "behaviours", multiple=True, type=click.Choice((NO_CROWD, *BEHAVIOURS)))
@click.option("--all", "run_all", is_flag=True, help="Run every behaviour in turn.")
@click.option("--clients", default=300, show_default=True, type=click.IntRange(1, 341))
@click.option("--seconds", default=6.0, show_default=True, type=click.FloatRange(0.1, 600.0))
@click.option("--seed", default=1, show_default=True)
@click.option("--memory-mb", default=64, show_default=True, type=click.IntRange(32, 2048))
@click.option("--faults", multiple=True, type=click.Choice(FAULTS), help="May be given several times.")
@click.option("--servers", default="", type=click.Choice(("", *SERVER_BEHAVIOURS)))
def main(
    behaviours: tuple[str, ...],
    run_all: bool,
    clients: int,
    seconds: float,
    seed: int,
    memory_mb: int,
    faults: tuple[str, ...],
    servers: str,
) -> None:
    """Run crowds one after the other and print what each showed."""
    failed = False
    for behaviour in BEHAVIOURS if run_all else behaviours:
        count = 1 if behaviour in ONE_CONNECTION else clients
        result = asyncio.run(run_crowd(behaviour, count, seconds, seed, memory_mb, faults, servers))
        found = result.faults(memory_mb)
        click.echo(json.dumps(asdict(result) | {"faults": found}))
        failed = failed or bool(found)
    raise SystemExit(failed)


if __name__ == "__main__":
    main()
