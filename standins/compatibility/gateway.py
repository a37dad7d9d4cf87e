"""A gateway process of one build, which is reached through its ports only."""

import asyncio
import contextlib
import json
import random
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.compatibility.builds import Build, Processes
from standins.compatibility.checks import MismatchError

LOOPBACK = "127.0.0.1"
PORTS = range(20_000, 32_000)  # outside the range from which the system assigns ports
END_TIMEOUT_S = 10.0  # from SIGTERM until a gateway has ended
CONDITION_TIMEOUT_S = 20.0  # until a gateway is ready, or a figure has a value
POLL_INTERVAL_S = 0.02


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a loopback port that is free, outside the range from which the system assigns ports."""
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket(socket.AF_INET, kind) as sock, contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            return port
    raise MismatchError(f"ports on loopback: expected a free one from {PORTS[0]} to {PORTS[-1]}, saw none")


class Gateway:
    """One gateway process of a build."""

    def __init__(self, build: Build, number: int, folder: Path) -> None:
        """Prepare a gateway; `folder` holds its configuration, and is the same for each of its processes."""
        self.build, self.number, self.folder = build, number, folder
        self.port = self.control_port = 0
        self.log_lines: list[str] = []
        self.child: asyncio.subprocess.Process | None = None
        self.log_reader: asyncio.Task[None] | None = None

    async def start(
        self, processes: Processes, config: dict[str, Any], hcl: str, listener: socket.socket | None = None
    ) -> None:
        """Start the process and wait until it is ready.

        A `listener` is passed to the process as an inherited socket, as the platform does.
        """
        hcl_path, environment = self._write_files(config, hcl)
        fds: tuple[int, ...] = ()
        if listener:
            self.port = listener.getsockname()[1]
            environment["BALANCER_LISTEN_FD"] = str(listener.fileno())
            fds = (listener.fileno(),)
        arguments = ("-m", "hitchtiller.cli", "serve", "--file", str(hcl_path))
        self.child = await processes.start(self.build, arguments, environment, fds)
        self.log_reader = asyncio.create_task(self._read_log())
        await self.wait_until("the gateway is ready", self._is_ready)

    def _write_files(self, config: dict[str, Any], hcl: str) -> tuple[Path, dict[str, str]]:
        """Write both configuration files; return the path of the operators' file and the environment."""
        self.port, self.control_port = free_port(), free_port()
        addresses = {"listen": f"{LOOPBACK}:{self.port}", "control": f"{LOOPBACK}:{self.control_port}"}
        temporary = self.folder / "tmp"
        temporary.mkdir(parents=True, exist_ok=True)
        config_path, hcl_path = self.folder / "config.json", self.folder / "gateway.hcl"
        config_path.write_text(json.dumps(config | addresses))
        hcl_path.write_text(hcl)
        return hcl_path, self.build.environment(temporary, BALANCER_CONFIG=str(config_path))

    async def _read_log(self) -> None:
        """Collect the lines of the log until the process closes it."""
        assert self.child and self.child.stderr
        while raw := await self.child.stderr.readline():
            self.log_lines.append(raw.decode().rstrip())

    async def _is_ready(self) -> bool:
        """Return whether the gateway is ready; raise MismatchError if its process has ended."""
        if self.child and self.child.returncode is not None:
            raise MismatchError(
                f"{self.build.label} gateway ended with {self.child.returncode}: {self.log_lines[-3:]}"
            )
        try:
            return await self.call("ready") == ["+OK ready"]
        except OSError:  # it does not listen yet
            return False

    async def wait_until(
        self, condition: str, holds: Callable[[], Awaitable[bool]], timeout_s: float = CONDITION_TIMEOUT_S
    ) -> None:
        """Wait until a condition holds; raise MismatchError if it does not within the time."""
        try:
            async with asyncio.timeout(timeout_s):
                while not await holds():
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            subject = f"{self.build.label} gateway {self.number}: {condition}"
            raise MismatchError(f"{subject}: not within {timeout_s:.0f} s: {self.log_lines[-2:]}") from None

    async def call(self, line: str) -> list[str]:
        """Send an operator's call, and return the lines of the answer."""
        reader, writer = await asyncio.open_connection(LOOPBACK, self.control_port)
        writer.write(line.encode() + b"\n")
        data = await asyncio.wait_for(reader.read(-1), END_TIMEOUT_S)
        writer.close()
        return data.decode().splitlines()

    async def figures(self) -> dict[str, int]:
        """Return the gateway's figures by name, without their prefix."""
        pairs = [line.partition("|")[0].rpartition(":") for line in await self.call("show-stat")]
        return {
            name.partition(".")[2]: int(value) for name, _, value in pairs if value.lstrip("-").isdecimal()
        }

    async def wait_for_figure(self, name: str, min_value: int) -> None:
        """Wait until a figure has at least this value."""

        async def is_reached() -> bool:
            return (await self.figures()).get(name, 0) >= min_value

        await self.wait_until(f"{name} is at least {min_value}", is_reached)

    async def members(self) -> dict[int, str]:
        """Return the name of the state that the gateway has recorded for each number."""
        rows = [line.split("|") for line in await self.call("members")]
        return {int(row[0]): row[1] for row in rows if row[0].isdecimal()}

    async def terminate(self) -> int:
        """End the process in order, and return its exit code."""
        assert self.child
        self.child.terminate()
        return await self.wait_for_end()

    async def wait_for_end(self) -> int:
        """Return the exit code once the process has ended and its log is read."""
        assert self.child and self.log_reader
        code = await asyncio.wait_for(self.child.wait(), END_TIMEOUT_S)
        await self.log_reader
        return code

    async def kill(self) -> None:
        """End the process without notice, as a power cut does."""
        assert self.child
        self.child.kill()
        await self.wait_for_end()
