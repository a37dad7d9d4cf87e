"""One gateway process among stand-in servers, which tests can start, query, kill and start again."""

import asyncio
import copy
import json
import os
import random
import re
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from standins.client import StandInClient, Verdicts
from standins.parties import Bus, Server, ServerBehaviour
from standins.truth import Truth

PORT = re.compile(r"127\.0\.0\.1:(\d+)")
ROOT = Path(__file__).parent.parent
REPLAY_MS = 1_500.0  # age of the purges that a starting gateway is told again; the real platform has 6 s
MAX_PURGE_LAG_MS = 600.0  # longest time from a purge until the bus announces it
LOOKUPS_LIFETIME_MS = 1_500.0  # lifetime of copies of the class `lookups`


def settings() -> dict[str, Any]:
    """Return the settings of examples/config.json with one more class, whose copies expire, and REPLAY_MS."""
    setup: dict[str, Any] = copy.deepcopy(
        json.loads((ROOT / "examples" / "config.json").read_text())["settings"]
    )
    lookups = {
        "name": "lookups",
        "aim_ms": 250.0,
        "aim_stretch": 2.0,
        "deadline_ms": 2500.0,
        "effect": "repeatable",
    }
    setup["classes"].append(lookups)
    info = setup["family_info"]
    info |= {"uncached": [False, True, False], "lifetime_by_class_ms": [0.0, 0.0, LOOKUPS_LIFETIME_MS]}
    info |= {
        "grace_for_ms": [0.0, 0.0, 1000.0],
        "gone_everywhere_ms": REPLAY_MS,
        "feed_kb_per_s": [0.0, 500_000.0],
    }
    info["stream_kb_per_s"] = 60_000.0
    return setup


