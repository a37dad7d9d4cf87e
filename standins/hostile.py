"""Clients that misuse a gateway: slow, stopped, endless, unsound or deaf; all drawn from one seed.

    python -m standins.hostile --port 7100 --behaviour partial --clients 300 --seconds 6 --seed 1

Runs until the time is over and prints what the clients did as one JSON object. Only 127.0.0.1 is addressed.
"""

import asyncio
import contextlib
import json
import random
import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import click

from hitchtiller.codec import frames

LONG_FRAME_BYTES = 262_000  # length field of a frame that is too long for any request
LONG_FRAME_SENT_BYTES = 240_000
WRITE_BYTES = 47_000  # body of a write; 48,000 is the most
REQUESTS_AT_ONCE = 32  # the most that may be open on a connection
SHORT_FIELDS = 240
PIECES, PIECES_S = 25, 5.0
LARGE_OBJECT = 1 << 40  # objects from this key on are large in `standins.crowd`
SHARED_OBJECTS = 300  # the keys below this one are those of well-behaved clients in `standins.crowd`
MAX_TAKE_BACK_S = 0.01  # after a request that is taken back
NOT_DRAWN = ("reuse",)  # neither by `mixed` nor by the soak: what a seed plays stays the same
PAUSE_S = 0.02  # before a client that was cut off comes again


