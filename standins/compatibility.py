"""Checks that this build of the gateway works on data of an older build, in both directions.

    python -m standins.compatibility --old FOLDER

FOLDER is a worktree of the older build. Its processes run with its own `.venv/bin/python` where there is one,
otherwise with this interpreter; this build is the checkout that the script lies in. Both builds are reached
through command lines, sockets and files only, so identifiers may differ between them. The datagrams are
packed and read by a short program in each build, which finds the functions and classes by their annotations.
Stand-in servers and clients are those of this build.

One line is printed for each check. Exit code 0 if all checks hold, 1 if one failed, 2 for bad input.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import click

from standins.client import StandInClient, Verdicts
from standins.parties import Bus, Server, ServerBehaviour
from standins.truth import Truth

ROOT = Path(__file__).parent.parent
LOOPBACK = "127.0.0.1"
PORTS = range(20_000, 32_000)
CHECK_S = 40.0  # one check may take so long at the most
COMMAND_S = 30.0  # one command of a build
END_S = 10.0  # from SIGTERM until a gateway has ended
POLL_S = 0.02
REPLAY_MS = 60_000.0  # how far back the bus tells a gateway of purges when it starts
PURGE_LOG = "purges.log"
LOAD_MS = "load_ms"  # the only fact of `store inspect` that differs from run to run

CACHES = ("s-00000000", "s-00000001")
STORE_KEYS, LATER_KEYS = range(1, 31), range(31, 41)  # before and after the checkpoint
LEAVING_SHARE = 1_000  # of a cache that leaves; the others have 50
HELD_OUT_KEYS = range(1, 41)
CHECKPOINT_S = 3.0
SYNC_S = 0.1


# Builds and their processes


class Mismatch(Exception):
    """A check that does not hold; the text says what was expected and what was seen."""


class UnusableBuild(Exception):
    """A folder that is no build of the gateway."""


def expect(what: str, expected: object, seen: object) -> None:
    """Raise Mismatch unless both values are equal; of two objects only what differs is told."""
    if isinstance(expected, dict) and isinstance(seen, dict):
        names = [name for name in {**expected, **seen} if expected.get(name) != seen.get(name)]
        expected, seen = ({name: each.get(name) for name in names} for each in (expected, seen))
    if expected != seen:
        raise Mismatch(f"{what}: expected {expected!r}, saw {seen!r}")


@dataclass(frozen=True, slots=True)
class Ended:
    """The result of a command."""

    code: int
    out: str
    err: str


@dataclass(frozen=True, slots=True)
class Build:
    """One build of the gateway: its sources and the interpreter that runs them."""

    label: str
    folder: Path
    python: str

    def environment(self, temporary: Path, **more: str) -> dict[str, str]:
        """Return the environment of a process; the build's folder goes before installed packages."""
        base = {"PATH": os.environ["PATH"], "PYTHONPATH": str(self.folder), "TMPDIR": str(temporary)}
        return base | more


@dataclass(slots=True)
class Processes:
    """Every process that this run started, so that all can be ended."""

    folder: Path
    started: list[asyncio.subprocess.Process] = field(default_factory=list)

    async def start(
        self, build: Build, arguments: Iterable[str], environment: dict[str, str], fds: tuple[int, ...] = ()
    ) -> asyncio.subprocess.Process:
        """Start the build's interpreter with pipes on all three standard streams."""
        pipe = asyncio.subprocess.PIPE
        child = await asyncio.create_subprocess_exec(
            build.python, *arguments, cwd=build.folder, env=environment, pass_fds=fds,
            stdin=pipe, stdout=pipe, stderr=pipe, limit=1 << 20,
        )  # fmt: skip
        self.started.append(child)
        return child

    async def run(self, build: Build, *arguments: str, text: str = "", **environment: str) -> Ended:
        """Run a command to its end."""
        child = await self.start(build, arguments, build.environment(self.folder, **environment))
        async with asyncio.timeout(COMMAND_S):
            out, err = await child.communicate(text.encode())
        return Ended(child.returncode or 0, out.decode(), err.decode())

    async def tool(self, build: Build, *arguments: str) -> Ended:
        """Run a command of the build's command line."""
        return await self.run(build, "-m", "hitchtiller.cli", *arguments)

    async def end_all(self) -> None:
        """Kill each process that still runs."""
        for child in self.started:
            if child.returncode is None:
                child.kill()
                await child.wait()


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a loopback port that is free, outside the range from which the system takes ports by itself."""
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket(socket.AF_INET, kind) as sock, contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            return port
    raise Mismatch(f"ports on loopback: expected a free one from {PORTS[0]} to {PORTS[-1]}, saw none")


class Gateway:
    """One gateway process of a build, reached through its ports only."""

    def __init__(self, build: Build, number: int, folder: Path) -> None:
        """Prepare; `folder` holds the configuration and is shared by all lives of one gateway."""
        self.build, self.number, self.folder = build, number, folder
        self.port = self.control = 0
        self.lines: list[str] = []
        self.child: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None

    async def start(
        self, processes: Processes, config: dict[str, Any], hcl: str, listener: socket.socket | None = None
    ) -> None:
        """Start the process and wait until it is ready; a `listener` is handed to it as the platform does."""
        self.port, self.control = free_port(), free_port()
        own = {"listen": f"{LOOPBACK}:{self.port}", "control": f"{LOOPBACK}:{self.control}"}
        temporary = self.folder / "tmp"
        temporary.mkdir(parents=True, exist_ok=True)
        config_path, hcl_path = self.folder / "config.json", self.folder / "gateway.hcl"
        config_path.write_text(json.dumps(config | own))
        hcl_path.write_text(hcl)
        environment = self.build.environment(temporary, BALANCER_CONFIG=str(config_path))
        if listener:
            self.port = listener.getsockname()[1]
            environment["BALANCER_LISTEN_FD"] = str(listener.fileno())
        arguments = ("-m", "hitchtiller.cli", "serve", "--file", str(hcl_path))
        fds = (listener.fileno(),) if listener else ()
        self.child = await processes.start(self.build, arguments, environment, fds)
        self.reader = asyncio.create_task(self._read())
        await self.until("the gateway is ready", self._ready)

    async def _read(self) -> None:
        assert self.child and self.child.stderr
        while raw := await self.child.stderr.readline():
            self.lines.append(raw.decode().rstrip())

    async def _ready(self) -> bool:
        if self.child and self.child.returncode is not None:
            raise Mismatch(
                f"{self.build.label} gateway ended with {self.child.returncode}: {self.lines[-3:]}"
            )
        try:
            return await self.call("ready") == ["+OK ready"]
        except OSError:  # it does not listen yet
            return False

    async def until(self, what: str, holds: Callable[[], Awaitable[bool]], patience_s: float = 20.0) -> None:
        """Wait until a condition holds; Mismatch if it does not within the time."""
        try:
            async with asyncio.timeout(patience_s):
                while not await holds():
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            where = f"{self.build.label} gateway {self.number}"
            raise Mismatch(f"{where}: {what}: not within {patience_s:.0f} s: {self.lines[-2:]}") from None

    async def call(self, line: str) -> list[str]:
        """Return the lines that an operator's call is answered with."""
        reader, writer = await asyncio.open_connection(LOOPBACK, self.control)
        writer.write(line.encode() + b"\n")
        data = await asyncio.wait_for(reader.read(-1), END_S)
        writer.close()
        return data.decode().splitlines()

    async def figures(self) -> dict[str, int]:
        """Return the gateway's figures by name, without their prefix."""
        pairs = [line.partition("|")[0].rpartition(":") for line in await self.call("show-stat")]
        return {
            name.partition(".")[2]: int(value) for name, _, value in pairs if value.lstrip("-").isdecimal()
        }

    async def until_figure(self, name: str, least: int, patience_s: float = 20.0) -> None:
        """Wait until a figure has at least this value."""

        async def reached() -> bool:
            return (await self.figures()).get(name, 0) >= least

        await self.until(f"{name} is at least {least}", reached, patience_s)

    async def members(self) -> dict[int, str]:
        """Return what the gateway believes of each number, by the name of the state."""
        rows = [line.split("|") for line in await self.call("members")]
        return {int(row[0]): row[1] for row in rows if row[0].isdecimal()}

    async def terminate(self) -> int:
        """End the process in order; return its exit code."""
        assert self.child
        self.child.terminate()
        return await self.ended()

    async def ended(self, patience_s: float = END_S) -> int:
        """Return the exit code once the process has ended and its log is read."""
        assert self.child and self.reader
        code = await asyncio.wait_for(self.child.wait(), patience_s)
        await self.reader
        return code

    async def kill(self) -> None:
        """End the process as a power cut does."""
        assert self.child
        self.child.kill()
        await self.ended()


