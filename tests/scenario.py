"""Helpers for scenario tests: send, expect, close and wait on real sockets of one gateway process."""

import contextlib
import copy
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Self

from hitchtiller.codec import frames, resp

ROOT = Path(__file__).parent.parent
TIMEOUT_S, MAX_LIFE_S = 10.0, 40.0
SETTINGS: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())["settings"]


class Party:
    """The test's end of one connection."""

    def __init__(self, sock: socket.socket, reader: Any) -> None:
        self.sock, self.reader = sock, reader
        self.sock.settimeout(TIMEOUT_S)
        self.received: list[Any] = []

    def send(self, data: bytes) -> Self:
        self.sock.sendall(data)
        return self

    def expect(self, check: Callable[[Any], bool] = lambda got: True) -> Any:
        """Return the next received item, which must satisfy the check; None at the end of the connection."""
        while not self.received:
            try:
                data = self.sock.recv(65_536)
            except ConnectionResetError:
                data = b""
            if not data:
                self.received.append(None)
                break
            self.received += self.reader.feed(data)
        first = self.received.pop(0)
        assert check(first), f"unexpected {first!r}"
        return first

    def send_request(self, stream: int, more: bytes = b"", **fields: str) -> Self:
        """Send a request frame."""
        base = {"c": "files", "i": f"{stream:016x}", "d": "2000", "o": f"{42:016x}", "m": "10", "lot": "3"}
        payload = frames.write_fields(base | fields) + more
        return self.send(frames.head(frames.REQUEST, stream, len(payload)) + payload)

    def expect_answer(self, stream: int, code: int, body: bytes | None = None) -> dict[str, str]:
        """Receive an answer and return its fields."""
        frame = self.expect(lambda got: got is not None and (got.kind, got.stream) == (frames.ANSWER, stream))
        assert frame.payload[0] == code, frame
        fields, end = frames.read_fields(frame.payload, 1)
        assert body is None or frame.payload[end:] == body
        return fields

    def expect_pull(self) -> tuple[bytes, dict[str, str], bytes]:
        """Receive a PULL; return its id, fields and body."""
        command, name, fields, body = self.expect(lambda got: got is not None and got[0] == b"PULL")
        return name, resp.read_fields(fields), body

    def close(self) -> None:
        self.sock.close()


class LineReader:
    """Splits the answer to an operator's call into lines."""

    def __init__(self) -> None:
        self.incomplete = ""

    def feed(self, data: bytes) -> list[str]:
        *lines, self.incomplete = (self.incomplete + data.decode()).split("\n")
        return lines


