"""Stand-ins of the second review: clients, station caches, parent, origin, event bus and the platform.

Written from the protocol pages alone, on threads and blocking sockets; no code of the gateway is imported.
Everything listens on loopback addresses with ports that the system chooses. A `Case` starts the gateway with
the `run` command of the deploy file, collects the record, and ends every process that it has started.
"""

import contextlib
import json
import math
import os
import random
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REQUEST, ANSWER, GIVE_UP, READY, READY_ANSWER, GOING = 7, 8, 9, 1, 2, 3
SERVED, REFUSED, FAILED = 0, 11, 5
WORDS = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}
PIECE_BYTES = 4_000
MAX_RUN_S = 110.0  # then the case ends with 2
STATES = {"Ready": 0, "Terminating": 1, "Gone": 2}


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


def now_ms() -> float:
    """Return Unix milliseconds."""
    return time.time() * 1000.0


def free_port() -> int:
    """Return a free TCP port of 127.0.0.1."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def wait_for(check: Callable[[], bool], seconds: float) -> bool:
    """Wait until `check` holds; return whether it did in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return True
        time.sleep(0.01)
    return check()


# The objects of the origin


class World:
    """What the origin would give out, the purges, and the effects that ran."""

    def __init__(self, size: int = 600, dedupe_ms: float = 6_000.0) -> None:
        """Serve bodies of `size` bytes; the origin drops repeats of a key for `dedupe_ms`."""
        self.size, self.dedupe_ms, self.lock = size, dedupe_ms, threading.Lock()
        self.purges: dict[int, list[float]] = {}
        self.effects: dict[str, list[tuple[float, str]]] = {}

    def purge(self, key: int) -> float:
        """Purge an object now; return the time of the purge."""
        at_ms = float(int(now_ms()))
        with self.lock:
            self.purges.setdefault(key, []).append(at_ms)
        return at_ms

    def version(self, key: int, at_ms: float) -> int:
        """Return the version of an object that the origin gives out at a time."""
        return sum(purged_ms <= at_ms for purged_ms in self.purges.get(key, []))

    def body(self, key: int, part: int, version: int) -> bytes:
        """Return the bytes of a version."""
        text = f"{key:016x}/{part}/v{version};".encode()
        return (text * (self.size // len(text) + 1))[: self.size]

    def tag(self, key: int, version: int) -> str:
        """Return the tag of a version."""
        return f"t{key:x}.{version}"


# Station caches, parent and origin


def bulk(*parts: bytes) -> bytes:
    """Encode a RESP array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


class RespInput:
    """Reads RESP arrays from a blocking socket."""

    def __init__(self, sock: socket.socket) -> None:
        """Read from a socket."""
        self.file = sock.makefile("rb", buffering=65_536)

    def read(self) -> list[bytes] | None:
        """Return the next array, or None at the end of the connection."""
        try:
            head = self.file.readline()
            if not head.startswith(b"*"):
                return None
            items = []
            for _ in range(int(head[1:])):
                size = int(self.file.readline()[1:])
                items.append(self.file.read(size + 2)[:-2])
            return items
        except (OSError, ValueError):
            return None


class Pull:
    """A PULL as it arrived at a server."""

    def __init__(self, server: "Server", name: str, fields: dict[str, str], body: bytes) -> None:
        """Keep what arrived, with the time."""
        self.server, self.name, self.fields, self.body = server, name, fields, body
        self.arrived_ms = now_ms()
        self.killed = False
        self.end, self.ended_ms = "", math.inf  # how it ended, and when: its answer is written, or given up

    def finish(self, end: str) -> None:
        """Record the first end."""
        if not self.end:
            self.end, self.ended_ms = end, now_ms()


class Server:
    """A station cache, a parent or the origin, which behaves as the pages tell unless `behave` says more.

    `behave` is called with each PULL before it is answered: it may sleep, and returns "" for the usual
    answer, "silent" for none, or the word of the answer.
    """

    def __init__(self, case: "Case", number: int, zone: str, kind: str, units: float = 20.0) -> None:
        """Listen on a free port."""
        self.case, self.number, self.zone, self.kind, self.units = case, number, zone, kind, units
        self.id, self.state, self.born_ms, self.cell = f"s-{number:08x}", "Ready", 0, number
        self.copies: dict[tuple[int, int], tuple[int, float]] = {}
        self.pulls: list[Pull] = []
        self.behave: Callable[[Pull], str] = lambda pull: ""
        self.work_ms = 2.0
        self.bytes_per_s = 0  # the pace of one answer; 0: all at once
        self.second_share, self.second_ms = 0.0, 8.0  # of its answers: a second copy comes so much later
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = int(self.listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def host(self) -> dict[str, Any]:
        """Return the entry of the list, in the form of the configuration."""
        return {
            "host": self.id, "dial": f"127.0.0.1:{self.port}", "site": self.zone, "class": self.kind,
            "block": self.cell, "health": self.state, "share": self.units, "born_ms": self.born_ms,
        }  # fmt: skip

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        reader, lock, open_pulls = RespInput(sock), threading.Lock(), dict[str, Pull]()
        while items := reader.read():
            if items[0] == b"PULL":
                text = items[2].decode()
                fields = {} if text == "-" else dict(pair.split("=", 1) for pair in text.split(","))
                pull = Pull(self, items[1].decode(), fields, items[3])
                self.pulls.append(pull)
                open_pulls[pull.name] = pull
                threading.Thread(target=self._answer, args=(sock, lock, pull), daemon=True).start()
            elif items[0] == b"KILL" and (killed := open_pulls.get(items[1].decode())):
                killed.killed = True
                killed.finish("killed")
        for pull in open_pulls.values():
            pull.killed = True
            pull.finish("connection ended")
        with contextlib.suppress(OSError):
            sock.close()

    def _answer(self, sock: socket.socket, lock: threading.Lock, pull: Pull) -> None:
        fields = pull.fields
        word = self.behave(pull)
        time.sleep(self.work_ms / 1000.0)
        cls = self.case.settings_by_class[fields["lane"]]
        if word == "silent" or pull.killed:
            return
        answer_fields, body = "-", b""
        if not word and cls["write"]:
            self.case.run_effect(pull)
            word, body = "DONE", b"ok"
        elif not word:
            key, part = int(fields["name"], 16), int(fields.get("piece", "0"))
            copy = self._copy(key, part, float(fields.get("cap", "0")), cls["fresh_ms"], "up" in fields)
            word = "LACK"
            if copy:
                version, since_ms = copy
                tag, word = self.case.world.tag(key, version), "DONE"
                answer_fields = f"rev={tag},since={int(since_ms)}"
                if fields.get("inm") == tag:
                    word = "KEEP"
                else:
                    body = self.case.world.body(key, part, version)
        data = bulk(pull.name.encode(), word.encode(), answer_fields.encode(), body)
        with lock, contextlib.suppress(OSError):
            if pull.killed:
                return
            if self.bytes_per_s:  # an answer that has begun is sent to its end: its length has been told
                for start in range(0, len(data), PIECE_BYTES):
                    sock.sendall(data[start : start + PIECE_BYTES])
                    time.sleep(PIECE_BYTES / self.bytes_per_s)
            else:
                sock.sendall(data)
            pull.finish(word)
        if random.random() < self.second_share:
            time.sleep(self.second_ms / 1000.0)
            with lock, contextlib.suppress(OSError):
                sock.sendall(data)

    def _copy(
        self, key: int, part: int, cap_ms: float, fresh_ms: float, may_fill: bool
    ) -> tuple[int, float] | None:
        """Return the version and the time of the copy that answers; None if there is none and no fill."""
        now, world, held = now_ms(), self.case.world, self.copies.get((key, part))
        limit_ms = cap_ms or fresh_ms
        if held and self.kind != "origin":
            is_purged = any(held[1] <= purged_ms for purged_ms in world.purges.get(key, []))
            if not is_purged and (not limit_ms or now - held[1] <= limit_ms):
                return held
        if not may_fill and self.kind == "box":
            return None
        held = self.copies[key, part] = (world.version(key, now), now)
        return held

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()


# The event bus


class Bus:
    """The event bus of one gateway: numbered events, an empty frame each second.

    `delay_s` delays all that it sends; `down` makes it unreachable, `up` brings it back at the same address.
    """

    def __init__(self, case: "Case") -> None:
        """Listen on a free port, without events."""
        self.case, self.events, self.delay_s = case, list[bytes](), 0.0
        self.known: list[dict[str, Any]] = []
        self.lock, self.conns = threading.Lock(), set[socket.socket]()
        self.port, self.listener, self.subscriptions = 0, None, 0
        self.up()

    def up(self) -> None:
        """Listen, at the same port as before if there was one."""
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=128)
        self.port = int(self.listener.getsockname()[1])
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def down(self) -> None:
        """Refuse new connections and end the open ones."""
        listener, self.listener = self.listener, None
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        with self.lock:
            conns = list(self.conns)
        for sock in conns:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def begin(self, servers: list[Server]) -> dict[str, Any]:
        """Give the first event, the whole list; return `known` of the configuration."""
        hosts = [server.host() for server in servers]
        self.events = [b""]
        self.known = [{"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": hosts}}]
        return {"offset": 1, "batch": self.known}

    def _add(self, kind: int, payload: bytes) -> float:
        with self.lock:
            frame = struct.pack(">QB", len(self.events) + 1, kind) + payload
            self.events.append(struct.pack(">I", len(frame)) + frame)
        return now_ms()

    def tell_host(self, server: Server) -> float:
        """Tell a changed entry of the list; return when it was in the bus."""
        zones, kinds = self.case.setup["localities"], self.case.setup["skus"]
        record = struct.pack(
            ">I4sHBBBHIQ", server.number, bytes((127, 0, 0, 1)), server.port, STATES[server.state],
            zones.index(server.zone), kinds.index(server.kind), server.cell, int(server.units * 1000),
            server.born_ms,
        )  # fmt: skip
        return self._add(2, record)

    def tell_purge(self, key: int, at_ms: float) -> float:
        """Tell the purge of an object; return when it was in the bus."""
        return self._add(3, struct.pack(">QQ", key, int(at_ms)))

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            if self.listener is not listener:
                sock.close()
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with self.lock:
            self.conns.add(sock)
        waiting: list[tuple[float, bytes]] = []
        try:
            data = b""
            while len(data) < 8:
                more = sock.recv(8 - len(data))
                if not more:
                    return
                data += more
            last, beat_s = int.from_bytes(data, "big"), -1.0
            self.subscriptions += 1
            self.case.note(f"bus: subscription from event {last}")
            while True:
                due_s = time.monotonic() + self.delay_s
                with self.lock:
                    new, last = self.events[last:], max(last, len(self.events))
                waiting += [(due_s, event) for event in new]
                if time.monotonic() - beat_s >= 1.0:
                    beat_s = time.monotonic()
                    waiting.append((due_s, struct.pack(">IQB", 9, last, 0)))
                while waiting and waiting[0][0] <= time.monotonic():
                    sock.sendall(waiting.pop(0)[1])
                sock.settimeout(0.01)
                try:
                    if not sock.recv(1):
                        return
                except TimeoutError:
                    pass
                finally:
                    sock.settimeout(None)
        except OSError:
            return
        finally:
            with self.lock:
                self.conns.discard(sock)
            sock.close()


# Clients


class Ask:
    """A request of a client, and what came of it."""

    def __init__(self, id: str, stream: int, cls: str, key: int, part: int, k: str) -> None:
        """Keep the request; it is sent at `sent_ms`."""
        self.id, self.stream, self.cls, self.key, self.part, self.k = id, stream, cls, key, part, k
        self.sent_ms = self.ended_ms = 0.0
        self.code = -1  # of the answer; -1: none
        self.fields: dict[str, str] = {}
        self.body = b""
        self.answers = 0
        self.done = threading.Event()
        self.is_connection_over = False

    def word(self) -> str:
        """Return what came of it in one word."""
        return WORDS.get(self.code, "connection ended" if self.is_connection_over else "no answer")


def pack_fields(fields: dict[str, str]) -> bytes:
    """Encode the fields of a frame."""
    out = bytes([len(fields)])
    for name, value in fields.items():
        out += bytes([len(name)]) + name.encode() + struct.pack(">H", len(value)) + value.encode()
    return out


def unpack_fields(payload: bytes) -> tuple[dict[str, str], bytes]:
    """Decode the fields of a frame; return them with what follows."""
    fields, at = {}, 1
    for _ in range(payload[0]):
        size = payload[at]
        name = payload[at + 1 : at + 1 + size].decode()
        at += 1 + size
        (size,) = struct.unpack_from(">H", payload, at)
        fields[name] = payload[at + 2 : at + 2 + size].decode()
        at += 2 + size
    return fields, payload[at:]


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """Encode a frame."""
    return struct.pack(">IBI", len(payload) + 5, kind, stream) + payload


class Client:
    """One connection of a client."""

    def __init__(self, case: "Case", port: int) -> None:
        """Connect to a gateway."""
        self.case, self.streams, self.open = case, 0, dict[int, Ask]()
        self.is_going = self.is_over = False
        self.over_ms = math.inf  # when the connection ended
        self.lock = threading.Lock()
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=5.0)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._read, daemon=True).start()

    def ask(
        self, cls: str, key: int, part: int = 0, wait_ms: int = 2_000, k: str = "", size_kb: float = 0.6,
        ver: str = "", id: str = "",
    ) -> Ask:  # fmt: skip
        """Send a request; its answer comes later. A sound client gives no `id`: each has a new one."""
        with self.lock:
            self.streams += 1
            ask = Ask(id or f"{random.getrandbits(64):016x}", self.streams, cls, key, part, k)
            fields = {"c": cls, "i": ask.id, "d": str(wait_ms), "o": f"{key:016x}", "piece": str(part),
                      "lot": str(key % 16), "m": f"{size_kb:g}"}  # fmt: skip
            if k:
                fields["k"] = k
            if ver:
                fields["ver"] = ver
            self.open[ask.stream] = ask
            self.case.asks.append(ask)
            with contextlib.suppress(OSError):
                self.sock.sendall(frame(REQUEST, ask.stream, pack_fields(fields)))
            ask.sent_ms = now_ms()
        return ask

    def give_up(self, ask: Ask) -> None:
        """Tell that nobody waits for a request any more (type 9)."""
        with self.lock, contextlib.suppress(OSError):
            self.sock.sendall(frame(GIVE_UP, ask.stream))

    def _read(self) -> None:
        file = self.sock.makefile("rb")
        try:
            while len(head := file.read(9)) == 9:
                length, kind, stream = struct.unpack(">IBI", head)
                payload = file.read(length - 5)
                if kind == GOING:
                    self.is_going = True
                elif kind == ANSWER and (ask := self.open.get(stream)):
                    ask.answers += 1
                    if ask.answers == 1:
                        ask.code = payload[0]
                        ask.fields, ask.body = unpack_fields(payload[1:])
                        ask.ended_ms = now_ms()
                        ask.done.set()
        except (OSError, ValueError, IndexError):
            pass
        self.is_over, self.over_ms = True, now_ms()
        for ask in self.open.values():
            if not ask.answers:
                ask.is_connection_over, ask.ended_ms = True, now_ms()
                ask.done.set()

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


def is_ready(port: int) -> bool:
    """Ask a gateway whether it is ready, as the front does."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1.0) as sock:
            sock.settimeout(1.0)
            sock.sendall(frame(READY, 1, b"\0"))
            data = b""
            while len(data) < 10:
                more = sock.recv(64)
                if not more:
                    return False
                data += more
            return data[4] == READY_ANSWER and data[9] == 0
    except OSError:
        return False


# The platform


class Gateway:
    """One gateway process, started with the `run` command of the deploy file."""

    def __init__(
        self,
        case: "Case",
        name: str,
        bus: Bus,
        config: dict[str, Any],
        listener: socket.socket | None = None,
        tmp: Path | None = None,
    ) -> None:
        """Start it; `config` is its configuration.

        `listener` is the clients' socket, where the platform holds it; `tmp` is a folder that is shared with
        an older process.
        """
        self.case, self.name, self.bus = case, name, bus
        self.port, self.control = listener.getsockname()[1] if listener else free_port(), free_port()
        self.folder = Path(tempfile.mkdtemp(prefix=f"{name}-", dir=case.folder))
        self.tmp = tmp or self.folder / "tmp"
        self.tmp.mkdir(exist_ok=True)
        self.config_path, self.log_path = self.folder / "config.json", self.folder / "log"
        config |= {
            "name": name.partition("-")[0],
            "listen": f"127.0.0.1:{self.port}",
            "control": f"127.0.0.1:{self.control}",
        }
        self.config_path.write_text(json.dumps(config))
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(self.tmp),
            "BALANCER_CONFIG": str(self.config_path), "BALANCER_NAME": config["name"],
            "PYTHONDONTWRITEBYTECODE": "1",
        }  # fmt: skip
        if listener:
            env["BALANCER_LISTEN_FD"] = str(listener.fileno())
        self.log = self.log_path.open("wb")
        sockets = int(config["limits"]["sockets"])
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self.log,
            stderr=self.log, pass_fds=[listener.fileno()] if listener else [],
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
        )  # fmt: skip
        case.gateways.append(self)

    def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until it is ready to serve."""
        if not wait_for(lambda: is_ready(self.port), seconds):
            raise CannotRun(f"{self.name} was not ready after {seconds:g} s")

    def call(self, line: str) -> str:
        """Make an operator's call; return the answer."""
        with socket.create_connection(("127.0.0.1", self.control), timeout=5.0) as sock:
            sock.sendall(line.encode() + b"\n")
            data = b""
            while more := sock.recv(65_536):
                data += more
        return data.decode()

    def stop(self) -> None:
        """End it at once."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


def small_deployment() -> dict[str, Any]:
    """Return the settings of examples/config.json with a third class, whose copies are fresh for 20 s."""
    setup: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())["settings"]
    lookups = {"name": "lookups", "aim_ms": 250.0, "aim_stretch": 2.0, "deadline_ms": 2500.0, "worth": 1.0,
               "effect": "repeatable"}  # fmt: skip
    setup["classes"].append(lookups)
    setup["family_info"] |= {"uncached": [False, True, False], "lifetime_by_class_ms": [0.0, 0.0, 20_000.0],
                             "grace_for_ms": [0.0, 0.0, 0.0]}  # fmt: skip
    setup["limits"]["second_copies"] = True
    return setup


class Case:
    """One play of a case: its parties, its record and its verdict."""

    def __init__(self, folder: Path, change: Callable[[dict[str, Any]], None] = lambda setup: None) -> None:
        """Prepare; `change` may change the settings of the small deployment."""
        self.place, self.folder = folder, Path(tempfile.mkdtemp(prefix="review-"))
        self.setup: dict[str, Any] = small_deployment()
        change(self.setup)
        info = self.setup["family_info"]
        self.settings_by_class = {
            cls["name"]: cls | {"write": info["uncached"][i], "fresh_ms": info["lifetime_by_class_ms"][i]}
            for i, cls in enumerate(self.setup["classes"])
        }
        self.world = World()
        self.began_ms = now_ms()
        self.lines: list[tuple[float, str]] = []
        self.asks: list[Ask] = []
        self.servers: list[Server] = []
        self.gateways: list[Gateway] = []
        self.ended: list[Gateway] = []  # those that the platform itself has ended

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append((now_ms(), text))

    def add_server(self, zone: str, kind: str, units: float = 20.0) -> Server:
        """Start a server and list it."""
        server = Server(self, len(self.servers) + 1, zone, kind, units)
        self.servers.append(server)
        return server

    def start_gateway(
        self,
        bus: Bus,
        name: str = "n1",
        number: int = 0,
        listener: socket.socket | None = None,
        beside: Gateway | None = None,
        **more: Any,
    ) -> Gateway:
        """Start a gateway that follows a bus; `beside` is the older process whose place it is to take."""
        setup = json.loads(json.dumps(self.setup)) | {"my_number": number}
        config = {
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bus": f"127.0.0.1:{bus.port}",
            "known": {} if beside else bus.begin(self.servers), "settings": setup,
            "flow_bytes_per_s": 3_000_000, "link_bytes_per_s": 12_000_000,
        }  # fmt: skip
        if beside:
            config = json.loads(beside.config_path.read_text())
        gateway = Gateway(self, name, bus, config | more, listener, beside.tmp if beside else None)
        self.note(f"platform: {name} started")
        return gateway

    def run_effect(self, pull: Pull) -> None:
        """Run an effect at the origin, unless its key ran within the time for which that drops repeats."""
        key = pull.fields.get("dedupe") or pull.name
        with self.world.lock:
            runs = self.world.effects.setdefault(key, [])
            if runs and "dedupe" in pull.fields and now_ms() - runs[0][0] < self.world.dedupe_ms:
                return
            runs.append((now_ms(), pull.server.id))

    def finish(self, broken: list[str], summary: str) -> int:
        """End all processes, write the record and return the exit code."""
        for gateway in self.gateways:
            if gateway not in self.ended and gateway.process.poll() is not None:
                broken = [*broken, f"{gateway.name} ended by itself, code {gateway.process.returncode}"]
        self._end(broken, summary)
        return 1 if broken else 0

    def _rows(self) -> list[tuple[float, str]]:
        """Return what was sent, answered and run, with the times."""
        rows = list(self.lines)
        for ask in self.asks:
            key = f" k={ask.k}" if ask.k else ""
            sent = f"client: sent {ask.id} {ask.cls} o={ask.key:016x} piece={ask.part}{key}"
            rows.append((ask.sent_ms, sent))
            if ask.ended_ms:
                body = ask.body[:40].decode("ascii", "replace")
                rows.append((ask.ended_ms, f"client: {ask.id} {ask.word()} {ask.fields or ''} {body}"))
        for server in self.servers:
            for pull in list(server.pulls):
                end = f"{pull.fields} -> {pull.end or 'open'}"
                rows.append((pull.arrived_ms, f"{server.id} ({server.kind}): PULL {pull.name} {end}"))
        for key, runs in self.world.effects.items():
            rows += [(at_ms, f"origin: ran {key} by {server_id}") for at_ms, server_id in runs]
        return rows

    def _end(self, broken: list[str], summary: str) -> None:
        for gateway in self.gateways:
            with contextlib.suppress(OSError):
                gateway.stop()
        rows = self._rows()
        rows.sort()
        with (self.place / "record.txt").open("w") as record:
            record.write(f"TROUBLE={int(TROUBLE)}; times in ms since the start\n")
            for at_ms, text in rows:
                record.write(f"{at_ms - self.began_ms:9.0f} {text}\n")
            record.write(summary + "\n")
            for text in broken:
                record.write(f"BROKEN {text}\n")
            for gateway in self.gateways:
                record.write(f"--- log of {gateway.name}\n{gateway.log_path.read_text(errors='replace')}")
        print(summary)
        for text in broken[:10]:
            print("BROKEN", text)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(play: Callable[[Case], tuple[list[str], str]], place: str, **more: Any) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    case = Case(Path(place).resolve().parent, **more)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    watchdog = threading.Timer(MAX_RUN_S, lambda: os.kill(os.getpid(), signal.SIGTERM))
    watchdog.daemon = True
    watchdog.start()
    try:
        broken, summary = play(case)
        code = case.finish(broken, summary)
    except BaseException as error:  # noqa: BLE001  whatever it is, the case has not judged the rule
        case._end([], f"could not run: {error!r}")
        if not isinstance(error, Exception | SystemExit):
            raise
        code = 2
    sys.stdout.flush()
    os._exit(code)