# Stand-ins


def example() -> dict[str, Any]:
    """Return this build's example of a configuration."""
    found: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())
    return found


def settings() -> dict[str, Any]:
    """Return the example's settings with rates and periods that suit short runs."""
    setup: dict[str, Any] = example()["settings"]
    setup["family_info"] |= {
        "feed_kb_per_s": [0.0, 500_000.0],
        "stream_kb_per_s": 60_000.0,
        "gone_everywhere_ms": REPLAY_MS,
    }
    return setup


async def hang_up(client: StandInClient) -> None:
    """Close a client's connection and wait until its task has ended."""
    client.close()
    if client.task:
        await asyncio.wait_for(client.task, END_S)


class Site:
    """Caches, a parent, an origin and one bus on asyncio, with a client whose answers are judged."""

    def __init__(
        self,
        seed: int,
        zones: tuple[str, ...] = ("north", "north"),
        lacks: bool = False,
        has_leaving: bool = False,
    ) -> None:
        """Prepare one cache in each of `zones`.

        With `lacks` a cache without a copy says so when it is asked. With `has_leaving` each zone lists a
        much larger cache that is leaving: nearly all objects belong there, and are looked up elsewhere.
        """
        self.has_leaving = has_leaving
        self.rng, self.truth, self.verdicts = random.Random(seed), Truth(), Verdicts()
        self.zones, script = zones, ServerBehaviour(lacks=lacks)
        self.caches = [Server(self.truth, script, random.Random(seed + n)) for n, _ in enumerate(zones)]
        self.parent = Server(self.truth, script, random.Random(seed + 50))
        self.origin = Server(self.truth, ServerBehaviour(), random.Random(seed + 51), origin=True)
        self.fills: Counter[tuple[int, str, int]] = Counter()  # by cache, source and object
        self.looks: Counter[tuple[int, int]] = Counter()  # by cache and object: requests that name no source
        self.bus: Bus | None = None

    async def start(self, has_parent: bool = True) -> None:
        """Start the servers and the bus."""
        hosts = []
        places = [(zone, "box") for zone in self.zones] + [("hub", "parent"), ("hub", "origin")]
        servers = [*self.caches, self.parent, self.origin]
        for number, ((zone, kind), server) in enumerate(zip(places, servers, strict=True)):
            await server.start()
            if kind == "parent" and not has_parent:
                continue
            hosts.append(
                {"host": f"s-{number:08x}", "dial": f"{LOOPBACK}:{server.port}", "site": zone, "class": kind,
                 "block": 0, "health": "Ready", "share": 50, "born_ms": 0}
            )  # fmt: skip
        if self.has_leaving:
            hosts += [
                hosts[number]
                | {"host": f"s-{0x100 + number:08x}", "health": "Terminating", "share": LEAVING_SHARE}
                for number in range(len(self.caches))
            ]
        for number, cache in enumerate(self.caches):
            cache.ear = partial(self._hear, number)
        self.hosts = hosts
        self.bus = await self.new_bus()

    def _hear(self, cache: int, peer: tuple[str, int], fields: dict[str, str]) -> None:
        key = int(fields["name"], 16)
        if source := fields.get("up"):
            self.fills[cache, source, key] += 1
        else:
            self.looks[cache, key] += 1

    async def new_bus(self) -> Bus:
        """Return a bus of its own for one gateway."""
        bus = Bus(self.truth, self.hosts, REPLAY_MS)
        await bus.start()
        return bus

    def config(self, bus: Bus, beside: bool = False, **more: Any) -> dict[str, Any]:
        """Return a configuration; `beside` is for a process that starts beside one of the same gateway."""
        base = {
            "name": "n0", "seed": "1", "limits": {"sockets": 512, "memory_mb": 512},
            "bus": f"{LOOPBACK}:{bus.port}", "known": bus.known if beside else bus.begin(),
            "settings": settings(),
        }  # fmt: skip
        return base | more

    @property
    def pulls(self) -> int:
        """Return the requests that servers have had."""
        return sum(server.pulls for server in (*self.caches, self.parent, self.origin))

    async def client(self, gateway: Gateway) -> StandInClient:
        """Return a client that is connected to a gateway."""
        client = StandInClient(self.truth, self.verdicts, random.Random(self.rng.getrandbits(32)))
        await client.connect(gateway.port)
        return client

    async def ask(self, gateway: Gateway, keys: Iterable[int], wait_ms: float = 2_000.0) -> None:
        """Have a gateway serve objects to a new client; Mismatch where one is not served as it should be."""
        client = await self.client(gateway)
        try:
            for key in keys:
                answer = await client.read("files", key, wait_ms=wait_ms)
                code = answer.code if answer else "no answer"
                expect(f"{gateway.build.label} gateway {gateway.number}: code of object {key}", 0, code)
        finally:
            await hang_up(client)
        expect("answers that break a rule", [], self.verdicts.wrong)


# The first byte of datagrams
ASK, HOLDER, KEPT = 0, 1, 2  # notes on objects
REQUEST, GRANT, DENIAL, RETURN = 4, 5, 6, 7  # notes on leases
MEMBERSHIP = 0xA7  # messages on members
PERMITS = 24  # the gateways with lower numbers own one permit for fills at the origin each
NOBODY = f"{LOOPBACK}:9"  # the address of a gateway that does not run


