"""Stand-ins for the review cases: origin, caches, event bus and clients, from the protocol pages.

A case starts one gateway with the `run` command of the deploy file, plays its parties in this process and
records what was sent, answered and run. Everything listens on 127.0.0.1.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import Any, cast

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SERVED, REFUSED, FAILED = 0, 11, 5
CODE_NAMES = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}
SLACK_MS = 50.0  # every time limit of the rules is 50 ms longer on sockets
BOX, PARENT, ORIGIN = 0, 1, 2
KINDS = ("box", "parent", "origin")
ZONES = ("hub", "north")
BYTES_TO_KB = 2.0  # the simulator's kilobytes for each kilobyte on the socket

SITES: dict[str, dict[str, Any]] = {
    "ortega-estaciones": {
        "classes": [
            {
                "name": "terminal-files",
                "aim_ms": 500.0,
                "aim_stretch": 2.0,
                "deadline_ms": 5000.0,
                "worth": 2.0,
                "effect": "repeatable",
                "late_value": 0.15,
            },
            {
                "name": "card-lookups",
                "aim_ms": 250.0,
                "aim_stretch": 2.0,
                "deadline_ms": 2500.0,
                "worth": 1.0,
                "effect": "repeatable",
                "late_value": 0.2,
            },
            {
                "name": "fuel-charge",
                "aim_ms": 600.0,
                "deadline_ms": 3000.0,
                "worth": 3.0,
                "effect": "by_key",
                "key_scope": "all",
                "repeat_window_ms": 6000.0,
            },
        ],
        "fresh_ms": [0.0, 20_000.0, 0.0],
        "write": [False, False, True],
        "purge_grace_ms": 1000.0,
        "stop_ms": 500.0,
        "direct": True,
        "notes": "none",
        "joins": False,
        "siblings": "location",
        "tells_size": True,
        "cold": (0.17, 16_000.0, 3.0, 1000.0),
        "cold_parent": (0.066, 20_000.0, 2.0),
    },
    "clinic-content": {
        "classes": [
            {
                "name": "video-part",
                "aim_ms": 600.0,
                "aim_stretch": 1.6,
                "deadline_ms": 5000.0,
                "worth": 2.0,
                "effect": "repeatable",
                "late_value": 0.15,
            },
            {
                "name": "sheet",
                "aim_ms": 250.0,
                "aim_stretch": 2.0,
                "deadline_ms": 3000.0,
                "worth": 1.0,
                "effect": "repeatable",
                "late_value": 0.2,
            },
            {"name": "plan-sign-off", "aim_ms": 600.0, "deadline_ms": 3000.0, "worth": 3.0, "effect": "once"},
        ],
        "fresh_ms": [0.0, 0.0, 0.0],
        "write": [False, False, True],
        "purge_grace_ms": 300.0,
        "stop_ms": 1000.0,
        "direct": False,
        "notes": "all",
        "joins": True,
        "siblings": "any",
        "tells_size": False,
        "cold": (0.20, 17_000.0, 4.0, 2000.0),
        "cold_parent": (0.072, 19_000.0, 2.0),
    },
}


def now_ms() -> float:
    """Return the Unix time in milliseconds."""
    return time.time() * 1000.0


class Record:
    """What was sent, answered and run, with times from the start of the case."""

    def __init__(self) -> None:
        """Start the clock."""
        self.start_ms, self.lines, self.broken = now_ms(), list[str](), list[str]()

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{now_ms() - self.start_ms:9.1f} ms  {text}")

    def fault(self, text: str) -> None:
        """Add a line that shows a broken rule."""
        self.broken.append(text)
        self.add(f"RULE BROKEN: {text}")

    def write(self, path: Path) -> None:
        """Write the record to a file."""
        path.write_text("\n".join(self.lines) + "\n")


@dataclass
class Copy:
    """A copy of a part: the origin's version of it, and when the origin gave it out."""

    version: int
    since_ms: int