class Rig:
    """A `Truth`, servers, an event bus and one gateway process; all randomness comes from one seed."""

    def __init__(self, seed: int, caches: int = 2, script: ServerBehaviour | None = None) -> None:
        """Prepare; nothing is started yet. `script` is the behaviour of the caches and the parent."""
        self.rng, self.truth = random.Random(seed), Truth()
        self.script = script or ServerBehaviour()
        self.caches = [Server(self.truth, self.script, random.Random(seed + n)) for n in range(caches)]
        self.parent = Server(self.truth, self.script, random.Random(seed + 50))
        self.origin = Server(self.truth, ServerBehaviour(), random.Random(seed + 51), origin=True)
        self.verdicts = Verdicts()
        self.folder = Path(tempfile.mkdtemp(prefix="rig-"))
        (self.folder / "tmp").mkdir()
        self.process: asyncio.subprocess.Process | None = None
        self.lines: list[str] = []
        self.port = self.control = self.http = 0
        self.ready_s = 0.0
        self.hcl = ""
        self.command = [sys.executable, "-m", "hitchtiller.cli", "serve"]
        self.cwd = ROOT
        self.memory_mb = 512
        self.lists_parent = True
        self.replay_ms = REPLAY_MS
        self.config: dict[str, Any] = {}  # added to the gateway's configuration, or replaces its keys
        self.tasks: set[asyncio.Task[None]] = set()

    def share_servers_of(self, other: "Rig") -> None:
        """Use another rig's servers; call before either rig is started."""
        self.truth, self.caches, self.parent, self.origin = (
            other.truth,
            other.caches,
            other.parent,
            other.origin,
        )

    async def start(self) -> None:
        """Start the bus, and the servers that do not run yet."""
        hosts = []
        for server_index, server in enumerate([*self.caches, self.parent, self.origin]):
            if not server.port:
                await server.start()
            if server is self.parent and not self.lists_parent:
                continue
            kind = {len(self.caches): "parent", len(self.caches) + 1: "origin"}.get(server_index, "box")
            zone = "north" if kind == "box" else "hub"
            hosts.append(
                {"host": f"s-{server_index:08x}", "dial": f"127.0.0.1:{server.port}", "site": zone,
                 "class": kind, "block": 0, "health": "Ready", "share": 50, "born_ms": 0}
            )  # fmt: skip
        self.bus = Bus(self.truth, hosts, self.replay_ms)
        await self.bus.start()

    def disk(self, **more: Any) -> None:
        """Enable the memory and disk tiers, with a folder that stays over restarts of the gateway.

        The keywords become settings of the `disk` block, `memory_mb` of the `store` block.
        """
        options = {"budget_mb": 24, "segment_mb": 2, "sync_ms": 100, "checkpoint_s": 0.5} | more
        memory = options.pop("memory_mb", 1)
        lines = "\n".join(f"    {name} = {value}" for name, value in options.items())
        folder = self.folder / "store"
        self.hcl = (
            f"store {{\n  memory_mb = {memory}\n  purge_lag_ms = {MAX_PURGE_LAG_MS}\n  disk {{\n"
            f'    folder = "{folder}"\n{lines}\n  }}\n}}\n'
        )

    def repositories(self, kind: str = "simple", **more: Any) -> None:
        """Enable the repository front with one repository; the keywords become settings of its block."""
        options = {"each_address": 64, "connections": 600} | more
        lines = "\n".join(f"  {name} = {value}" for name, value in options.items())
        self.hcl += (
            f'repo {{\n  listen = "127.0.0.1:0"\n{lines}\n  repository "r" {{\n    kind = "{kind}"\n'
            f'    class_name = "files"\n    prefix = "{kind}/"\n    grace_s = 5\n    group = 17\n  }}\n}}\n'
        )

    async def launch(self, wait_ready: bool = True) -> None:
        """Start the gateway process."""
        config: dict[str, Any] = {
            "name": "n0", "listen": "127.0.0.1:0", "control": "127.0.0.1:0", "seed": "1",
            "limits": {"sockets": 512, "memory_mb": self.memory_mb}, "bus": f"127.0.0.1:{self.bus.port}",
            "known": self.bus.begin(), "settings": settings(),
        }  # fmt: skip
        config["settings"]["family_info"]["gone_everywhere_ms"] = self.replay_ms
        config |= self.config
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        command = list(self.command)
        if self.hcl:
            (self.folder / "gateway.hcl").write_text(self.hcl)
            command += ["--file", str(self.folder / "gateway.hcl")]
        env = {"PATH": os.environ["PATH"], "BALANCER_CONFIG": str(path), "TMPDIR": str(self.folder / "tmp")}
        self.lines, self.port, begun = [], 0, time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=self.cwd, env=env, stderr=asyncio.subprocess.PIPE, limit=1 << 20
        )
        if wait_ready:
            await self.expect("INFO n0 ready")
            self.ready_s = time.monotonic() - begun
            task = asyncio.create_task(self._drain_log(self.process, self.lines))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def expect(self, text: str, patience_s: float = 15.0) -> str:
        """Read the log until a line contains the text; return that line."""
        assert self.process and self.process.stderr
        async with asyncio.timeout(patience_s):
            while raw := await self.process.stderr.readline():
                line = raw.decode().rstrip()
                self.lines.append(line)
                if "serving on" in line:
                    self.port = int(PORT.findall(line)[-1])
                if "repositories on" in line:
                    self.http = int(PORT.findall(line)[-1])
                if "control on" in line:
                    self.control = int(PORT.findall(line)[-1])
                if text in line:
                    return line
        raise AssertionError(f"no {text!r} in {self.lines}")

    async def _drain_log(self, process: asyncio.subprocess.Process, lines: list[str]) -> None:
        assert process.stderr
        while raw := await process.stderr.readline():
            lines.append(raw.decode().rstrip())

    async def logged(self, text: str, patience_s: float = 10.0) -> str:
        """Wait until the log, which is read in the background, contains a text; return its line."""
        async with asyncio.timeout(patience_s):
            while True:
                for line in self.lines:
                    if text in line:
                        return line
                await asyncio.sleep(0.01)

    async def call(self, line: str) -> list[str]:
        """Send an operator's call; return the lines of the answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.control)
        writer.write(line.encode() + b"\n")
        data = await reader.read(-1)
        writer.close()
        return data.decode().splitlines()

    async def figures(self) -> dict[str, int]:
        """Return the gateway's statistics by name, without the prefix."""
        rows = [
            line.removeprefix("svc.").partition("|")[0].rpartition(":")
            for line in await self.call("show-stat")
        ]
        return {name: int(value) for name, _, value in rows if value.lstrip("-").isdecimal()}

    async def terminal(self) -> StandInClient:
        """Return a client connected to the gateway."""
        terminal = StandInClient(self.truth, self.verdicts, random.Random(self.rng.getrandbits(32)))
        await terminal.connect(self.port)
        return terminal

    async def kill(self) -> None:
        """Kill the gateway (SIGKILL), so that it ends without any cleanup, as in a power failure."""
        if self.process and self.process.returncode is None:
            self.process.kill()
        if self.process:
            await self.process.wait()

    async def terminate(self) -> int:
        """Terminate the gateway (SIGTERM) and return its exit code."""
        assert self.process
        self.process.terminate()
        return await asyncio.wait_for(self.process.wait(), 10.0)