class Wires:
    """Carries datagrams between gateways and counts them by sender, receiver and first byte.

    Socket (i, j) stands for gateway i towards gateway j: j's list of peers names it for i, and what j sends
    to it is carried to i's own address from socket (j, i). Where a `lender` is given, the addresses of all
    owners of permits that do not run lead to it, as far as notes on leases go: an owner is drawn at random,
    and a request has to reach a process that runs.
    """

    def __init__(self, size: int, numbers: tuple[int, ...], lender: int | None = None) -> None:
        """Open the sockets for the gateways that run, out of `size` that are configured."""
        self.size, self.lender = size, lender
        self.home = {number: (LOOPBACK, free_port(socket.SOCK_DGRAM)) for number in numbers}
        self.socks: dict[tuple[int, int], socket.socket] = {}
        self.asked: dict[int, int] = {}  # by borrower: the owner that its latest request was sent to
        self.counts: Counter[tuple[int, int, int]] = Counter()
        named = {*numbers, *range(PERMITS if lender is not None else 0)}
        for pair in ((i, j) for i in sorted(named) for j in numbers if i != j):
            sock = self.socks[pair] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind((LOOPBACK, 0))

    def start(self) -> None:
        """Carry datagrams from now on, in the running loop."""
        loop = asyncio.get_running_loop()
        for pair, sock in self.socks.items():
            loop.add_reader(sock.fileno(), self._read, *pair)

    def close(self) -> None:
        """Close the sockets."""
        loop = asyncio.get_running_loop()
        for sock in self.socks.values():
            loop.remove_reader(sock.fileno())
            sock.close()

    def config(self, number: int) -> dict[str, Any]:
        """Return what a gateway's configuration holds of the others."""
        own = self.home[number]
        peers = [NOBODY] * self.size
        for i, j in self.socks:
            if j == number:
                peers[i] = f"{LOOPBACK}:{self.socks[i, j].getsockname()[1]}"
        peers[number] = f"{own[0]}:{own[1]}"
        return {"peers": peers, "peer_listen": peers[number]}

    def crossed(self, senders: Iterable[int], receivers: Iterable[int], kind: int) -> int:
        """Return how many datagrams of a kind were carried from some gateways to others."""
        pairs = [(sender, receiver) for sender in senders for receiver in receivers]
        return sum(self.counts[sender, receiver, kind] for sender, receiver in pairs)

    def _read(self, named: int, sender: int) -> None:
        while True:
            try:
                data, address = self.socks[named, sender].recvfrom(2048)
            except OSError:
                return
            if data and address == self.home[sender]:
                self._carry(named, sender, data)

    def _carry(self, named: int, sender: int, data: bytes) -> None:
        kind, receiver = data[0], named
        if named not in self.home:
            if kind not in (REQUEST, RETURN) or self.lender in (None, sender):
                return
            receiver = self.lender or 0
        if kind == REQUEST:
            self.asked[sender] = named
        source = self.asked.get(receiver, sender) if kind in (GRANT, DENIAL) else sender
        self.counts[sender, receiver, kind] += 1
        with contextlib.suppress(OSError):  # the receiver has ended
            self.socks[source, receiver].sendto(data, self.home[receiver])


# Checks


class Report:
    """Prints one line for each check and counts those that failed."""

    def __init__(self, only: str) -> None:
        """Run those groups of checks whose names begin with `only`."""
        self.only, self.failed, self.run = only, 0, 0

    def wants(self, name: str) -> bool:
        """Return whether a group of checks is to be run."""
        return name.startswith(self.only)

    @asynccontextmanager
    async def check(self, name: str) -> AsyncIterator[list[str]]:
        """Run the block as a check; what it appends to the list is told in the line."""
        seen: list[str] = []
        self.run += 1
        try:
            async with asyncio.timeout(CHECK_S):
                yield seen
        except Exception as error:  # whatever breaks a check is its failure, and the next one is run
            self.failed += 1
            reason = str(error) if isinstance(error, Mismatch) else f"expected no error, saw {error!r}"
            click.echo(f"FAILED {name}: {' '.join(reason.split())}")
        else:
            click.echo(f"ok {name}{': ' if seen else ''}{', '.join(seen)}")


@dataclass(frozen=True, slots=True)
class Trial:
    """What a check works with: the two builds, a temporary folder, and what was started."""

    old: Build
    new: Build
    folder: Path
    processes: Processes
    report: Report

    def directions(self) -> list[tuple[Build, Build]]:
        """Return both orders of the builds; the one that writes goes first."""
        return [(self.old, self.new), (self.new, self.old)]

    def room(self, name: str) -> Path:
        """Return a new folder below the temporary one."""
        return Path(tempfile.mkdtemp(prefix=f"{name}-", dir=self.folder))


def store_file(folder: Path) -> str:
    """Return an operators' file that switches both tiers on."""
    return (
        f"store {{\n  memory_mb = 1\n  purge_lag_ms = 600\n  disk {{\n"
        f'    folder = "{folder}"\n    budget_mb = 24\n    segment_mb = 2\n'
        f"    sync_ms = {1000 * SYNC_S:.0f}\n    checkpoint_s = {CHECKPOINT_S}\n  }}\n}}\n"
    )


async def store_in_use(gateway: Gateway, folder: Path) -> None:
    """Wait until a gateway has opened its folder; it has then written the first record of its purge log."""

    async def written() -> bool:
        return any(path.stat().st_size for path in folder.glob(PURGE_LOG))

    await gateway.until("the store is in use", written)


async def write_store(trial: Trial, site: Site, writer: Build, room: Path) -> None:
    """Have a gateway write copies before and after a checkpoint, and kill it."""
    assert site.bus
    gateway = Gateway(writer, 0, room / "writer")
    await gateway.start(trial.processes, site.config(site.bus), store_file(room / "store"))
    await store_in_use(gateway, room / "store")
    for _ in range(2):  # an object is kept on disk from its second request on at the latest
        await site.ask(gateway, STORE_KEYS)
    await gateway.until_figure("store.disk.parts", len(STORE_KEYS))
    before = (await gateway.figures())["store.disk.checkpoints"]
    await gateway.until_figure("store.disk.checkpoints", before + 1)
    for _ in range(2):
        await site.ask(gateway, LATER_KEYS)
    await gateway.until_figure("store.disk.parts", len(STORE_KEYS) + len(LATER_KEYS))
    await asyncio.sleep(4.0 * SYNC_S)
    await gateway.kill()


async def store_facts(trial: Trial, build: Build, folder: Path) -> tuple[dict[str, Any], dict[str, Any]]:
    """Return what `store inspect` and `store verify` of a build tell of a copy of a folder."""
    copy = trial.room("copy") / "store"
    shutil.copytree(folder, copy)
    found = []
    for command in ("inspect", "verify"):
        done = await trial.processes.tool(build, "store", command, str(copy), "--json")
        expect(f"exit code of store {command} by the {build.label} build ({done.err!r})", 0, done.code)
        found.append(json.loads(done.out))
    found[0].pop(LOAD_MS)
    return found[0], found[1]


async def compare_store(trial: Trial, folder: Path, writer: Build, reader: Build) -> str:
    """Check that both builds' commands find a folder whole and alike; return the counts in words."""
    own, other = [await store_facts(trial, build, folder) for build in (writer, reader)]
    expect(f"store inspect by the {reader.label} build", own[0], other[0])
    expect(f"store verify by the {reader.label} build", own[1], other[1])
    facts, parts = other[0], len(STORE_KEYS) + len(LATER_KEYS)
    expect("parts", parts, facts["parts"])
    expect("a checkpoint was used", True, facts["checkpoint"] > 0)
    expect("records were read after the checkpoint", True, facts["records_read"] > 0)
    expect("damaged records", 0, other[1]["bad"])
    expect("notes", [], other[1]["notes"] + facts["notes"])
    return f"{parts} parts, {facts['records_read']} of them after checkpoint {facts['checkpoint']}"


async def serve_store(trial: Trial, site: Site, reader: Build, room: Path) -> str:
    """Check that a gateway serves all objects from a folder that another build wrote; return the counts."""
    assert site.bus
    keys = [*STORE_KEYS, *LATER_KEYS]
    gateway = Gateway(reader, 0, room / "reader")
    await gateway.start(trial.processes, site.config(site.bus), store_file(room / "store"))
    await gateway.until_figure("store.disk.parts", len(keys))
    before = site.pulls
    await site.ask(gateway, keys)
    figures = await gateway.figures()
    expect("hits on disk", len(keys), figures["store.hits.disk"])
    expect("damaged records", 0, figures["store.disk.torn"])
    expect("requests to caches and origin", 0, site.pulls - before)
    expect("exit code", 0, await gateway.terminate())
    return f"{len(keys)} hits on disk, no request to a server"


