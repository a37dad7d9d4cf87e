"""The stand-in environment of a gateway: caches, a parent, an origin, a bus, and clients."""

import asyncio
import json
import random
from collections import Counter
from collections.abc import Iterable
from functools import partial
from typing import Any

from standins.client import StandInClient, Verdicts
from standins.compatibility.builds import ROOT
from standins.compatibility.checks import expect
from standins.compatibility.gateway import END_TIMEOUT_S, LOOPBACK, Gateway
from standins.parties import Bus, Server, ServerBehaviour
from standins.truth import Truth

REPLAY_MS = 60_000.0  # age of the oldest purges that the bus repeats to a gateway that starts
REQUEST_WAIT_MS = 2_000.0
CACHE_SHARE = 50
LEAVING_SHARE = 1_000  # of a cache that is leaving
LEAVING_NUMBER_OFFSET = 0x100  # from the number of a cache to that of the leaving one in its zone
PARENT_SEED_OFFSET, ORIGIN_SEED_OFFSET = 50, 51


def example() -> dict[str, Any]:
    """Return this build's example of a configuration."""
    config: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())
    return config


def settings() -> dict[str, Any]:
    """Return the example's settings with rates and periods that suit short runs."""
    changed: dict[str, Any] = example()["settings"]
    changed["family_info"] |= {
        "feed_kb_per_s": [0.0, 500_000.0],
        "stream_kb_per_s": 60_000.0,
        "gone_everywhere_ms": REPLAY_MS,
    }
    return changed


async def disconnect(client: StandInClient) -> None:
    """Close a client's connection and wait until its task has ended."""
    client.close()
    if client.task:
        await asyncio.wait_for(client.task, END_TIMEOUT_S)


class StandInEnvironment:
    """Stand-in servers and a bus on asyncio, with clients whose answers are judged."""

    def __init__(
        self,
        seed: int,
        zones: tuple[str, ...] = ("north", "north"),
        lacks: bool = False,
        has_leaving: bool = False,
    ) -> None:
        """Prepare one cache in each of `zones`.

        With `lacks`, a cache without a copy answers that it has none. With `has_leaving`, each zone lists a
        much larger cache that is leaving: nearly all objects belong there, and are looked up elsewhere.
        """
        self.zones, self.has_leaving = zones, has_leaving
        self.rng, self.truth, self.verdicts = random.Random(seed), Truth(), Verdicts()
        behaviour = ServerBehaviour(lacks=lacks)
        self.caches = [Server(self.truth, behaviour, random.Random(seed + n)) for n, _ in enumerate(zones)]
        self.parent = Server(self.truth, behaviour, random.Random(seed + PARENT_SEED_OFFSET))
        self.origin = Server(
            self.truth, ServerBehaviour(), random.Random(seed + ORIGIN_SEED_OFFSET), origin=True
        )
        self.hosts: list[dict[str, Any]] = []
        self.fills: Counter[tuple[int, str, int]] = Counter()  # by cache, source and object
        self.lookups: Counter[tuple[int, int]] = Counter()  # by cache and object; these name no source
        self._bus: Bus | None = None

    @property
    def servers(self) -> list[Server]:
        """Return the caches, the parent and the origin."""
        return [*self.caches, self.parent, self.origin]

    @property
    def bus(self) -> Bus:
        """Return the bus that was started with the servers."""
        assert self._bus
        return self._bus

    @property
    def request_count(self) -> int:
        """Return the number of requests that the servers have received."""
        return sum(server.pulls for server in self.servers)

    async def start(self, has_parent: bool = True) -> None:
        """Start the servers and the bus; without `has_parent` the bus lists no parent."""
        for server in self.servers:
            await server.start()
        self.hosts = self._listed_hosts(has_parent)
        for number, cache in enumerate(self.caches):
            cache.on_pull = partial(self._record_request, number)
        self._bus = await self.new_bus()

    def _listed_hosts(self, has_parent: bool) -> list[dict[str, Any]]:
        """Return the servers as the bus lists them."""
        places = [(zone, "box") for zone in self.zones] + [("hub", "parent"), ("hub", "origin")]
        hosts = [
            {"host": f"s-{number:08x}", "dial": f"{LOOPBACK}:{server.port}", "site": zone, "class": kind,
             "block": 0, "health": "Ready", "share": CACHE_SHARE, "born_ms": 0}
            for number, ((zone, kind), server) in enumerate(zip(places, self.servers, strict=True))
            if has_parent or kind != "parent"
        ]  # fmt: skip
        if not self.has_leaving:
            return hosts
        leaving = {"health": "Terminating", "share": LEAVING_SHARE}
        return hosts + [
            hosts[number] | {"host": f"s-{LEAVING_NUMBER_OFFSET + number:08x}"} | leaving
            for number in range(len(self.caches))
        ]

    def _record_request(self, cache: int, peer: tuple[str, int], fields: dict[str, str]) -> None:
        """Count a request to a cache as a fill or as a look-up."""
        key = int(fields["name"], 16)
        if source := fields.get("up"):
            self.fills[cache, source, key] += 1
        else:
            self.lookups[cache, key] += 1

    async def new_bus(self) -> Bus:
        """Return a further bus, which serves one gateway."""
        bus = Bus(self.truth, self.hosts, REPLAY_MS)
        await bus.start()
        return bus

    def config(self, bus: Bus, is_second: bool = False) -> dict[str, Any]:
        """Return a configuration; `is_second` is for a process that starts beside one of the same gateway."""
        return {
            "name": "n0", "seed": "1", "limits": {"sockets": 512, "memory_mb": 512},
            "bus": f"{LOOPBACK}:{bus.port}", "known": bus.known if is_second else bus.begin(),
            "settings": settings(),
        }  # fmt: skip

    async def connect_client(self, gateway: Gateway) -> StandInClient:
        """Return a client that is connected to a gateway."""
        client = StandInClient(self.truth, self.verdicts, random.Random(self.rng.getrandbits(32)))
        await client.connect(gateway.port)
        return client

    async def request(self, gateway: Gateway, keys: Iterable[int], wait_ms: float = REQUEST_WAIT_MS) -> None:
        """Request objects from a gateway with a new client; raise MismatchError if an answer is wrong."""
        client = await self.connect_client(gateway)
        try:
            for key in keys:
                answer = await client.read("files", key, wait_ms=wait_ms)
                code = answer.code if answer else "no answer"
                expect(f"{gateway.build.label} gateway {gateway.number}: code of object {key}", 0, code)
        finally:
            await disconnect(client)
        expect("answers that break a rule", [], self.verdicts.wrong)
