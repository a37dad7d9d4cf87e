"""TCP relays with faults between a gateway and a server or the bus; each such pair has a relay of its own.

A gateway connects to the relay's port, which stays the same when the gateway restarts; the relay connects to
the address that `target` returns at that time. So one gateway can be cut from a server that all others still
reach. A call starts and ends each fault, which affects open connections as well as new ones.

| mode | what a gateway observes |
| --- | --- |
| PASS | the server |
| REFUSE | nothing listens: new connections are refused, open ones reset |
| RESET | each connection is accepted, and reset at its first byte |
| SILENT | bytes wait in both directions until the fault ends; after FORGET_S a reset drops them |
| HALF | bytes pass towards the server; its answers wait |
| SLOW | `SLOW_BYTES_PER_S` in each direction |
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from enum import Enum

SLOW_BYTES_PER_S = 20_000.0
CHUNK_BYTES = 16_384
FORGET_S = 2.0  # a network that was silent for longer has dropped its connections: held bytes never arrive
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with time 0: the close sends a reset


class LinkMode(Enum):
    """The state of a pair's connections: normal, or a fault."""

    PASS = "pass"
    REFUSE = "refuse"
    RESET = "reset"
    SILENT = "silent"
    HALF = "half"
    SLOW = "slow"


class Relay:
    """The relay between one gateway and one server or bus."""

    def __init__(
        self,
        target: Callable[[], tuple[str, int]],
        gateway_by_address: dict[tuple[str, int], int],
        number: int,
    ) -> None:
        """Relay to the address that `target` returns.

        `gateway_by_address` gets the local address of each connection, with the `number` of the gateway.
        """
        self.target, self.mode, self.port = target, LinkMode.PASS, 0
        self.gateway_by_address, self.number, self.changed_s = gateway_by_address, number, 0.0
        self.server: asyncio.Server | None = None
        self.open_gates = {up: asyncio.Event() for up in (True, False)}  # towards the server, and back
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port, or on the same one as before."""
        self.server = await asyncio.start_server(
            self._relay_connection, "127.0.0.1", self.port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        for gate in self.open_gates.values():
            gate.set()

    async def set_mode(self, mode: LinkMode) -> None:
        """Change the mode of open and new connections."""
        if mode is self.mode:
            return
        old, self.mode = self.mode, mode
        now = asyncio.get_running_loop().time()
        if old in (LinkMode.SILENT, LinkMode.HALF) and now - self.changed_s > FORGET_S:
            self._reset_all()
        self.changed_s = now
        for up, gate in self.open_gates.items():
            blocked = mode is LinkMode.SILENT or (mode is LinkMode.HALF and not up)
            gate.clear() if blocked else gate.set()
        if mode in (LinkMode.REFUSE, LinkMode.RESET):
            self._reset_all()
        if mode is LinkMode.REFUSE and self.server:
            self.server.close()
            self.server = None
        elif old is LinkMode.REFUSE:
            await self.start()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.server:
            self.server.close()
        self._reset_all()
        for task in self.tasks:
            task.cancel()

    def _reset_all(self) -> None:
        for writer in list(self.writers):
            self._reset(writer)

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            sock: socket.socket = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()

    async def _relay_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self.tasks.add(task)
        self.writers.add(writer)
        far: asyncio.StreamWriter | None = None
        try:
            if self.mode is LinkMode.RESET:
                await reader.read(1)
                return self._reset(writer)
            far_reader, far = await asyncio.open_connection(*self.target())
            self.writers.add(far)
            self.gateway_by_address[far.get_extra_info("sockname")] = self.number
            directions = (self._pump(reader, far, True), self._pump(far_reader, writer, False))
            pumps = [asyncio.ensure_future(direction) for direction in directions]
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
        except (OSError, asyncio.CancelledError):
            self._reset(writer)  # the target can't be reached
        finally:
            for one in (writer, far):
                if one:
                    self.writers.discard(one)
                    one.close()
            self.tasks.discard(task)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, up: bool) -> None:
        with contextlib.suppress(OSError):
            while data := await self._hold_while_closed(
                await reader.read(CHUNK_BYTES), reader, self.open_gates[up]
            ):
                if self.mode is LinkMode.SLOW:
                    await asyncio.sleep(len(data) / SLOW_BYTES_PER_S)
                writer.write(data)
                await writer.drain()
            await self.open_gates[up].wait()

    async def _hold_while_closed(
        self, data: bytes, reader: asyncio.StreamReader, gate: asyncio.Event
    ) -> bytes:
        """Hold bytes while the gate is closed; drop them if their sender closes the connection meanwhile."""
        while data and not gate.is_set():
            passes, more = asyncio.ensure_future(gate.wait()), asyncio.ensure_future(reader.read(CHUNK_BYTES))
            await asyncio.wait((passes, more), return_when=asyncio.FIRST_COMPLETED)
            passes.cancel()
            if more.done():
                data = data + more.result() if more.result() else b""
            else:
                more.cancel()
        return data