async def check_stores(trial: Trial) -> None:
    """Run the checks of folders of copies, in both directions."""
    for writer, reader in trial.directions():
        site, room, names = Site(5), trial.room("store"), f"{writer.label} to {reader.label}"
        await site.start()
        async with trial.report.check(f"A1 store folder, {names}, commands") as seen:
            await write_store(trial, site, writer, room)
            seen.append(await compare_store(trial, room / "store", writer, reader))
        async with trial.report.check(f"A1 store folder, {names}, killed, then served") as seen:
            seen.append(await serve_store(trial, site, reader, room))
        async with trial.report.check(f"A1 store folder, {names}, ended in order, then served back") as seen:
            seen.append(await serve_store(trial, site, writer, room))


async def hold_out(trial: Trial, site: Site, writer: Build, room: Path) -> None:
    """Have an operator disable one cache at a gateway of one build."""
    assert site.bus
    gateway = Gateway(writer, 0, room)
    await gateway.start(trial.processes, site.config(site.bus), "")
    (answer,) = await gateway.call(f"disable-server {CACHES[1]}")
    expect("answer to disable-server", "+OK", answer[:3])
    expect("exit code", 0, await gateway.terminate())


async def check_held_out(trial: Trial) -> None:
    """Run the checks of the hold-out file, in both directions."""
    for writer, reader in trial.directions():
        async with trial.report.check(f"A2 hold-out file, {writer.label} to {reader.label}") as seen:
            site, room = Site(6), trial.room("held-out")
            await site.start()
            assert site.bus
            await hold_out(trial, site, writer, room)
            gateway = Gateway(reader, 0, room)
            await gateway.start(trial.processes, site.config(site.bus), "")
            expect("caches left out", 1, (await gateway.figures())["station_caches_excluded"])
            await site.ask(gateway, HELD_OUT_KEYS)
            expect("requests to the cache that was disabled", 0, site.caches[1].pulls)
            expect("requests to the other cache", True, site.caches[0].pulls >= len(HELD_OUT_KEYS))
            (answer,) = await gateway.call(f"enable-server {CACHES[1]}")
            expect("answer to enable-server", "+OK", answer[:3])
            expect("caches left out", 0, (await gateway.figures())["station_caches_excluded"])
            expect("exit code", 0, await gateway.terminate())
            seen.append(f"{len(HELD_OUT_KEYS)} requests, none to the cache that was disabled")


# Operators' files


FULL_FILE = """
log {
  form = "json"
}
store {
  memory_mb = 32.5
  policy = "tinylfu"
  confirm = false
  purge_lag_ms = 1500
  share "files" {
    weight = 3
  }
  disk {
    folder = "/var/lib/hitchtiller/store"
    budget_mb = 2048
    reserve_mb = 100
    segment_mb = 32
    queue_mb = 4
    readers = 3
    sync_ms = 500
    checkpoint_s = 10
    compact_mb_per_s = 20
    compact_busy_mb_per_s = 2
  }
}
repo {
  listen = "127.0.0.1:8080"
  connections = 100
  each_address = 8
  header_s = 4
  idle_s = 10
  slow_s = 12
  give_way = false
  hosts = "a.example,b.example"
  repository "python" {
    kind = "simple"
    class_name = "files"
    prefix = "pypi/"
    group = 7
    grace_s = 30
    index_mb = 16
  }
  repository "debian" {
    kind = "debian"
    class_name = "files"
    prefix = "debian/"
  }
}
membership {
  period_ms = 500
  fleet = "east"
}
"""
BARE_FILE = """
store {
  share "files" {
  }
  disk {
    folder = "/var/lib/hitchtiller/store"
  }
}
repo {
  listen = "127.0.0.1:8080"
  repository "python" {
    kind = "simple"
    class_name = "files"
  }
}
membership {
}
"""
OPERATORS_FILES = (  # name, text, exit code of `hitchtiller check`, what has to be told
    ("empty", "", 0, ()),
    ("full", FULL_FILE, 0, ()),
    ("defaults", BARE_FILE, 0, ()),
    ("unknown block", "stor {\n}\n", 1, ("'stor'", "'store'")),
    ("unknown setting", "membership {\n  periodms = 500\n}\n", 1, (":2:", "period_ms")),
    ("wrong unit", 'membership {\n  period_ms = "500ms"\n}\n', 1, (":2:", "period_ms", "500ms")),
    ("wrong choice", 'store {\n  policy = "arc"\n}\n', 1, (":2:", "policy", "arc")),
    ("out of bounds", "membership {\n  period_ms = 49\n}\n", 1, (":2:", "period_ms", "49")),
    ("missing", "store {\n  disk {\n  }\n}\n", 1, ("folder",)),
    ("relation", 'store {\n disk {\n folder = "/x"\n budget_mb = 2\n }\n}\n', 1, ("budget_mb",)),
    ("no HCL", "store {{\n", 1, (":1:",)),
)  # fmt: skip


async def compare_outputs(trial: Trial, *arguments: str) -> Ended:
    """Check that a command ends and prints alike in both builds; return the older build's result."""
    old, new = [await trial.processes.tool(build, *arguments) for build in (trial.old, trial.new)]
    expect(f"exit code of {arguments[0]} by the newer build", old.code, new.code)
    expect(f"output of {arguments[0]} by the newer build", old.out, new.out)
    expect(f"errors of {arguments[0]} by the newer build", old.err, new.err)
    return old


async def check_operators_files(trial: Trial) -> None:
    """Run the checks of the operators' file."""
    room = trial.room("files")
    shipped = (ROOT / "deploy" / "gateway.example.hcl").read_text()
    for name, text, code, told in (("example", shipped, 0, ()), *OPERATORS_FILES):
        async with trial.report.check(f"A3 operators' file, {name}") as seen:
            path = room / f"{name.replace(' ', '-')}.hcl"
            path.write_text(text)
            done = await compare_outputs(trial, "check", str(path))
            expect("exit code", code, done.code)
            expect(
                "parts of the output that are missing", [], [part for part in told if part not in done.out]
            )
            if code == 0:
                done = await compare_outputs(trial, "check", str(path), "--json")
                expect("problems", [], json.loads(done.out)["problems"])
            seen.append(f"exit code {code}")