class Gateway:
    """A gateway process; the test itself listens as its caches, parent, origin and bus."""

    def __init__(self, inherits_listener: bool = False, **limits: Any) -> None:
        """Start a gateway; with `inherits_listener` the test provides its listening socket."""
        self.folder = tempfile.TemporaryDirectory()
        self.held = socket.create_server(("127.0.0.1", 0)) if inherits_listener else None
        self.caches = {name: socket.create_server(("127.0.0.1", 0)) for name in ("cache", "parent", "origin")}
        self.bus = socket.create_server(("127.0.0.1", 0))
        hosts = [
            {
                "host": f"s-0000000{place}",
                "dial": "127.0.0.1:%d" % listener.getsockname()[1],
                "site": "north" if place == 0 else "hub",
                "class": ("box", "parent", "origin")[place],
                "block": 0,
                "health": "Ready",
                "share": 8,
                "born_ms": 0,
            }
            for place, listener in enumerate(self.caches.values())
        ]
        known = {"offset": 1, "batch": [{"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": hosts}}]}
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "control": "127.0.0.1:0",
            "seed": "1",
            "limits": {"sockets": 256} | limits,
            "bus": "127.0.0.1:%d" % self.bus.getsockname()[1],
            "known": known,
            "settings": SETTINGS,
        }
        self.file = tempfile.NamedTemporaryFile("w", suffix=".json")  # noqa: SIM115  closed in stop
        self.configure(json.dumps(self.config))
        self.start()
        self.expect_line("INFO n0 ready")

    def start(self) -> None:
        """Start the process and read its addresses from its log."""
        env = {"BALANCER_CONFIG": self.file.name, "PATH": os.environ["PATH"], "TMPDIR": self.folder.name}
        fds = [self.held.fileno()] if self.held else []
        if fds:
            env["BALANCER_LISTEN_FD"] = str(fds[0])
        command = [sys.executable, "-m", "hitchtiller"]
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True, pass_fds=fds
        )
        self.kill_timer = threading.Timer(
            MAX_LIFE_S, self.process.kill
        )  # ends a test that waits for a missing line
        self.kill_timer.daemon = True
        self.kill_timer.start()
        self.lines: list[str] = []
        self.control = int(self.expect_line("control on").rpartition(":")[2])
        self.port = int(self.expect_line("serving on").split("serving on 127.0.0.1:")[1].split(",")[0])

    def successor(self) -> "Gateway":
        """Start a second process of the same gateway beside this one."""
        other = copy.copy(self)
        other.start()
        return other

    def configure(self, text: str) -> None:
        """Replace the text of the configuration file."""
        Path(self.file.name).write_text(text)

    def send_sighup(self) -> None:
        self.process.send_signal(signal.SIGHUP)

    def expect_line(self, text: str) -> str:
        """Read the log up to a line that contains the text, and return that line."""
        assert self.process.stderr
        for line in self.process.stderr:
            self.lines.append(line)
            if text in line:
                return line
        raise AssertionError(f"no {text!r} in {self.lines}")

    def client(self) -> Party:
        return Party(socket.create_connection(("127.0.0.1", self.port)), frames.FrameReader())

    def operator(self) -> Party:
        """Connect to the control port."""
        return Party(socket.create_connection(("127.0.0.1", self.control)), LineReader())

    def call(self, line: str) -> list[str]:
        """Make an operator's call; return the lines of the answer once the gateway has closed."""
        party, lines = self.operator().send(line.encode() + b"\n"), list[str]()
        while (got := party.expect()) is not None:
            lines.append(got)
        party.close()
        return lines

    def server(self, name: str = "cache") -> Party:
        """Accept a connection of the gateway to a server."""
        self.caches[name].settimeout(TIMEOUT_S)
        return Party(self.caches[name].accept()[0], resp.RespReader())

    def subscription(self) -> Party:
        """Accept a connection of the gateway to the bus."""
        self.bus.settimeout(TIMEOUT_S)
        return Party(self.bus.accept()[0], None)

    def serve_bus_until_ready(self) -> None:
        """Answer subscriptions as a bus without further events until this gateway is ready."""
        self.bus.settimeout(0.1)
        frame = (9).to_bytes(4, "big") + (1).to_bytes(8, "big") + b"\0"
        parties = list[socket.socket]()
        while self.call("ready") != ["+OK ready"]:
            with contextlib.suppress(TimeoutError):
                parties.append(self.bus.accept()[0])
                parties[-1].sendall(frame)
        for party in parties:
            party.close()

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        self.kill_timer.cancel()
        self.process.kill()
        self.process.wait()
        if self.process.stderr:
            self.process.stderr.close()

    def stop(self) -> None:
        self.kill()
        self.file.close()
        self.folder.cleanup()
        if self.held:
            self.held.close()
        for listener in (*self.caches.values(), self.bus):
            listener.close()


def wait(seconds: float) -> None:
    """Sleep; only for tests in which the passing of time itself is tested."""
    time.sleep(seconds)


def answer(name: bytes, reply: bytes, fields: bytes = b"rev=aa,since=1", body: bytes = b"") -> bytes:
    """Return an encoded answer of a cache."""
    return resp.write_command(name, reply, fields, body)