class Hostile:
    """The clients of one run; each behaviour is a coroutine that serves one connection until it ends."""

    def __init__(self, port: int, seed: int, read_class: str, write_class: str) -> None:
        """Prepare; requests name the two classes."""
        self.port, self.seed = port, seed
        self.read_class, self.write_class = read_class, write_class
        self.counts: Counter[str] = Counter()
        self.behaviours: dict[str, Callable[[Connection], Awaitable[None]]] = {
            "partial": self.partial,
            "half-write": self.half_write,
            "writes": self.writes,
            "too-long": self.too_long,
            "pieces": self.pieces,
            "short-fields": self.short_fields,
            "unread": self.unread,
            "flood": self.flood,
            "unsound": self.unsound,
            "give-up": self.give_up,
            "leave": self.leave,
            "reuse": self.reuse,
        }

    async def run(self, behaviour: str, clients: int, seconds: float) -> None:
        """Run this many clients; with `mixed` each connection draws its behaviour."""
        end_s = time.monotonic() + seconds
        await asyncio.gather(*(self._client(behaviour, number, end_s) for number in range(clients)))

    async def _client(self, behaviour: str, number: int, end_s: float) -> None:
        rng = random.Random(f"{self.seed}/{number}")
        while (left_s := end_s - time.monotonic()) > 0.0:
            name = (
                rng.choice(sorted(self.behaviours.keys() - NOT_DRAWN)) if behaviour == "mixed" else behaviour
            )
            connection = Connection(rng)
            try:
                await connection.open(self.port)
                self.counts["connections"] += 1
                async with asyncio.timeout(left_s):
                    await self.behaviours[name](connection)
            except TimeoutError:
                pass
            except OSError:
                self.counts["cut off"] += 1
                await asyncio.sleep(PAUSE_S)
            finally:
                self.counts.update(connection.counts)
                connection.sock.close()

    def read_request(self, connection: "Connection", key: int, wait_ms: int = 2000) -> bytes:
        """Return a frame that requests an object."""
        return connection.request({"c": self.read_class, "o": f"{key:016x}", "d": str(wait_ms), "m": "100"})

    def write_request(self, connection: "Connection", size: int = WRITE_BYTES) -> bytes:
        """Return a frame with a write of `size` bytes, under a new key."""
        rng = connection.rng
        fields = {"c": self.write_class, "o": f"{rng.getrandbits(32):016x}", "d": "2000", "m": "40"}
        return connection.request(
            fields | {"k": f"{rng.getrandbits(128):032x}"}, rng.randbytes(10) * (size // 10)
        )

    async def partial(self, connection: "Connection") -> None:
        """Send most of a long frame, then nothing, until cut off."""
        await connection.send(frames.HEAD.pack(LONG_FRAME_BYTES, frames.REQUEST, 1))
        await connection.send(connection.rng.randbytes(LONG_FRAME_SENT_BYTES))
        await connection.read_to_end()

    async def half_write(self, connection: "Connection") -> None:
        """Send a valid write but for its last bytes, then nothing, until cut off."""
        await connection.send(self.write_request(connection)[: -connection.rng.randrange(1, 2_000)])
        await connection.read_to_end()

    async def writes(self, connection: "Connection") -> None:
        """Send as many whole writes as may be open, all at once; again once all are answered."""
        while True:
            data = b"".join(self.write_request(connection) for _ in range(REQUESTS_AT_ONCE))
            await asyncio.gather(connection.send(data), connection.read_answers(REQUESTS_AT_ONCE))

    async def too_long(self, connection: "Connection") -> None:
        """Send whole requests whose body is too long."""
        data = b"".join(self.write_request(connection, 261_000) for _ in range(8))
        await asyncio.gather(connection.send(data), connection.read_answers(8))

    async def pieces(self, connection: "Connection") -> None:
        """Send valid writes in pieces, each over some seconds."""
        while True:
            data = self.write_request(connection)
            step = len(data) // PIECES + 1
            for start in range(0, len(data), step):
                await connection.send(data[start : start + step])
                await asyncio.sleep(PIECES_S / PIECES)
            await connection.read_answers(1)

    async def short_fields(self, connection: "Connection") -> None:
        """Send requests with very many short fields, as many as may be open at once."""
        while True:
            requests = []
            for _ in range(REQUESTS_AT_ONCE):
                fields = {"c": self.read_class, "o": f"{connection.rng.randrange(1000):016x}", "d": "2000"}
                fields |= {f"x{number}": "y" for number in range(SHORT_FIELDS)}
                requests.append(connection.request(fields))
            await asyncio.gather(
                connection.send(b"".join(requests)), connection.read_answers(REQUESTS_AT_ONCE)
            )

    async def unread(self, connection: "Connection") -> None:
        """Ask for as many large objects as may be open, and read nothing."""
        keys = [LARGE_OBJECT + connection.rng.randrange(64) for _ in range(REQUESTS_AT_ONCE)]
        await connection.send(b"".join(self.read_request(connection, key) for key in keys))
        await asyncio.sleep(3600.0)

    async def flood(self, connection: "Connection") -> None:
        """Send small requests under ever new names at full speed, and probes; read what comes."""
        reading = asyncio.create_task(connection.read_to_end())
        try:
            while not reading.done():
                await connection.send(b"".join(self._flood_frame(connection) for _ in range(16)))
                await asyncio.sleep(0)
        finally:
            reading.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await reading
        raise ConnectionResetError

    def _flood_frame(self, connection: "Connection") -> bytes:
        rng = connection.rng
        match rng.randrange(4):
            case 0:
                return self.read_request(connection, rng.getrandbits(39), rng.randrange(1, 5000))
            case 1:
                return connection.request({"c": f"{rng.getrandbits(64):x}", "o": "0" * 16, "d": "900"})
            case 2:
                return frames.head(frames.READY, rng.getrandbits(31), 1) + b"\0"
        return connection.request({"c": self.read_class, "o": f"{rng.getrandbits(64):x}z", "d": "900"})

    async def unsound(self, connection: "Connection") -> None:
        """Send bytes that are no frame, or a frame with unsound fields."""
        await connection.send(self.read_request(connection, 1))
        await connection.send(connection.rng.randbytes(connection.rng.randrange(1, 400)))
        await connection.read_to_end()

    async def give_up(self, connection: "Connection") -> None:
        """Ask and give up at once, at full speed."""
        for _ in range(200):
            request = self.read_request(connection, connection.rng.getrandbits(39))
            await connection.send(request + frames.head(frames.GIVE_UP, connection.last_stream, 0))
            await asyncio.sleep(0.002)
        raise ConnectionResetError

    async def leave(self, connection: "Connection") -> None:
        """Send whole writes and close at once, with much of it unread."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.05):
                await connection.send(
                    b"".join(self.write_request(connection) for _ in range(REQUESTS_AT_ONCE))
                )
        await asyncio.sleep(0.2)
        connection.counts["left"] += 1

    async def reuse(self, connection: "Connection") -> None:
        """Take a request back while its answer may be under way, and send its id with another object.

        The other object is one that well-behaved clients ask for.
        """
        rng = connection.rng
        for _ in range(100):
            id = f"{rng.getrandbits(64):016x}"
            fields = {"c": self.read_class, "d": "2000", "m": "100", "i": id}
            await connection.send(connection.request(fields | {"o": f"{rng.getrandbits(39):016x}"}))
            await asyncio.sleep(rng.random() * MAX_TAKE_BACK_S)
            take_back = frames.head(frames.GIVE_UP, connection.last_stream, 0)
            await connection.send(take_back + connection.request(fields | {"o": self._shared_object(rng)}))
            await asyncio.sleep(MAX_TAKE_BACK_S)
        raise ConnectionResetError

    def _shared_object(self, rng: random.Random) -> str:
        return f"{rng.randrange(SHARED_OBJECTS):016x}"


class Connection:
    """One connection to the gateway."""

    def __init__(self, rng: random.Random) -> None:
        """Prepare a connection whose contents are drawn from `rng`."""
        self.rng, self.last_stream = rng, 0
        self.counts: Counter[str] = Counter()
        self.reader = frames.FrameReader()
        self.sock = socket.socket()
        self.sock.setblocking(False)

    async def open(self, port: int) -> None:
        """Connect; OSError if the gateway does not take the connection."""
        await asyncio.get_running_loop().sock_connect(self.sock, ("127.0.0.1", port))

    def request(self, fields: dict[str, str], body: bytes = b"") -> bytes:
        """Return a request frame on a new stream, with a new id unless the fields have one."""
        self.last_stream += 1
        self.counts["requests"] += 1
        payload = frames.write_fields({"i": f"{self.rng.getrandbits(64):016x}"} | fields) + body
        return frames.head(frames.REQUEST, self.last_stream, len(payload)) + payload

    async def send(self, data: bytes) -> None:
        """Send all bytes; OSError if the gateway closes the connection."""
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def read_answers(self, wanted: int) -> None:
        """Read this many answers; ConnectionResetError if the connection ends before."""
        while wanted > 0:
            wanted -= await self._read_some()

    async def read_to_end(self) -> None:
        """Read until the gateway closes the connection, which raises ConnectionResetError."""
        while True:
            await self._read_some()

    async def _read_some(self) -> int:
        data = await asyncio.get_running_loop().sock_recv(self.sock, 262_144)
        if not data:
            raise ConnectionResetError
        answers = [frame for frame in self.reader.feed(data) if frame.kind == frames.ANSWER and frame.stream]
        names = {frames.SERVED: "served", frames.REFUSED: "refused", frames.FAILED: "failed"}
        self.counts.update(names[frame.payload[0]] for frame in answers)
        return len(answers)


BEHAVIOURS = (*sorted(Hostile(0, 0, "", "").behaviours), "mixed")
DRAWN_BEHAVIOURS = tuple(name for name in BEHAVIOURS if name not in NOT_DRAWN)


@click.command()
@click.option("--port", required=True, type=click.IntRange(1, 65_535))
@click.option("--behaviour", required=True, type=click.Choice(BEHAVIOURS))
@click.option("--clients", default=300, show_default=True, type=click.IntRange(1, 1000))
@click.option("--seconds", default=6.0, show_default=True, type=click.FloatRange(0.1, 600.0))
@click.option("--seed", default=1, show_default=True)
@click.option("--read-class", default="files", show_default=True)
@click.option("--write-class", default="charge", show_default=True)
def main(
    port: int, behaviour: str, clients: int, seconds: float, seed: int, read_class: str, write_class: str
) -> None:
    """Run hostile clients against the gateway on a port of this machine."""
    hostile = Hostile(port, seed, read_class, write_class)
    asyncio.run(hostile.run(behaviour, clients, seconds))
    click.echo(json.dumps(dict(sorted(hostile.counts.items()))))


if __name__ == "__main__":
    main()