# Datagrams: a program for either build, which reads JSON on standard input and writes JSON.
# Values are lists in the order of the fields, with numbers for names that do not leave the process.
DATAGRAM_PROGRAM = '''
import dataclasses, enum, inspect, json, sys
from typing import get_args, get_type_hints
from hitchtiller.codec import notes
from hitchtiller.membership import words


def functions(module):
    """Return the function that writes bytes and the one that reads them."""
    packs = reads = None
    for name, function in vars(module).items():
        if name.startswith("_") or not inspect.isfunction(function) or function.__module__ != module.__name__:
            continue
        hints = get_type_hints(function)
        result = hints.pop("return")
        first = next(iter(hints.values()), None)
        if result is bytes and first is not bytes:
            packs = function
        elif first is bytes and result is not bool:
            reads = function
    return packs, reads


def hints(kind):
    return list(get_type_hints(kind).values())


def plain(value):
    """Return a value as numbers and lists."""
    if type(value) is object_note:
        return [kinds.index(value.kind), *map(plain, list(vars_of(value))[1:])]
    if dataclasses.is_dataclass(value):
        return [plain(each) for each in vars_of(value)]
    if isinstance(value, (list, tuple)):
        return [plain(each) for each in value]
    return int(value) if isinstance(value, enum.IntEnum) else value


def vars_of(value):
    return [getattr(value, field.name) for field in dataclasses.fields(value)]


pack_note, read_note = functions(notes)
pack_word, read_word = functions(words)
object_note, lease_note = sorted(
    get_args(hints(pack_note)[0]), key=lambda kind: len(dataclasses.fields(kind)), reverse=True
)
kinds = next(v for v in vars(notes).values() if isinstance(v, tuple) and all(isinstance(k, str) for k in v))
word = hints(pack_word)[0]
claim = get_args(get_args(hints(word)[4])[0])[1]
report = get_args(hints(word)[5])[0]


def make_note(values):
    if len(values) == 5:
        return object_note(kinds[values[0]], *values[1:])
    return lease_note(hints(lease_note)[0](values[0]), *values[1:])


def make_word(values):
    kind, sender, number, target, items, reports = values
    claims = [(about, claim(made, hints(claim)[1](state)), by) for about, (made, state), by in items]
    seen = [report(server, hints(report)[1](sign), *rest) for server, sign, *rest in reports]
    return word(hints(word)[0](kind), sender, number, target, claims, seen)


enums = [hints(lease_note)[0], hints(word)[0], hints(claim)[1], hints(report)[1]]
asked = json.load(sys.stdin)
print(json.dumps({
    "names": [{name: place for place, name in enumerate(kinds)}]
    + [{member.name: int(member) for member in each} for each in enums],
    "notes": [pack_note(make_note(values)).hex() for values in asked.get("notes", [])],
    "words": [pack_word(make_word(values), asked["fleet"]).hex() for values in asked.get("words", [])],
    "read_notes": [plain(read_note(bytes.fromhex(data))) for data in asked.get("read_notes", [])],
    "read_words": [
        plain(read_word(bytes.fromhex(data), asked["fleet"])) for data in asked.get("read_words", [])
    ],
}))
'''
FLEET_MARK = 0x5EED_CAFE
OBJECT_HEAD_BYTES, LEASE_BYTES, WORD_HEAD_BYTES = 13, 15, 20
REPORT_KIND = 5  # of the membership messages, the one with reports in place of claims
Values = list[Any]


def object_notes() -> list[Values]:
    """Return one note of each kind: kind, key, part, server, number."""
    return [[kind, 0x0123456789ABCDEF + kind, 0x0102 + kind, CACHES[1] if kind != 3 else "", 0xA1B2]
            for kind in range(4)]  # fmt: skip


def lease_notes() -> list[Values]:
    """Return one note of each kind: kind, incarnation, sequence, wait in ms."""
    return [[kind, 0x018BCFE56801, 0xC3D4, 70_001.0 if kind == 2 else 0.0] for kind in range(4)]


def membership_messages() -> list[Values]:
    """Return one message of each kind: kind, sender, number, target, claims, reports."""
    claims: list[Values] = [[0x0107 + state, [0x018BCFE56800 + state, state], 0x0103] for state in range(4)]
    reports: list[Values] = [
        [0xDEADBEE0 + symptom, symptom, 0x0105, 25.0 * (3 + symptom), 9] for symptom in range(3)
    ]
    return [
        [kind, 0x010B, 0x01020304, 0x0111, *([[], reports] if kind == REPORT_KIND else [claims, []])]
        for kind in range(6)
    ]


async def datagrams(trial: Trial, build: Build, **asked: Any) -> dict[str, list[Any]]:
    """Have a build pack values and read datagrams."""
    text = json.dumps({"fleet": FLEET_MARK, **asked})
    done = await trial.processes.run(build, "-c", DATAGRAM_PROGRAM, text=text)
    expect(f"exit code of the {build.label} build's program ({done.err[-200:]!r})", 0, done.code)
    found: dict[str, list[Any]] = json.loads(done.out)
    return found


def damaged_notes(packed: list[str]) -> list[str]:
    """Return datagrams that no build may take for a note."""
    objects, leases = [data for data in packed if int(data[:2], 16) < REQUEST], packed[4:]
    cut = [data[: 2 * (OBJECT_HEAD_BYTES - 1)] for data in objects] + [data[:-2] for data in leases]
    longer = [data + "00" for data in leases]
    foreign = ["08" + data[2:] for data in packed]
    return ["", *cut, *longer, *foreign, *(data + "ff" for data in objects)]


def damaged_words(packed: list[str]) -> list[str]:
    """Return membership messages with one byte changed, cut short, or too long."""
    found = []
    for text in packed:
        data = bytes.fromhex(text)
        found += [
            (data[:place] + bytes((data[place] ^ 1,)) + data[place + 1 :]).hex() for place in range(len(data))
        ]
        found += [data[:-1].hex(), data[: WORD_HEAD_BYTES - 1].hex(), (data + b"\0").hex()]
    return found


async def check_datagrams(trial: Trial) -> None:
    """Run the checks of what gateways send to each other."""
    notes, words = [*object_notes(), *lease_notes()], membership_messages()
    async with trial.report.check("A4 numbers of kinds, states and symptoms") as seen:
        tables = [(await datagrams(trial, build))["names"] for build in (trial.old, trial.new)]
        shared = 0
        for old, new in zip(*tables, strict=True):
            expect("numbers in use", sorted(old.values()), sorted(new.values()))
            names = old.keys() & new.keys()  # others are renamed, and have a number that is free
            expect("numbers of names", {n: old[n] for n in names}, {n: new[n] for n in names})
            shared += len(names)
        seen.append(f"{shared} of {sum(map(len, tables[0]))} names are shared and have one number")
    for writer, reader in trial.directions():
        async with trial.report.check(f"A4 datagrams, {writer.label} to {reader.label}") as seen:
            packed = await datagrams(trial, writer, notes=notes, words=words)
            asked = {"read_notes": packed["notes"], "read_words": packed["words"]}
            read = await datagrams(trial, reader, **asked)
            for values, found in zip([*notes, *words], read["read_notes"] + read["read_words"], strict=True):
                expect("values of a datagram", values, found)
            seen.append(f"{len(notes)} notes and {len(words)} membership messages")
        async with trial.report.check(f"A4 damaged datagrams, {writer.label} to {reader.label}") as seen:
            packed = await datagrams(trial, writer, notes=notes, words=words)
            bad = {"read_notes": damaged_notes(packed["notes"]), "read_words": damaged_words(packed["words"])}
            read = await datagrams(trial, reader, **bad)
            for kind, sent in bad.items():
                taken = [(data, values) for data, values in zip(sent, read[kind], strict=True) if values]
                expect("damaged datagrams that were read", [], taken)
            seen.append(f"{sum(map(len, bad.values()))} refused")


TRACE_REQUESTS, TRACE_OBJECTS = 4_000, 400


async def check_trace(trial: Trial) -> None:
    """Run the check of `store replay`."""
    async with trial.report.check("A5 trace for store replay") as seen:
        rng, path = random.Random(7), trial.room("trace") / "trace.txt"
        sizes = [rng.randint(200, 200_000) for _ in range(TRACE_OBJECTS)]
        keys = [min(int(rng.paretovariate(0.7)), TRACE_OBJECTS) - 1 for _ in range(TRACE_REQUESTS)]
        path.write_text("# KEY SIZE\n" + "".join(f"object-{key} {sizes[key]}\n" for key in keys))
        done = await compare_outputs(trial, "store", "replay", "--trace", str(path), "--json")
        expect("exit code", 0, done.code)
        rows = json.loads(done.out)["rows"]
        expect("policies with hits", True, len(rows) >= 2 and all(row["share"] > 0.0 for row in rows))
        seen.append(f"{len(rows)} policies over {TRACE_REQUESTS} requests")
    async with trial.report.check("A5 bad trace for store replay") as seen:
        path = trial.room("trace") / "bad.txt"
        path.write_text("object-1 100\nobject-2\n")
        done = await compare_outputs(trial, "store", "replay", "--trace", str(path))
        expect("exit code", 2, done.code)
        expect("the line is told", True, f"{path}:2:" in done.err)
        seen.append("exit code 2")


