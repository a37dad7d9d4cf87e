"""Several gateway processes among stand-ins, with faults between them.

One truth, one set of caches, a district and head office for all; a fabric between the gateways. Processes are
killed, stopped, let go on, told to end and started again; what they are asked is judged by `Verdicts`, and
what they believe of one another is read by their operators' calls.
"""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

from standins.client import Terminal, Verdicts
from standins.fabric import Fabric
from standins.parties import Bus, Script, Server
from standins.rig import PORT, REPLAY_MS, ROOT, settings
from standins.truth import Truth


class Process:
    """One life of one gateway."""

    def __init__(self, number: int) -> None:
        """Nothing runs yet."""
        self.number, self.port, self.control = number, 0, 0
        self.lines: list[str] = []
        self.child: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None
        self.ready, self.expected_end = asyncio.Event(), False

    async def read(self) -> None:
        """Keep the log."""
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
        """Make an operator's call."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.control)
        writer.write(line.encode() + b"\n")
        data = await asyncio.wait_for(reader.read(-1), 10.0)
        writer.close()
        return data.decode().splitlines()

    async def members(self) -> dict[int, str]:
        """Give what it believes of each number, by state."""
        rows = [line.split("|") for line in await self.call("members")]
        return {int(row[0]): row[1] for row in rows if row[0].isdecimal()}


class Fleet:
    """`size` gateways; `old` numbers run without membership, as an older version would."""

    def __init__(self, size: int, seed: int, period_ms: float = 200.0, old: tuple[int, ...] = ()) -> None:
        """Prepare; nothing is started yet."""
        self.size, self.seed, self.period_ms, self.old = size, seed, period_ms, old
        self.rng, self.truth, script = random.Random(seed), Truth(), Script()
        self.caches = [Server(self.truth, script, random.Random(seed + n)) for n in range(3)]
        self.parent = Server(self.truth, script, random.Random(seed + 50))
        self.origin = Server(self.truth, Script(), random.Random(seed + 51), origin=True)
        self.fabric, self.verdicts = Fabric(size, seed), Verdicts()
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-"))
        self.running: dict[int, Process] = {}
        self.faults: list[str] = []  # processes that ended by themselves, tracebacks in logs

    async def start(self) -> None:
        """Start servers, fabric and all gateways, and wait until each is ready."""
        hosts = []
        for place, server in enumerate([*self.caches, self.parent, self.origin]):
            await server.start()
            kind = {3: "parent", 4: "origin"}.get(place, "box")
            hosts.append(
                {"host": f"s-{place:08x}", "dial": f"127.0.0.1:{server.port}", "class": kind, "block": 0,
                 "site": "north" if kind == "box" else "hub", "health": "Ready", "share": 50, "born_ms": 0}
            )  # fmt: skip
        self.hosts = hosts
        self.fabric.start()
        await asyncio.gather(*(self.launch(number) for number in range(self.size)))

    async def launch(self, number: int, fleet: str = "") -> Process:
        """Start a gateway's next life."""
        bus = Bus(self.truth, self.hosts, REPLAY_MS)
        await bus.start()
        setup = settings() | {"my_number": number, "group_size": self.size}
        setup["limits"] = setup.get("limits", {}) | {"peers": True}
        setup["family_info"]["instances_by_zone"] = [0, self.size]
        place = self.fabric.address(number)
        config: dict[str, Any] = {
            "name": f"n{number}", "listen": "127.0.0.1:0", "control": "127.0.0.1:0",
            "seed": f"{number + 1:x}",
            "limits": {"sockets": 256, "memory_mb": 512}, "bus": f"127.0.0.1:{bus.port}",
            "known": bus.begin(), "settings": setup, "peer_listen": f"{place[0]}:{place[1]}",
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
        process = self.running[number] = Process(number)
        process.child = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE, limit=1 << 20
        )
        process.reader = asyncio.create_task(process.read())
        await asyncio.wait_for(process.ready.wait(), 30.0)
        return process

    def poke(self, number: int, which: int) -> None:
        """Stop a process where it stands (SIGSTOP), or let it go on (SIGCONT)."""
        child = self.running[number].child
        assert child
        child.send_signal(which)

    async def end(self, number: int, which: int = signal.SIGKILL) -> int:
        """End a process; gives its exit code."""
        process = self.running.pop(number)
        assert process.child and process.reader
        process.child.send_signal(which)
        code = await asyncio.wait_for(process.child.wait(), 10.0)
        await process.reader
        self._look(process)
        return code

    def _look(self, process: Process) -> None:
        self.faults += [f"n{process.number}: {line}" for line in process.lines if "Traceback" in line]

    async def until(
        self, wanted: dict[int, set[str]], among: list[int] | None = None, patience_s: float = 30.0
    ) -> float:
        """Wait until each of `among` believes what is wanted of the numbers; gives the time it took."""
        loop = asyncio.get_running_loop()
        begun, seen = loop.time(), dict[int, dict[int, str]]()
        while loop.time() - begun < patience_s:
            for number in among if among is not None else sorted(set(self.running) - set(self.old)):
                seen[number] = await self.running[number].members()
            if all(view[n] in states for view in seen.values() for n, states in wanted.items()):
                return loop.time() - begun
            await asyncio.sleep(self.period_ms / 4000.0)
        raise AssertionError(f"after {patience_s} s {wanted} is not believed: {seen}")

    def called_dead(self) -> set[int]:
        """Give the numbers that a running process ever held for dead."""
        lines = (line.split() for p in self.running.values() for line in p.lines)
        return {int(words[4]) for words in lines if words[3:4] == ["member"] and words[5:6] == ["DEAD"]}

    async def ask_all(self, count: int = 5) -> None:
        """Have each running gateway serve some requests, judged."""
        for process in list(self.running.values()):
            terminal = Terminal(self.truth, self.verdicts, random.Random(self.rng.getrandbits(32)))
            await terminal.connect(process.port)
            for _ in range(count):
                if await terminal.read("files", self.rng.randrange(40)) is None:
                    self.faults.append(f"n{process.number} broke a request off")
            terminal.close()

    async def finish(self) -> None:
        """End all, and look for what ended by itself."""
        for process in list(self.running.values()):
            if process.child and process.child.returncode is not None:
                self.faults.append(f"n{process.number} ended by itself: {process.child.returncode}")
        for number in list(self.running):
            if (child := self.running[number].child) and child.returncode is None:
                child.send_signal(signal.SIGCONT)
                await self.end(number)
        self.fabric.close()
