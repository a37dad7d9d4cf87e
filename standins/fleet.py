"""Several gateway processes among stand-in servers, with faults between them.

All gateways share one `Truth`, three station caches, a parent cache and the origin. A `Fabric` carries
datagrams between the gateways; a `Relay` stands between each gateway and each server, and between each
gateway and its event bus. Processes can be killed, stopped, resumed, terminated, upgraded and started again.
`Verdicts` judges what clients receive and `Watch` what servers are sent; the gateways' views of one another
are read by the operators' calls.
"""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

from standins.client import StandInClient, Verdicts
from standins.fabric import Fabric
from standins.parties import Bus, Server, ServerBehaviour
from standins.relay import LinkMode, Relay
from standins.rig import PORT, REPLAY_MS, ROOT, settings
from standins.truth import Truth, now_ms
from standins.watch import Watch

BUS = "bus"


def server_name(server_index: int) -> str:
    """Return the id of the server with this index: caches come first, then the parent, then the origin."""
    return f"s-{server_index:08x}"


class Process:
    """One run of one gateway process."""

    def __init__(self, number: int) -> None:
        """Prepare; the process is not started yet."""
        self.number, self.port, self.control = number, 0, 0
        self.lines: list[str] = []
        self.child: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None
        self.ready, self.serving = asyncio.Event(), False  # `serving`: clients may be sent here

    async def read_log(self) -> None:
        """Read the process's log, and from it the ports and whether the process is ready."""
        assert self.child and self.child.stderr
        while raw := await self.child.stderr.readline():
            line = raw.decode().rstrip()
            self.lines.append(line)
            if "serving on" in line:
                self.port = int(PORT.findall(line)[-1])
            elif "control on" in line:
                self.control = int(PORT.findall(line)[-1])
            elif "INFO" in line and " ready" in line:
                self.ready.set()

    async def call(self, line: str) -> list[str]:
        """Send an operator's call; return the lines of the answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.control)
        writer.write(line.encode() + b"\n")
        data = await asyncio.wait_for(reader.read(-1), 10.0)
        writer.close()
        return data.decode().splitlines()

    async def members(self) -> dict[int, str]:
        """Return the state that this process holds of each gateway, by number."""
        rows = [line.split("|") for line in await self.call("members")]
        return {int(row[0]): row[1] for row in rows if row[0].isdecimal()}


class Fleet:
    """A fleet of `size` gateways; those in `old` run without membership, as an older version would."""

    def __init__(
        self, size: int, seed: int, period_ms: float = 200.0, old: tuple[int, ...] = (),
        weight: float = 50.0, flow_kb_per_s: float = 60_000.0,
    ) -> None:  # fmt: skip
        """Prepare; nothing is started yet.

        `weight` and `flow_kb_per_s` are the capacity of a cache that the gateways are told.
        """
        self.size, self.seed, self.period_ms, self.old = size, seed, period_ms, old
        self.weight, self.flow_kb_per_s = weight, flow_kb_per_s
        self.rng, self.truth, script = random.Random(seed), Truth(), ServerBehaviour()
        self.caches = [Server(self.truth, script, random.Random(seed + n)) for n in range(3)]
        self.parent = Server(self.truth, script, random.Random(seed + 50))
        self.origin = Server(self.truth, ServerBehaviour(), random.Random(seed + 51), origin=True)
        self.servers = [*self.caches, self.parent, self.origin]
        self.fabric, self.verdicts = Fabric(size, seed), Verdicts()
        self.relays: dict[tuple[int, str], Relay] = {}  # by gateway, and server or bus
        self.buses: dict[int, Bus] = {}
        self.setups = {number: self.setup(number) for number in range(size)}
        self.watch = Watch(self.setups[0], weight)
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-"))
        self.running: dict[int, Process] = {}
        self.gone_listeners: list[Callable[[Process], None]] = []  # called when a process is gone
        self.faults: list[str] = []  # processes that ended by themselves, and tracebacks in logs

    def setup(self, number: int) -> dict[str, Any]:
        """Return the settings of a gateway."""
        setup = settings() | {"my_number": number, "group_size": self.size}
        setup["limits"] = setup.get("limits", {}) | {"peers": True}
        setup["family_info"] |= {"instances_by_zone": [0, self.size], "stream_kb_per_s": self.flow_kb_per_s}
        return setup

    async def start(self) -> None:
        """Start the servers, the fabric, the relays and all gateways, and wait until each is ready."""
        self.fabric.start()
        for server_index, server in enumerate(self.servers):
            await server.start()
            server.on_pull = partial(self._record_pull, server_name(server_index))
        for number in range(self.size):
            for server_index, server in enumerate(self.servers):
                await self._start_relay(number, server_name(server_index), server)
            hosts = [self._host(number, server_index) for server_index in range(len(self.servers))]
            bus = self.buses[number] = Bus(self.truth, hosts, REPLAY_MS)
            await bus.start()
            await self._start_relay(number, BUS, bus)
        await asyncio.gather(*(self.launch(number) for number in range(self.size)))

    async def _start_relay(self, number: int, target: str, server: Server | Bus) -> None:
        relay = Relay(lambda: ("127.0.0.1", server.port), self.watch.gateway_by_address, number)
        self.relays[number, target] = relay
        await relay.start()

    def _host(self, number: int, server_index: int) -> dict[str, Any]:
        kind = {3: "parent", 4: "origin"}.get(server_index, "box")
        dial = f"127.0.0.1:{self.relays[number, server_name(server_index)].port}"
        return {"host": server_name(server_index), "dial": dial, "class": kind, "block": 0, "health": "Ready",
                "born_ms": 0, "site": "north" if kind == "box" else "hub", "share": self.weight}  # fmt: skip

    def _record_pull(self, server: str, peer: tuple[str, int], fields: dict[str, str]) -> None:
        size = self.truth.size(int(fields["name"], 16), int(fields["piece"])) / 1000.0
        self.watch.record_request(server, peer, fields.get("up", ""), 1000.0 * size / self.flow_kb_per_s)

    def announce(self, server_index: int, among: list[int] | None = None, **changes: Any) -> None:
        """Announce a server's new `health` or `born_ms` on the buses of `among`, or of all gateways."""
        setup = self.setups[0]
        for number in among if among is not None else range(self.size):
            bus = self.buses[number]
            host = bus.hosts[server_index]
            host |= changes
            bus.announce_host(host, setup["localities"], setup["skus"])
            if self.relays[number, BUS].mode is LinkMode.PASS:
                self.watch.told(number, host)

    async def restart_cache(self, server_index: int, among: list[int] | None = None) -> None:
        """Restart a cache cold and empty; the buses of `among` announce it at once."""
        self.servers[server_index].copies.clear()
        now = now_ms()
        self.watch.cold.start(server_name(server_index), self.weight, now)
        for number in range(self.size):  # the cache's connections end with its process
            await self.relays[number, server_name(server_index)].set_mode(LinkMode.REFUSE)
            await self.relays[number, server_name(server_index)].set_mode(LinkMode.PASS)
        self.announce(server_index, among, born_ms=int(now))

    async def wire(self, mode: LinkMode, numbers: list[int], targets: list[str] | None = None) -> None:
        """Set the mode of the links between these gateways and `targets`, or all servers and the bus."""
        for (number, target), relay in self.relays.items():
            if number in numbers and (targets is None or target in targets):
                await relay.set_mode(mode)
                if target == BUS and mode is LinkMode.PASS:
                    # What the gateway missed counts as announced from now on.
                    for host in self.buses[number].hosts:
                        self.watch.told(number, host)

    async def launch(self, number: int, fleet: str = "", beside: bool = False) -> Process:
        """Start a gateway's next process; with `beside`, while the present one still runs (an upgrade)."""
        bus, address = self.buses[number], self.fabric.address(number)
        config: dict[str, Any] = {
            "name": f"n{number}", "listen": "127.0.0.1:0", "control": "127.0.0.1:0",
            "seed": f"{number + 1:x}",
            "limits": {"sockets": 256, "memory_mb": 512}, "bus": f"127.0.0.1:{self.relays[number, BUS].port}",
            "known": bus.known if beside else bus.begin(), "settings": self.setups[number],
            "peer_listen": f"{address[0]}:{address[1]}",
            "peers": self.fabric.peers(number),
        }  # fmt: skip
        folder = self.folder / f"n{number}"
        (folder / "tmp").mkdir(parents=True, exist_ok=True)
        (folder / "config.json").write_text(json.dumps(config))
        command = [sys.executable, "-m", "hitchtiller.cli", "serve"]
        if number not in self.old:
            text = f'membership {{\n  period_ms = {self.period_ms}\n  fleet = "{fleet}"\n}}\n'
            (folder / "gateway.hcl").write_text(text)
            command += ["--file", str(folder / "gateway.hcl")]
        env = {"PATH": os.environ["PATH"], "BALANCER_CONFIG": str(folder / "config.json"),
               "TMPDIR": str(folder / "tmp")}  # fmt: skip
        process = Process(number)
        process.child = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE, limit=1 << 20
        )
        process.reader = asyncio.create_task(process.read_log())
        if not beside:
            self.running[number] = process
        await asyncio.wait_for(process.ready.wait(), 30.0)
        process.serving = True
        return process

    async def upgrade(self, number: int) -> Process:
        """Start a new process beside the present one, and terminate the older once the new one is ready."""
        old, new = self.running[number], await self.launch(number, beside=True)
        self.running[number] = new
        old.serving = False
        assert old.child and old.reader
        old.child.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(old.child.wait(), 10.0) == 0
        await old.reader
        self._collect_tracebacks(old)
        return new

    def _notify_process_gone(self, process: Process) -> None:
        process.serving = False
        for listener in self.gone_listeners:
            listener(process)

    def send_signal(self, number: int, signal_number: int) -> None:
        """Suspend a process (SIGSTOP) or resume it (SIGCONT)."""
        process = self.running[number]
        assert process.child
        if signal_number == signal.SIGSTOP:
            self._notify_process_gone(process)
        process.child.send_signal(signal_number)
        process.serving = process.serving or signal_number == signal.SIGCONT

    async def stop_process(self, number: int, signal_number: int = signal.SIGKILL) -> int:
        """End a process by a signal; return its exit code."""
        process = self.running.pop(number)
        assert process.child and process.reader
        process.serving = False
        process.child.send_signal(signal_number)
        code = await asyncio.wait_for(process.child.wait(), 10.0)
        await process.reader
        self._notify_process_gone(process)
        self._collect_tracebacks(process)
        return code

    def _collect_tracebacks(self, process: Process) -> None:
        self.faults += [f"n{process.number}: {line}" for line in process.lines if "Traceback" in line]

    async def until(
        self, wanted: dict[int, set[str]], among: list[int] | None = None, patience_s: float = 30.0
    ) -> float:
        """Wait until each of `among` holds each gateway in one of its `wanted` states; return the seconds.

        Raises AssertionError after `patience_s`.
        """
        loop = asyncio.get_running_loop()
        started_s, views = loop.time(), dict[int, dict[int, str]]()
        while loop.time() - started_s < patience_s:
            for number in among if among is not None else sorted(set(self.running) - set(self.old)):
                views[number] = await self.running[number].members()
            if all(view[n] in states for view in views.values() for n, states in wanted.items()):
                return loop.time() - started_s
            await asyncio.sleep(self.period_ms / 4000.0)
        raise AssertionError(f"views after {patience_s} s are {views}; wanted are {wanted}")

    def declared_dead(self, among: list[int] | None = None) -> set[int]:
        """Return the gateways that a running process of `among` (or any) ever declared dead in its log."""
        processes = [p for number, p in self.running.items() if among is None or number in among]
        lines = (line.split() for process in processes for line in process.lines)
        return {int(words[4]) for words in lines if words[3:4] == ["member"] and words[5:6] == ["DEAD"]}

    async def ask_all(self, count: int = 5) -> None:
        """Send each running gateway `count` requests and judge the answers."""
        for process in list(self.running.values()):
            client = StandInClient(self.truth, self.verdicts, random.Random(self.rng.getrandbits(32)))
            await client.connect(process.port)
            for _ in range(count):
                if await client.read("files", self.rng.randrange(40)) is None:
                    self.faults.append(f"n{process.number} closed a connection with a request open")
            client.close()

    async def finish(self) -> None:
        """End all processes; record those that had ended by themselves."""
        for process in list(self.running.values()):
            if process.child and process.child.returncode is not None:
                self.faults.append(f"n{process.number} ended by itself: {process.child.returncode}")
        for number in list(self.running):
            if (child := self.running[number].child) and child.returncode is None:
                child.send_signal(signal.SIGCONT)
                await self.stop_process(number)
        for relay in self.relays.values():
            relay.close()
        self.fabric.close()


def run_scenario(fleet: Fleet, scenario: Callable[[Fleet], Awaitable[None]]) -> Fleet:
    """Start a fleet, run a scenario of faults on it, ask every gateway, end the fleet and judge the run.

    The scenario starts once all gateways hold one another alive.
    """

    async def run() -> None:
        try:
            await fleet.start()
            await fleet.until({n: {"ALIVE"} for n in range(fleet.size) if n not in fleet.old})
            await scenario(fleet)
            await fleet.ask_all()
        finally:
            await fleet.finish()

    asyncio.run(run())
    broken = fleet.faults + fleet.verdicts.wrong + fleet.watch.broken + fleet.truth.repeated_effects
    assert broken == [], broken
    assert fleet.verdicts.counts["served"] >= 5, "too few answers were served for the checks to mean anything"
    return fleet