Change = Callable[[dict[str, Any]], object]


def bad_configs() -> list[tuple[str, str, tuple[str, ...]]]:
    """Return configurations that can't be used: a name, the text, and what has to be told."""
    changes: list[tuple[str, Change, tuple[str, ...]]] = [
        ("without bus", lambda config: config.pop("bus"), ("'bus'",)),
        ("without settings", lambda config: config.pop("settings"), ("'settings'",)),
        ("bad address", lambda config: config.update(listen="127.0.0.1"), ("'127.0.0.1'",)),
        ("bad number", lambda config: config["settings"].update(my_number=3), ("my_number", "3", "1")),
        ("unknown zone", lambda config: config["settings"].update(my_zone="west"), ("my_zone", "'west'")),
        ("no classes", lambda config: config["settings"].update(classes=[]), ("classes",)),
        (
            "negative rate",
            lambda config: config["settings"]["family_info"].update(stream_kb_per_s=-5),
            ("flow_kb_per_s", "-5"),
        ),
        (
            "unknown effect",
            lambda config: config["settings"]["classes"][0].update(effect="twice"),
            ("'files'", "'twice'"),
        ),
        (
            "short list",
            lambda config: config["settings"]["family_info"].update(hub_of=[0]),
            ("hub_of", "[0]", "2"),
        ),
        (
            "missing peers",
            lambda config: config["settings"]["limits"].update(peers=True),
            ("0 peers", "1 gateways"),
        ),
        (
            "bad event",
            lambda config: config["known"]["batch"].append({"offset": 2, "ban": {"url": "zz", "ts": 1}}),
            ("known", "'zz'"),
        ),
    ]
    found: list[tuple[str, str, tuple[str, ...]]]
    found = [("no JSON", "{", ("not JSON",)), ("no object", "[]", ("not an object",))]
    for name, change, told in changes:
        config = example()
        change(config)
        found.append((name, json.dumps(config), told))
    return found


TOKEN = re.compile(r"'[^']*'|\"[^\"]*\"|-?\d+(?:\.\d+)?|\w*_\w+")  # quoted texts, numbers, names of settings


async def check_bad_configs(trial: Trial) -> None:
    """Run the checks of configurations that can't be used."""
    room = trial.room("configs")
    for name, text, told in bad_configs():
        async with trial.report.check(f"A6 configuration, {name}") as seen:
            path = room / "config.json"
            path.write_text(text)
            results = [
                await trial.processes.run(build, "-m", "hitchtiller", BALANCER_CONFIG=str(path))
                for build in (trial.old, trial.new)
            ]
            for build, done in zip((trial.old, trial.new), results, strict=True):
                expect(f"exit code of the {build.label} build", 2, done.code)
                expect(f"lines of the {build.label} build", 1, len(done.err.splitlines()))
                missing = [part for part in told if part not in done.err]
                expect(f"parts that the {build.label} build does not tell ({done.err!r})", [], missing)
            tokens = [(str(path) in done.err, TOKEN.findall(done.err)) for done in results]
            expect("places and values told by the newer build", tokens[0], tokens[1])
            seen.append(f"exit code 2, {told[0]} told")


async def check_example_config(trial: Trial) -> None:
    """Run the check of the example's configuration."""
    async with trial.report.check("A6 configuration, examples/config.json") as seen:
        site = Site(9)
        await site.start()
        assert site.bus
        names = []
        for build in (trial.old, trial.new):
            gateway = Gateway(build, 0, trial.room("example"))
            await gateway.start(trial.processes, example() | {"bus": f"{LOOPBACK}:{site.bus.port}"}, "")
            names.append(sorted(await gateway.figures()))
            expect(f"exit code of the {build.label} build", 0, await gateway.terminate())
        expect("names of the newer build's figures", names[0], names[1])
        seen.append(f"exit code 0, {len(names[0])} figures")


# Processes of both builds side by side

ZONES = ("north", "south", "east")  # one gateway and one cache in each
PERIOD_MS = 200.0
MEMBERSHIP_FILE = f'membership {{\n  period_ms = {PERIOD_MS:.0f}\n  fleet = "mixed"\n}}\n'
KEYS_EACH = 8  # objects that are asked for at a time
HOME_AIM_MS = 6_000.0  # a home gateway is waited for 8 % of it
LOOK_UP_WAIT_MS = 4_500.0  # a home gateway is asked only long before the deadline
SETTLE_S = 0.1  # from an answer until its note has arrived
ORIGIN = "s-00000002"  # of a site with one cache
LARGE_FLEET, LENDER, BORROWER = 26, 0, 24
LEASE_DEADLINE_MS, LEASE_WAIT_MS = 1_500.0, 1_000.0
FIRST_TERM_S = 3.4  # an owner lends nothing for twice the longest deadline and 0.1 s; here with some spare
TROUBLE = (" ERROR ", " WARNING ", " CRITICAL ", "Traceback")


def fleet_settings(number: int, size: int) -> dict[str, Any]:
    """Return the settings of one gateway of a fleet."""
    setup = settings() | {"my_number": number, "group_size": size}
    setup["limits"] |= {"peers": True}
    return setup


def zoned_settings(number: int) -> dict[str, Any]:
    """Return the settings of a gateway that has a zone of its own, and fills from caches of the others."""
    setup = fleet_settings(number, len(ZONES))
    setup |= {"localities": ["hub", *ZONES], "my_zone": ZONES[number]}
    setup["family_info"] |= {
        "hub_of": [0] * (1 + len(ZONES)), "instances_by_zone": [0] + [1] * len(ZONES),
        "feed_kb_per_s": [0.0] + [500_000.0] * len(ZONES), "peers_fill": "any",
    }  # fmt: skip
    setup["classes"][0]["aim_ms"] = HOME_AIM_MS
    return setup


def borrowing_settings(number: int) -> dict[str, Any]:
    """Return the settings of a gateway of a fleet that is too large for fixed shares of the origin."""
    setup = fleet_settings(number, LARGE_FLEET)
    setup["family_info"]["instances_by_zone"] = [0, LARGE_FLEET]
    setup["classes"][0]["deadline_ms"] = LEASE_DEADLINE_MS
    return setup


