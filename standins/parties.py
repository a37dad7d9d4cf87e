"""Stand-in station caches, a parent cache, the origin and the event bus, on asyncio.

The servers answer PULL commands from the copies that `Truth` prescribes; a `ServerBehaviour` makes them slow,
fail, stay silent or close a connection in the middle of an answer.
"""

import asyncio
import random
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hitchtiller.codec import resp
from hitchtiller.codec.bus import HEAD, LIST_CHANGES, RECORD
from standins.truth import Purge, Truth, now_ms


@dataclass(slots=True)
class ServerBehaviour:
    """How a server behaves; the shares are shares of its requests, from 0 to 1."""

    delay_ms: float = 1.0
    fail_share: float = 0.0  # answered with BROKE
    silent_share: float = 0.0  # never answered
    cut_share: float = 0.0  # the connection closes in the middle of the answer
    lacks: bool = False  # answers LACK if it holds no copy and the request names no source
    purge_delay_ms: float = 200.0  # from the announcement of a purge until older copies are dropped


@dataclass(slots=True)
class CachedCopy:
    """A copy that a cache holds, and the time at which it was filled."""

    version: int
    since_ms: float


class Server:
    """A station cache, a parent cache or, with `origin`, the origin, which always has the current version."""

    def __init__(
        self, truth: Truth, behaviour: ServerBehaviour, rng: random.Random, origin: bool = False
    ) -> None:
        """Create a server that holds no copy; `rng` draws which requests go wrong."""
        self.truth, self.behaviour, self.rng, self.origin = truth, behaviour, rng, origin
        self.copies: dict[tuple[int, int], CachedCopy] = {}
        self.pulls = self.kept = 0
        self.pull_counts: dict[tuple[int, int], int] = {}
        self.port = 0
        self.hook: Callable[[dict[str, str]], Any] | None = None  # awaited before each answer
        # Called for each PULL with the address of the gateway's end of the connection and the fields.
        self.on_pull: Callable[[tuple[str, int], dict[str, str]], None] | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        commands = resp.RespReader()
        cancelled_ids: set[bytes] = set()
        tasks = set()
        peer = writer.get_extra_info("peername")
        try:
            while data := await reader.read(65_536):
                for command, name, *rest in commands.feed(data):
                    if command == b"KILL":
                        cancelled_ids.add(name)
                    elif command == b"PULL":
                        fields = resp.read_fields(rest[0])
                        if self.on_pull:
                            self.on_pull(peer, fields)
                        task = asyncio.create_task(self._pull(writer, name, fields, cancelled_ids))
                        tasks.add(task)
                        task.add_done_callback(tasks.discard)
        except (ConnectionError, resp.RespError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _copy(self, key: int, part: int, cap_ms: float) -> CachedCopy:
        """Return the held copy if no purge and no age limit forbids it, else a new copy of now."""
        now, part_key = now_ms(), (key, part)
        held = self.copies.get(part_key)
        if held and not self.origin:
            later_purges = [p for p in self.truth.purges_of(key) if held.since_ms <= p.at_ms]
            is_purged = any(p.announced_ms + self.behaviour.purge_delay_ms <= now for p in later_purges)
            if not is_purged and (not cap_ms or now - held.since_ms <= cap_ms):
                return held
        held = self.copies[part_key] = CachedCopy(self.truth.version(key, now), now)
        return held

    async def _pull(
        self, writer: asyncio.StreamWriter, name: bytes, fields: dict[str, str], cancelled_ids: set[bytes]
    ) -> None:
        self.pulls += 1
        key, part = int(fields["name"], 16), int(fields["piece"])
        if "dedupe" in fields:
            self.truth.effect(fields["dedupe"])
        self.pull_counts[key, part] = self.pull_counts.get((key, part), 0) + 1
        behaviour, draw = self.behaviour, self.rng.random()
        if self.hook:
            await self.hook(fields)
        await asyncio.sleep(behaviour.delay_ms / 1000.0)
        if draw < behaviour.silent_share or name in cancelled_ids:
            return
        if draw < behaviour.silent_share + behaviour.fail_share:
            writer.write(resp.write_command(name, b"BROKE", b"-", b""))
            return
        if behaviour.lacks and "up" not in fields and (key, part) not in self.copies:
            writer.write(resp.write_command(name, b"LACK", b"-", b""))
            return
        copy = self._copy(key, part, float(fields.get("cap", 0)))
        tag = self.truth.tag(key, copy.version)
        since = f"rev={tag},since={int(copy.since_ms)}".encode()
        if fields.get("inm") == tag:
            self.kept += 1
            writer.write(resp.write_command(name, b"KEEP", since, b""))
            return
        answer = resp.write_command(name, b"DONE", since, self.truth.body(key, part, copy.version))
        if draw < behaviour.silent_share + behaviour.fail_share + behaviour.cut_share:
            writer.write(answer[: len(answer) // 2])
            writer.close()
        elif not writer.is_closing():
            writer.write(answer)


HEALTH_VALUES = ("Ready", "Terminating", "Gone")
HEARTBEAT_MS = 200.0  # of the event bus; the real one has 1 s


@dataclass(slots=True)
class BusSession:
    """The numbered events that the bus has for one run of a gateway process.

    The first event is the list of servers; the recent purges that the configuration repeats follow, then the
    events that the bus sends. `known` is the part that the gateway's configuration holds already.
    """

    events: list[bytes] = field(default_factory=list)
    known: list[dict[str, Any]] = field(default_factory=list)


class Bus:
    """The event bus of one gateway.

    Event numbers start at 1 for each run of the gateway, and its configuration repeats the purges of the last
    `replay_ms`.
    """

    def __init__(
        self,
        truth: Truth,
        hosts: list[dict[str, Any]],
        replay_ms: float,
        heartbeat_ms: float = HEARTBEAT_MS,
    ) -> None:
        """Announce these hosts and the purges of `truth`, with a heartbeat every `heartbeat_ms`."""
        self.truth, self.hosts, self.replay_ms, self.heartbeat_ms = truth, hosts, replay_ms, heartbeat_ms
        self.session = BusSession()
        self.told = 0  # the number of the truth's purges that the current run has been given
        self.port = 0
        self.silent = False
        self.hang_end_ms = 0.0  # connections opened before it have been silent since the hang and stay so
        self.delay_s = 0.0  # until what the bus sends from now on arrives
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.extra_delay_ms = 0.0  # extra delay until this gateway is told of a purge
        self.known: dict[str, Any] = {}  # the events in the configuration of the current run

    async def start(self) -> None:
        """Listen, on a free port or after `stop` on the same one."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Refuse new connections and end the open ones; the events stay."""
        assert self.server
        self.server.close()
        for writer in self.writers:
            writer.close()

    def begin(self) -> dict[str, Any]:
        """Start the events of a new run; return the `known` object for its configuration."""
        self.session = BusSession()
        topology = {"seq": 1, "whole": True, "hosts": self.hosts}
        self.session.known.append({"offset": 1, "topology": topology})
        self.session.events.append(b"")
        now = now_ms()
        for purge in self.truth.purges:
            if purge.announced_ms + self.extra_delay_ms <= now and now - purge.at_ms <= self.replay_ms:
                self._add(purge)
                number = len(self.session.events)
                ban: dict[str, Any] = (
                    {"tag": purge.group} if purge.key is None else {"url": f"{purge.key:016x}"}
                )
                self.session.known.append({"offset": number, "ban": ban | {"ts": int(purge.at_ms)}})
        self.told = sum(purge.announced_ms + self.extra_delay_ms <= now for purge in self.truth.purges)
        self.known = {"offset": len(self.session.events), "batch": self.session.known}
        return self.known

    def announce_host(self, host: dict[str, Any], zones: list[str], kinds: list[str]) -> None:
        """Append an event for a changed host; `zones` and `kinds` are in the order of the settings."""
        ip, _, port = host["dial"].rpartition(":")
        record = RECORD.pack(
            int(host["host"].removeprefix("s-"), 16), bytes(map(int, ip.split("."))), int(port),
            HEALTH_VALUES.index(host["health"]), zones.index(host["site"]), kinds.index(host["class"]),
            host["block"], int(1000 * host["share"]), int(host["born_ms"]),
        )  # fmt: skip
        payload = HEAD.pack(len(self.session.events) + 1, LIST_CHANGES) + record
        self.session.events.append(len(payload).to_bytes(4, "big") + payload)

    def _add(self, purge: Purge) -> None:
        number = len(self.session.events) + 1
        if purge.key is not None:
            payload = HEAD.pack(number, 3) + struct.pack(">QQ", purge.key, int(purge.at_ms))
        else:
            payload = HEAD.pack(number, 4) + struct.pack(">HQ", purge.group, int(purge.at_ms))
        self.session.events.append(len(payload).to_bytes(4, "big") + payload)

    def append_due_purges(self) -> None:
        """Append an event for each purge whose announcement is due."""
        now = now_ms()
        while (
            self.told < len(self.truth.purges)
            and self.truth.purges[self.told].announced_ms + self.extra_delay_ms <= now
        ):
            self._add(self.truth.purges[self.told])
            self.told += 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            last = int.from_bytes(await reader.readexactly(8), "big")
            session, last_beat_ms, opened_ms = self.session, 0.0, now_ms()
            on_the_way: deque[tuple[float, bytes]] = deque()  # with the time of arrival
            while session is self.session and not (writer.is_closing() or reader.at_eof()):
                self.append_due_purges()
                if not self.silent and opened_ms >= self.hang_end_ms:
                    due_ms = now_ms() + 1000.0 * self.delay_s
                    on_the_way += [(due_ms, event) for event in session.events[last:]]
                    last = len(session.events)
                    if now_ms() - last_beat_ms >= self.heartbeat_ms:
                        last_beat_ms = now_ms()
                        on_the_way.append((due_ms, (9).to_bytes(4, "big") + HEAD.pack(last, 0)))
                while on_the_way and on_the_way[0][0] <= now_ms():
                    writer.write(on_the_way.popleft()[1])
                await writer.drain()
                await asyncio.sleep(0.01)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