class Truth:
    """The origin's bytes: a purge replaces those of an object."""

    def __init__(self, sizes: dict[str, int], default_size: int = 20_000) -> None:
        """Start every object at version 1."""
        self.versions: dict[str, int] = {}
        self.sizes, self.default_size = sizes, default_size

    def version(self, name: str) -> int:
        """Return the present version of an object."""
        return self.versions.get(name, 1)

    def size(self, name: str) -> int:
        """Return the size of a part of an object, in bytes."""
        return self.sizes.get(name, self.default_size)

    def body(self, name: str, piece: str, version: int) -> bytes:
        """Return the bytes of a part."""
        text = f"{name}/{piece} version {version}. ".encode()
        size = self.size(name)
        return (text * (size // len(text) + 1))[:size]

    def tag(self, name: str, version: int) -> str:
        """Return the tag of a version."""
        return f"{name}-{version}"


@dataclass
class Pull:
    """A PULL command as read by a server."""

    id: str
    fields: dict[str, str]
    body: bytes
    received_ms: float


def resp(*parts: bytes) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    """Read an array of bulk strings."""
    items = []
    for _ in range(int((await reader.readuntil(b"\r\n"))[1:-2])):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        items.append((await reader.readexactly(size + 2))[:-2])
    return items


class Server:
    """A station cache, a parent or the origin."""

    def __init__(self, case: "Case", number: int, kind: int, zone: int) -> None:
        """Start empty; `listen` starts to serve."""
        self.case, self.number, self.kind, self.zone = case, number, kind, zone
        self.name = f"s-{number:08x}"
        self.copies: dict[tuple[str, str, str], Copy] = {}
        self.port = 0
        self.answer_ms = 15.0
        # Called with a PULL and its answer; writes the answer itself and returns True if it spoils it.
        self.spoil: Callable[[Pull, list[bytes], asyncio.StreamWriter], Awaitable[bool]] | None = None

    async def listen(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.port = server.sockets[0].getsockname()[1]

    def drop(self, name: str) -> None:
        """Drop the copies of an object that a purge made void."""
        for key in [key for key in self.copies if key[1] == name]:
            if self.copies[key].version < self.case.truth.version(name):
                del self.copies[key]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        pulls: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                items = await read_array(reader)
                word = items[0].decode()
                if word == "PULL":
                    pull = Pull(items[1].decode(), read_fields(items[2]), items[3], now_ms())
                    shown = ",".join(f"{k}={v}" for k, v in pull.fields.items())
                    self.case.record.add(f"{self.name} ({KINDS[self.kind]}) received PULL {pull.id} {shown}")
                    pulls[pull.id] = asyncio.ensure_future(self._answer(pull, writer))
                elif word == "KILL":
                    self.case.record.add(f"{self.name} received KILL {items[1].decode()}")
                    if task := pulls.get(items[1].decode()):
                        task.cancel()
                else:
                    writer.write(resp(items[1], b"FIT", b"-", b""))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass  # the gateway has closed the connection, or the case ends
        finally:
            for task in pulls.values():
                task.cancel()
            writer.close()

    async def _answer(self, pull: Pull, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.answer_ms / 1000.0)
        word, copy, note = self.look_up(pull)
        lane, name, piece = (pull.fields.get(key, "0") for key in ("lane", "name", "piece"))
        fields, body = b"-", b""
        if self.case.is_write(lane):
            if word == "DONE":
                self.case.record.add(f"{self.name} RAN {pull.id} key {pull.fields.get('dedupe', '')}")
                self.case.runs.append((pull.id, now_ms()))
                body = f"done {pull.id}".encode()
        elif copy:
            truth, tag = self.case.truth, self.case.truth.tag(name, copy.version)
            fields = f"rev={tag},since={copy.since_ms}".encode()
            if self.case.site["notes"] == "all":
                fields += f",why={note}".encode()
            if pull.fields.get("inm") == tag:
                word = "KEEP"
            else:
                body = truth.body(name, piece, copy.version)
        answer = [pull.id.encode(), word.encode(), fields, body]
        self.case.record.add(f"{self.name} answers {pull.id} {word} {fields.decode()} {len(body)} bytes")
        if self.spoil is None or not await self.spoil(pull, answer, writer):
            writer.write(resp(*answer))

    def look_up(self, pull: Pull) -> tuple[str, Copy | None, str]:
        """Return the word of the answer, the copy that it carries, and how it was served."""
        case, fields = self.case, pull.fields
        lane, name, piece = fields.get("lane", ""), fields.get("name", ""), fields.get("piece", "0")
        source = next((s for s in case.servers if s.name == fields.get("up")), None)
        if case.is_write(lane):
            upstream = self.kind == ORIGIN or (source is not None and source.kind != BOX)
            return ("DONE" if upstream else "LACK"), None, ""
        cap_ms = float(fields.get("cap", 0)) or case.fresh_ms(lane) or float("inf")
        copy, note = self.held(lane, name, piece, cap_ms), "h"
        if copy is None and source is not None and source is not self:
            copy, note = source.held(lane, name, piece, cap_ms), "f"
            if copy is None and source.kind != BOX and "local" not in fields.get("do", ""):
                copy, note = Copy(case.truth.version(name), int(now_ms())), "o"
                if source.kind == PARENT:
                    source.copies[lane, name, piece] = copy
            if copy and int(fields.get("store", 0)):
                self.copies[lane, name, piece] = copy
        return ("DONE" if copy else "LACK"), copy, note

    def held(self, lane: str, name: str, piece: str, cap_ms: float) -> Copy | None:
        """Return a copy that is young enough; the origin has every object."""
        if self.kind == ORIGIN:
            return Copy(self.case.truth.version(name), int(now_ms()))
        copy = self.copies.get((lane, name, piece))
        return copy if copy and now_ms() - copy.since_ms <= cap_ms else None


def read_fields(data: bytes) -> dict[str, str]:
    """Decode the FIELDS of a command."""
    text = data.decode()
    return {} if text == "-" else dict(pair.split("=", 1) for pair in text.split(","))


class Bus:
    """The event bus."""

    def __init__(self, record: Record) -> None:
        """Start without events."""
        self.record, self.events = record, list[tuple[int, int, bytes]]()
        self.port, self.server = 0, cast(asyncio.Server | None, None)
        self.writers: set[asyncio.StreamWriter] = set()
        self.changed = asyncio.Event()

    async def up(self) -> None:
        """Listen, always at the same port."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]
        self.record.add("event bus is up")

    def down(self) -> None:
        """End all connections and refuse new ones."""
        self.record.add("event bus is down")
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def add(self, kind: int, payload: bytes) -> int:
        """Add an event and return its number."""
        number = len(self.events) + 1
        self.events.append((number, kind, payload))
        self.changed.set()
        self.changed = asyncio.Event()
        return number

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            last = int.from_bytes(await reader.readexactly(8), "big")
            self.record.add(f"event bus: a gateway asks for what comes after {last}")
            while not writer.is_closing():
                changed = self.changed
                for number, kind, payload in self.events[last:]:
                    writer.write(struct.pack(">IQB", len(payload) + 9, number, kind) + payload)
                    self.record.add(f"event bus writes event {number}")
                    last = number
                writer.write(struct.pack(">IQB", 9, last, 0))
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), 1.0)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass  # the gateway has closed the connection, or the case ends
        finally:
            self.writers.discard(writer)
            writer.close()


@dataclass
class Sent:
    """A request of a client, and what became of it."""

    fields: dict[str, str]
    sent_ms: float
    deadline_ms: float
    code: int | None = None
    answer_fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    answered_ms: float = 0.0
    part: bytes = b""  # of an answer that is not whole
    done: asyncio.Event = field(default_factory=asyncio.Event)
    answers: int = 0


class Client:
    """A client connection; `pace` bounds the bytes that it reads a second."""

    def __init__(self, case: "Case", name: str, pace: float = 0.0) -> None:
        """Create a client; `open` connects it."""
        self.case, self.name, self.pace = case, name, pace
        self.requests: dict[int, Sent] = {}
        self.streams = count(1)
        self.ended, self.ended_ms = "", 0.0  # how and when the connection ended
        self.told_to_go = False
        self.bytes_read = 0
        self.ready = asyncio.Event()

    async def open(self) -> "Client":
        """Connect."""
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(self.sock, (HOST, self.case.listen_port))
        self.reader = asyncio.ensure_future(self._read())
        return self

    async def request(self, lane: str, name: str, wait_ms: float, **more: str) -> Sent:
        """Send a request."""
        stream, case = next(self.streams), self.case
        fields = {"c": lane, "i": os.urandom(8).hex(), "d": f"{wait_ms:.0f}", "o": name, "piece": "0"}
        fields |= {"lot": "17", **more}
        if case.site["tells_size"]:
            fields["m"] = f"{case.truth.size(name) / 1000.0 * BYTES_TO_KB:.1f}"
        payload = bytes([len(fields)]) + b"".join(
            bytes([len(key)]) + key.encode() + struct.pack(">H", len(value)) + value.encode()
            for key, value in fields.items()
        )
        sent = self.requests[stream] = Sent(fields, now_ms(), now_ms() + wait_ms)
        data = struct.pack(">IBI", len(payload) + 5, 7, stream) + payload
        await asyncio.get_running_loop().sock_sendall(self.sock, data)
        case.record.add(f"{self.name} sent request {fields['i']} ({lane} {name}) on stream {stream}")
        return sent

    async def ask(self, lane: str, name: str, wait_ms: float, **more: str) -> Sent:
        """Send a request and wait for its answer, or for the end of its time and half a second more."""
        sent = await self.request(lane, name, wait_ms, **more)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(sent.done.wait(), (wait_ms + 550.0) / 1000.0)
        return sent

    async def is_ready(self) -> bool:
        """Ask whether the gateway is ready."""
        self.ready.clear()
        await asyncio.get_running_loop().sock_sendall(self.sock, struct.pack(">IBI", 6, 1, 0) + b"\0")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.ready.wait(), 1.0)
        return self.ready.is_set()

    async def close(self) -> None:
        """Close the connection."""
        self.reader.cancel()
        await asyncio.gather(self.reader, return_exceptions=True)
        self.sock.close()

    async def _read(self) -> None:
        loop, buffer, chunk = asyncio.get_running_loop(), bytearray(), 65_536
        begun_ms = now_ms()
        if self.pace:
            chunk = int(self.pace / 50.0)
        try:
            while data := await loop.sock_recv(self.sock, chunk):
                buffer += data
                self.bytes_read += len(data)
                self._take_frames(buffer)
                if self.pace:
                    due_ms = begun_ms + 1000.0 * self.bytes_read / self.pace
                    if due_ms < now_ms() - 20.0:  # unused pace is not saved up
                        begun_ms = now_ms() - 1000.0 * self.bytes_read / self.pace
                    else:
                        await asyncio.sleep(max(0.0, due_ms - now_ms()) / 1000.0)
            self.ended = "closed"
        except OSError as error:
            self.ended = f"broken ({error.strerror})"
        if len(buffer) >= 9:
            _, kind, stream = struct.unpack_from(">IBI", buffer)
            if kind == 8 and stream in self.requests:
                self.requests[stream].part = bytes(buffer)
        self.ended_ms = now_ms()
        self.case.record.add(f"{self.name}: its connection is {self.ended} after {self.bytes_read} bytes")
        for sent in self.requests.values():
            sent.done.set()

    def _take_frames(self, buffer: bytearray) -> None:
        while len(buffer) >= 9:
            length, kind, stream = struct.unpack_from(">IBI", buffer)
            if len(buffer) < length + 4:
                return
            payload = bytes(buffer[9 : length + 4])
            del buffer[: length + 4]
            if kind == 2 and payload[0] == 0:
                self.ready.set()
            elif kind == 3:
                self.told_to_go = True
                self.case.record.add(f"{self.name} read: no new request on this connection")
            elif kind == 8:
                self._take_answer(stream, payload)

    def _take_answer(self, stream: int, payload: bytes) -> None:
        sent = self.requests.get(stream)
        if sent is None:
            self.case.record.add(f"{self.name} read an answer on stream {stream}, code {payload[0]}")
            return
        offset, fields = 2, dict[str, str]()
        for _ in range(payload[1]):
            end = offset + 1 + payload[offset]
            size = int.from_bytes(payload[end : end + 2], "big")
            fields[payload[offset + 1 : end].decode()] = payload[end + 2 : end + 2 + size].decode()
            offset = end + 2 + size
        sent.code, sent.answer_fields, sent.body = payload[0], fields, payload[offset:]
        sent.answered_ms, sent.answers = now_ms(), sent.answers + 1
        self.case.record.add(
            f"{self.name} read: {sent.fields['i']} {CODE_NAMES.get(sent.code, sent.code)} {fields}"
            f" {len(sent.body)} bytes, {sent.body[:40]!r}"
        )
        sent.done.set()


class CannotRun(Exception):  # noqa: N818
    """The case could not be played."""


class Case:
    """One gateway among stand-ins."""

    def __init__(
        self,
        folder: Path,
        site: str,
        sizes: dict[str, int],
        boxes: int = 3,
        parents: int = 2,
        memory_mb: int = 192,
    ) -> None:
        """Prepare the parties of a site."""
        self.folder, self.site, self.record = folder, SITES[site], Record()
        self.site_name, self.truth, self.memory_mb = site, Truth(sizes), memory_mb
        self.runs: list[tuple[str, float]] = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        numbers = count(0x00C41F70)
        self.servers = [Server(self, next(numbers), BOX, 1) for _ in range(boxes)]
        self.servers += [Server(self, next(numbers), PARENT, 0) for _ in range(parents)]
        self.servers += [Server(self, next(numbers), ORIGIN, 0)]
        self.bus = Bus(self.record)
        self.listen_port = self.control_port = 0
        self.temp = Path(tempfile.mkdtemp(prefix="review-"))
        self.process: subprocess.Popen[bytes] | None = None

    def is_write(self, lane: str) -> bool:
        """Return whether a class runs at the origin."""
        return any(
            c["name"] == lane and w for c, w in zip(self.site["classes"], self.site["write"], strict=True)
        )

    def fresh_ms(self, lane: str) -> float:
        """Return the fresh time of a class; 0: no limit."""
        names = [c["name"] for c in self.site["classes"]]
        return float(self.site["fresh_ms"][names.index(lane)]) if lane in names else 0.0

    def config(self) -> dict[str, Any]:
        """Return the configuration of the gateway."""
        site, flow = self.site, 6_300.0
        cold, cold_parent = site["cold"], site["cold_parent"]
        hosts = [
            {
                "host": s.name,
                "dial": f"{HOST}:{s.port}",
                "site": ZONES[s.zone],
                "class": KINDS[s.kind],
                "block": s.zone,
                "health": "Ready",
                "share": 8,
                "born_ms": 0,
            }
            for s in self.servers
        ]
        known = {"offset": 1, "batch": [{"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": hosts}}]}
        return {
            "name": "n0",
            "listen": f"{HOST}:{self.listen_port}",
            "control": f"{HOST}:{self.control_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": 1024},
            "bus": f"{HOST}:{self.bus.port}",
            "known": known,
            "flow_bytes_per_s": flow * 1000.0 / BYTES_TO_KB,
            "link_bytes_per_s": flow * 4000.0 / BYTES_TO_KB,
            "settings": {
                "classes": site["classes"],
                "my_number": 0,
                "group_size": 1,
                "my_zone": "north",
                "tier": 0,
                "localities": list(ZONES),
                "skus": list(KINDS),
                "discovery": "push",
                "weights": "rough",
                "limits": {
                    "cancel": True,
                    "conn_idle_ms": 15_000.0,
                    "connect_timeout_ms": 400.0,
                    "max_retry_after_ms": 500.0,
                    "multiplex": 32,
                    "retry_after": True,
                    "try_limit": 6,
                    "second_copies": True,
                    "peers": False,
                },
                "contract": {
                    "answer_slack_ms": 8.0,
                    "stop_sending_within_ms": site["stop_ms"],
                    "start_capacity": cold[0],
                    "ramp_time_ms": cold[1],
                    "overload_factor": cold[2],
                    "tip_after_ms": cold[3],
                },
                "family_info": {
                    "direct": site["direct"],
                    "hub_of": [0, 0],
                    "instances_by_zone": [0, 1],
                    "feed_kb_per_s": [0.0, 100_000.0],
                    "stream_kb_per_s": flow,
                    "second_tier_kind": 1,
                    "store_kind": 2,
                    "peers_fill": site["siblings"],
                    "note_level": site["notes"],
                    "merges_fills": site["joins"],
                    "uncached": site["write"],
                    "lifetime_by_class_ms": site["fresh_ms"],
                    "grace_for_ms": [0.0, 0.0, 0.0],
                    "upper_cold_from": cold_parent[0],
                    "parent_warms_in_ms": cold_parent[1],
                    "parent_fall_multiple": cold_parent[2],
                    "purge_grace_ms": site["purge_grace_ms"],
                    "gone_everywhere_ms": 6000.0,
                },
            },
        }

    def server_record(self, server: Server, state: int) -> bytes:
        """Return the record of a server in the binary list."""
        return struct.pack(
            ">I4sHBBBHIQ",
            server.number,
            socket.inet_aton(HOST),
            server.port,
            state,
            server.zone,
            server.kind,
            server.zone,
            8000,
            0,
        )

    async def start(self) -> None:
        """Start the stand-ins and the gateway, and wait until it is ready."""
        for server in self.servers:
            await server.listen()
        await self.bus.up()
        self.bus.add(1, b"".join(self.server_record(s, 0) for s in self.servers))
        self.listen_port, self.control_port = free_port(), free_port()
        await self.launch()

    async def restart(self) -> None:
        """Make a planned restart while no client is connected."""
        process = self.process
        if process is None:
            raise CannotRun("no gateway to restart")
        self.record.add("planned restart: SIGTERM")
        process.send_signal(signal.SIGTERM)
        code = await asyncio.get_running_loop().run_in_executor(None, process.wait, 10.0)
        self.record.add(f"the gateway has ended with {code}")
        await self.launch()

    async def launch(self) -> None:
        """Start the gateway with an empty folder for its files, and wait until it is ready."""
        shutil.rmtree(self.temp / "tmp", ignore_errors=True)
        (self.temp / "tmp").mkdir()
        config = self.temp / "config.json"
        config.write_text(json.dumps(self.config()))
        self.spawn(config)
        for _ in range(200):
            await asyncio.sleep(0.1)
            with contextlib.suppress(OSError):
                client = await Client(self, "front").open()
                is_ready = await client.is_ready()
                await client.close()
                if is_ready:
                    self.record.add("the gateway is ready")
                    return
        raise CannotRun("the gateway was not ready within 20 s")

    def spawn(self, config: Path) -> None:
        """Start the gateway with the deploy file's command."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environ = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
        environ |= {
            "BALANCER_CONFIG": str(config),
            "BALANCER_NAME": "n0",
            "TMPDIR": str(self.temp / "tmp"),
            "BALANCER_LISTEN": f"{HOST}:{self.listen_port}",
            "BALANCER_CONTROL": f"{HOST}:{self.control_port}",
        }
        with (self.temp / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self.record.add("the gateway is started")

    async def warm_up(self, lane: str, names: list[str], wait_ms: float) -> None:
        """Have a client ask for objects once; raise CannotRun if one is not served."""
        client = await Client(self, "warm-up").open()
        for name in names:
            if (await client.ask(lane, name, wait_ms)).code != SERVED:
                raise CannotRun(f"{name} was not served before the disruption")
        await client.close()

    async def call(self, line: str) -> str:
        """Make an operator's call."""
        reader, writer = await asyncio.open_connection(HOST, self.control_port)
        writer.write(line.encode() + b"\n")
        answer = (await reader.readline()).decode().strip()
        writer.close()
        self.record.add(f"operator: {line} -> {answer}")
        return answer

    def check_alive(self) -> None:
        """Raise CannotRun if the gateway has ended, which no case expects."""
        if self.process and self.process.poll() is not None:
            raise CannotRun(f"the gateway ended with {self.process.returncode}")

    def finish(self) -> None:
        """End the gateway and write the record."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(6.0)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        with contextlib.suppress(OSError):
            log = (self.temp / "log").read_text(errors="replace").splitlines()
            self.record.lines += ["", "the gateway's log:", *log]
        shutil.rmtree(self.temp, ignore_errors=True)
        self.record.write(self.folder / "record.txt")


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def play(case: Case, run: Callable[[Case], Awaitable[None]]) -> int:
    """Play a case; return 1 if a rule was broken, 0 if none was, and 2 if it could not be played."""

    async def main() -> None:
        await case.start()
        await run(case)
        case.check_alive()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        asyncio.run(asyncio.wait_for(main(), 100.0))
    except Exception as error:  # noqa: BLE001  a fault of the case itself is not a broken rule
        case.record.add(f"the case could not be played: {error!r}")
        print(f"could not be played: {error!r}", file=sys.stderr)
        return 2
    finally:
        case.finish()
    for line in case.record.broken:
        print(line)
    print("the rule was broken" if case.record.broken else "the rule held")
    return 1 if case.record.broken else 0