class Fleet:
    """Gateways of both builds with membership among stand-in servers."""

    def __init__(self, trial: Trial, site: Site, wires: Wires, builds: dict[int, Build]) -> None:
        """Prepare; `builds` tells which build each number runs."""
        self.trial, self.site, self.wires, self.builds = trial, site, wires, builds
        self.running: dict[int, Gateway] = {}
        self.trouble: list[str] = []  # lines that no log should have
        self.dropped: dict[int, int] = {}  # datagrams of others that a gateway could not read

    async def start(self, setup: Callable[[int], dict[str, Any]]) -> None:
        """Start all gateways, each with a bus of its own."""
        self.wires.start()
        await asyncio.gather(*(self._start(number, setup(number)) for number in self.builds))

    async def _start(self, number: int, setup: dict[str, Any]) -> None:
        gateway = self.running[number] = Gateway(self.builds[number], number, self.trial.room(f"n{number}"))
        bus = await self.site.new_bus()
        own = {"name": f"n{number}", "seed": f"{number + 1:x}", "settings": setup}
        config = self.site.config(bus) | own | self.wires.config(number)
        await gateway.start(self.trial.processes, config, MEMBERSHIP_FILE)

    def numbers(self, build: Build) -> list[int]:
        """Return the numbers that run a build."""
        return [number for number, its in self.builds.items() if its is build]

    async def until_seen(self, wanted: dict[int, str]) -> None:
        """Wait until each running gateway believes these states of these numbers."""
        for number, gateway in self.running.items():
            seen: dict[int, str] = {}

            async def believed(gateway: Gateway = gateway, seen: dict[int, str] = seen) -> bool:
                seen |= await gateway.members()
                return wanted.items() <= seen.items()

            try:
                await gateway.until("members", believed)
            except Mismatch:
                expect(f"members in the view of gateway {number}", wanted, {n: seen.get(n) for n in wanted})

    async def end(self, number: int) -> None:
        """Drain a gateway by an operator's call, end it, and keep what it told of itself."""
        gateway = self.running[number]
        expect("answer to drain", ["+OK drained"], await gateway.call("drain"))
        expect("answer to ready after it", ["-ERR drained"], await gateway.call("ready"))
        await self.note_dropped()
        del self.running[number]
        expect(f"exit code of {number}", 0, await gateway.terminate())
        self.trouble += [line for line in gateway.lines if any(sign in line for sign in TROUBLE)]

    async def note_dropped(self) -> None:
        """Keep how many datagrams each running gateway has dropped."""
        for number, gateway in self.running.items():
            figures = await gateway.figures()
            expect(f"gateway {number} has sent membership messages", True, figures["members_words_sent"] > 0)
            self.dropped[number] = figures["members_words_dropped"]


def crossings(fleet: Fleet, kinds: dict[str, int]) -> str:
    """Return how many notes of each kind crossed between the builds; Mismatch where none did."""
    old, new = (fleet.numbers(build) for build in (fleet.trial.old, fleet.trial.new))
    told = []
    for name, kind in kinds.items():
        both = fleet.wires.crossed(old, new, kind), fleet.wires.crossed(new, old, kind)
        expect(f"{name} notes cross in both directions {both}", True, min(both) > 0)
        told.append(f"{name} {both[0]} to the newer, {both[1]} to the older")
    return "; ".join(told)


async def look_up(fleet: Fleet, holder: int, asker: int, keys: range) -> int:
    """Have a gateway's cache keep objects, and check that another gateway fills its own cache from there.

    Return how many objects were looked up; the others were filled from above at once.
    """
    site, source = fleet.site, f"s-{holder:08x}"
    await site.ask(fleet.running[holder], keys)
    await asyncio.sleep(SETTLE_S)
    await site.ask(fleet.running[asker], keys, LOOK_UP_WAIT_MS)
    looked = [key for key in keys if site.looks[asker, key]]
    found = [key for key in looked if site.fills[asker, source, key]]
    expect(f"objects of gateway {holder}'s cache that gateway {asker} finds", looked, found)
    return len(looked)


async def look_up_all(fleet: Fleet) -> str:
    """Check that objects are found through the directory between all pairs of gateways."""
    first, looked = 1_000, 0
    for holder, asker in itertools.permutations(fleet.running, 2):
        looked += await look_up(fleet, holder, asker, range(first, first + KEYS_EACH))
        first += KEYS_EACH
    expect("most objects were looked up", True, 2 * looked > first - 1_000)
    return f"{looked} objects found; {crossings(fleet, {'ask': ASK, 'holder': HOLDER, 'kept': KEPT})}"


async def leave_in_turn(fleet: Fleet) -> None:
    """Drain and end one gateway of the larger part, then the one of the other build; the rest serves on."""
    for number in (1, 0):
        await fleet.end(number)
        await fleet.until_seen({number: "LEFT"})
        for gateway in fleet.running.values():
            await fleet.site.ask(gateway, range(2_000, 2_000 + KEYS_EACH))


async def check_fleet(trial: Trial, name: str, one: Build, two: Build) -> None:
    """Run the checks of one gateway of a build beside two of the other."""
    site, wires = Site(11, ZONES, lacks=True, has_leaving=True), Wires(len(ZONES), (0, 1, 2))
    await site.start()
    fleet = Fleet(trial, site, wires, {0: one, 1: two, 2: two})
    try:
        async with trial.report.check(f"{name}, all see each other alive") as seen:
            await fleet.start(zoned_settings)
            await fleet.until_seen({0: "ALIVE", 1: "ALIVE", 2: "ALIVE"})
            seen.append("3 gateways")
        async with trial.report.check(f"{name}, requests through each") as seen:
            for number, gateway in fleet.running.items():
                await site.ask(gateway, range(100 * number, 100 * number + KEYS_EACH))
            seen.append(f"{KEYS_EACH} answers each")
        async with trial.report.check(f"{name}, look-ups through home gateways") as seen:
            seen.append(await look_up_all(fleet))
        async with trial.report.check(f"{name}, drained, then left") as seen:
            await leave_in_turn(fleet)
            seen.append("the others see 1, then 0 leave and serve on")
        async with trial.report.check(f"{name}, nothing dropped, no trouble in a log") as seen:
            expect("gateways that were looked at", {0, 1, 2}, set(fleet.dropped))
            expect("membership messages dropped", {0: 0, 1: 0, 2: 0}, fleet.dropped)
            expect("lines of trouble", [], fleet.trouble)
            sent = wires.crossed(range(3), range(3), MEMBERSHIP)
            seen.append(f"{sent} membership messages")
    finally:
        await trial.processes.end_all()
        wires.close()


async def borrow(fleet: Fleet) -> str:
    """Check that a miss is filled under a lease, which is returned, and that the permit is then lent anew."""
    borrower, wires, lent = fleet.running[BORROWER], fleet.wires, {"origin_leases_denied": 0}
    for number in (1, 2):
        await fleet.site.ask(borrower, [number], wait_ms=LEASE_WAIT_MS)
        figures = await borrower.figures()
        lent["origin_leases_granted"] = number
        expect("leases", lent, {name: figures[name] for name in lent})
        expect("requests carried", number, wires.counts[BORROWER, LENDER, REQUEST])
        expect("grants carried", number, wires.counts[LENDER, BORROWER, GRANT])

        async def returned(number: int = number) -> bool:
            return wires.counts[BORROWER, LENDER, RETURN] == number

        await borrower.until("the lease is returned", returned, 5.0)
    expect("fills from the origin", {(0, ORIGIN, 1): 1, (0, ORIGIN, 2): 1}, dict(fleet.site.fills))
    return "2 leases granted and returned"


async def expect_no_doubt(fleet: Fleet, one: int, other: int) -> None:
    """Check that a gateway of a large fleet hears another and holds it for alive.

    A member's claim on itself is repeated a few times only, and 24 of 26 gateways do not run here: one that
    started first may stay UNHEARD for the other, which takes it for alive until a probe fails.
    """
    state = (await fleet.running[one].members())[other]
    expect(f"{other} is alive in the view of gateway {one} ({state})", True, state in ("ALIVE", "UNHEARD"))
    heard = fleet.wires.crossed([other], [one], MEMBERSHIP)
    expect(f"membership messages of {other} reach {one}", True, heard > 0)


async def check_lease(trial: Trial, name: str, lender: Build, borrower: Build) -> None:
    """Run the check of a lease on the origin that one build grants to the other."""
    site, wires = Site(12, ("north",), lacks=True), Wires(LARGE_FLEET, (LENDER, BORROWER), LENDER)
    fleet = Fleet(trial, site, wires, {LENDER: lender, BORROWER: borrower})
    try:
        async with trial.report.check(
            f"{name}, lease of the {lender.label} for the {borrower.label}"
        ) as seen:
            await site.start(has_parent=False)
            await fleet.start(borrowing_settings)
            await asyncio.sleep(FIRST_TERM_S)
            seen.append(await borrow(fleet))
            await fleet.note_dropped()
            expect("membership messages dropped", {LENDER: 0, BORROWER: 0}, fleet.dropped)
            await expect_no_doubt(fleet, LENDER, BORROWER)
            await expect_no_doubt(fleet, BORROWER, LENDER)
    finally:
        await trial.processes.end_all()
        wires.close()


async def check_one_newer(trial: Trial) -> None:
    """Run the checks of one newer gateway beside two older ones."""
    await check_fleet(trial, "B1 one newer, two older", trial.new, trial.old)
    await check_lease(trial, "B1 one newer, one older of 26", trial.new, trial.old)


async def check_one_older(trial: Trial) -> None:
    """Run the checks of one older gateway beside two newer ones."""
    await check_fleet(trial, "B2 one older, two newer", trial.old, trial.new)
    await check_lease(trial, "B2 one older, one newer of 26", trial.old, trial.new)


# Hand-over

WARM_KEYS, NEXT_KEYS, SLOW_KEYS = range(1, 11), range(21, 31), range(5_000, 5_006)
UNDER_WAY_S = 0.5  # from the hand-over until servers answer the requests under way
HAND_OVER_MS = 20_000.0  # the deadline of requests that are under way while the newer process starts


class Gate:
    """Holds the answers of servers for some objects back until it is opened."""

    def __init__(self, keys: range) -> None:
        """Start closed."""
        self.keys, self.opened, self.waiting = keys, asyncio.Event(), set[int]()

    async def hold(self, fields: dict[str, str]) -> None:
        """Wait at a server for the opening if the request is for one of the objects."""
        if (key := int(fields["name"], 16)) in self.keys:
            self.waiting.add(key)
            await self.opened.wait()


async def start_beside(
    trial: Trial, site: Site, build: Build, room: Path, listener: socket.socket
) -> Gateway:
    """Start a gateway on the platform's listening socket, beside one that may run there already."""
    assert site.bus
    config = site.config(site.bus, beside=bool(site.bus.known))
    config["settings"]["classes"][0]["deadline_ms"] = HAND_OVER_MS
    gateway = Gateway(build, 0, room)
    await gateway.start(trial.processes, config, store_file(room / "store"), listener)
    return gateway


async def handed_over(gateway: Gateway) -> bool:
    """Return whether a gateway has left its clients to the next process."""
    (answer,) = await gateway.call("ready")
    return answer.startswith("-ERR")


async def hand_over(trial: Trial, site: Site, before: Build, after: Build, listener: socket.socket) -> str:
    """Check that a process of another build takes a gateway over while requests are under way."""
    room, gate = trial.room("hand-over"), Gate(SLOW_KEYS)
    for server in (*site.caches, site.parent, site.origin):
        server.hook = gate.hold
    first = await start_beside(trial, site, before, room, listener)
    await store_in_use(first, room / "store")
    for _ in range(2):
        await site.ask(first, WARM_KEYS)
    client = await site.client(first)
    under_way = [asyncio.create_task(client.read("files", key, wait_ms=HAND_OVER_MS)) for key in SLOW_KEYS]

    async def all_wait() -> bool:
        return gate.waiting == set(SLOW_KEYS)

    await first.until("requests are under way", all_wait)
    second = await start_beside(trial, site, after, room, listener)
    await first.until("it has handed over", lambda: handed_over(first))
    served = (await second.figures())["served.files"]
    await site.ask(second, NEXT_KEYS)
    expect("answers by the new process", served + len(NEXT_KEYS), (await second.figures())["served.files"])
    await asyncio.sleep(UNDER_WAY_S)
    gate.opened.set()
    answers = await asyncio.gather(*under_way)
    expect("codes of the requests under way", [0] * len(SLOW_KEYS), [a.code if a else None for a in answers])
    await hang_up(client)
    expect("exit code of the process before", 0, await first.ended())
    expect("lines of trouble", [], [line for line in first.lines if "Traceback" in line])
    await second.until_figure("store.disk.parts", len(WARM_KEYS))
    hits = (await second.figures())["store.hits.disk"]
    await site.ask(second, WARM_KEYS)
    expect("answers that break a rule", [], site.verdicts.wrong)
    hits = (await second.figures())["store.hits.disk"] - hits
    expect("hits on disk of what the process before kept", len(WARM_KEYS), hits)
    expect("exit code of the process after", 0, await second.terminate())
    return f"{len(SLOW_KEYS)} requests under way answered, the new process serves, {hits} hits on disk"


async def check_hand_over(trial: Trial) -> None:
    """Run the check of an upgrade, and that of a step back to the older build."""
    for before, after in trial.directions():
        async with trial.report.check(f"B3 hand-over, {before.label} to {after.label}") as seen:
            site = Site(13)
            await site.start()
            with socket.create_server((LOOPBACK, 0)) as listener:
                seen.append(await hand_over(trial, site, before, after, listener))
        await trial.processes.end_all()


GROUPS: dict[str, Callable[[Trial], Awaitable[None]]] = {
    "A1": check_stores,
    "A2": check_held_out,
    "A3": check_operators_files,
    "A4": check_datagrams,
    "A5": check_trace,
    "A6": check_bad_configs,
    "A6 configuration, e": check_example_config,
    "B1": check_one_newer,
    "B2": check_one_older,
    "B3": check_hand_over,
}


async def find_build(processes: Processes, label: str, folder: Path) -> Build:
    """Return the build in a folder; UnusableBuild if there is none."""
    if not folder.is_dir():
        raise UnusableBuild(f"{folder}: no such folder")
    if not (folder / "hitchtiller" / "__main__.py").is_file():
        raise UnusableBuild(f"{folder}: not a build: there is no hitchtiller/__main__.py")
    own = folder / ".venv" / "bin" / "python"
    build = Build(label, folder, str(own) if own.exists() else sys.executable)
    code = "import hitchtiller.cli.main, pathlib; print(pathlib.Path(hitchtiller.__file__).resolve().parent)"
    done = await processes.run(build, "-c", code)
    if done.code or Path(done.out.strip()) != folder / "hitchtiller":
        last = (done.err.strip() or done.out.strip()).splitlines()[-1:]
        raise UnusableBuild(f"{folder}: not a build: {build.python} does not import it: {' '.join(last)}")
    return build


async def run_checks(old: Path, only: str, folder: Path) -> Report:
    """Run the checks in a temporary folder, and end every process that was started."""
    processes, report = Processes(folder), Report(only)
    task = asyncio.current_task()
    assert task
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        older = await find_build(processes, "older", old)
        newer = await find_build(processes, "newer", ROOT)
        trial = Trial(older, newer, folder, processes, report)
        for name, run in GROUPS.items():
            if report.wants(name):
                await run(trial)
    finally:
        await processes.end_all()
    return report


@click.command()
@click.option("--old", required=True, type=click.Path(path_type=Path), help="A worktree of the older build.")
@click.option("--only", default="", help="Run only one group of checks, for example A1.")
def main(old: Path, only: str) -> None:
    """Check that this build works on data of an older build, and beside its processes."""
    folder = Path(tempfile.mkdtemp(prefix="compatibility-"))
    try:
        report = asyncio.run(run_checks(old.resolve(), only, folder))
    except UnusableBuild as error:
        click.echo(f"compatibility: {error}", err=True)
        raise SystemExit(2) from None
    except asyncio.CancelledError:
        raise SystemExit(128 + signal.SIGTERM) from None
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    click.echo(f"{report.run - report.failed} of {report.run} checks hold")
    raise SystemExit(1 if report.failed else 0)


if __name__ == "__main__":
    main()
