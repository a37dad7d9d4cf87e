"""Clients that send whole writes and close at once, with much of it unread: what is sent on afterwards?

    python -m standins.departures --clients 40 --seed 1

The writes may run once only, and each is for an object of its own. Every PULL that begins more than
MAX_LATE_MS after its client has closed is printed, and so is every write that ran twice: half of the clients
come again with the ids of the requests that they left behind. The exit code is then 1.
"""

import asyncio
import contextlib
import random
import shutil
import socket
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import click

from hitchtiller.codec import frames
from standins.crowd import large_rig
from standins.rig import REPLAY_MS, Rig, settings
from standins.truth import now_ms

MAX_LATE_MS = 100.0  # from the close to the first byte of an attempt
SLACK_MS = 50.0  # for the time on loopback and the delay of this process
ONCE_CLASS = "sign-off"
WRITES, WRITE_BYTES = 24, 47_000
RETURN_DELAYS_S = (0.0, 0.05, 0.3, 1.0)  # from the close to the second connection with the same ids


@dataclass
class Departures:
    """What was sent and what the servers got, by object; one object belongs to one id."""

    left_ms: dict[str, float] = field(default_factory=dict)  # when the object's client closed for good
    arrivals: Counter[str] = field(default_factory=Counter)  # PULLs by object
    late: list[str] = field(default_factory=list)

    def record_pull(self, peer: tuple[str, int], fields: dict[str, str]) -> None:
        """Record a PULL that arrived at a server."""
        name = fields["name"]
        late_ms = now_ms() - self.left_ms.get(name, now_ms())
        self.arrivals[name] += 1
        if late_ms > MAX_LATE_MS + SLACK_MS:
            self.late.append(f"{name} began {late_ms:.0f} ms after its client had closed")

    def repeated(self) -> list[str]:
        """Return the objects whose write arrived more than once."""
        return [f"{name} arrived {count} times" for name, count in self.arrivals.items() if count > 1]


def write_frame(stream: int, name: str, id: str) -> bytes:
    """Return a write to an object, which may run only once."""
    fields = {"c": ONCE_CLASS, "i": id, "o": name, "d": "3000", "m": "40"}
    payload = frames.write_fields(fields) + bytes(WRITE_BYTES)
    return frames.head(frames.REQUEST, stream, len(payload)) + payload


async def send_and_close(port: int, data: bytes, patience_s: float) -> None:
    """Send what the gateway takes within the time, then close."""
    loop, sock = asyncio.get_running_loop(), socket.socket()
    sock.setblocking(False)
    try:
        await loop.sock_connect(sock, ("127.0.0.1", port))
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(patience_s):
                await loop.sock_sendall(sock, data)
    finally:
        sock.close()


async def leave(rig: Rig, found: Departures, rng: random.Random, returns: bool) -> None:
    """Send writes and close; with `returns` come again with the same ids on another connection."""
    ids = {f"{rng.getrandbits(32):016x}": f"{rng.getrandbits(64):016x}" for _ in range(WRITES)}
    for visit in range(1 + returns):
        data = b"".join(write_frame(stream, name, id) for stream, (name, id) in enumerate(ids.items(), 1))
        for name in ids:
            found.left_ms.pop(name, None)
        await send_and_close(rig.port, data, rng.uniform(0.0, 0.1))
        found.left_ms |= dict.fromkeys(ids, now_ms())
        if visit < returns:
            await asyncio.sleep(rng.choice(RETURN_DELAYS_S))


def settings_with_once_class() -> dict[str, Any]:
    """Return the rig's settings with one more class, whose requests may run only once."""
    setup = settings()
    setup["classes"].append({"name": ONCE_CLASS, "aim_ms": 800.0, "deadline_ms": 3000.0, "effect": "once"})
    info = setup["family_info"]
    info |= {"uncached": [*info["uncached"], True], "gone_everywhere_ms": REPLAY_MS}
    return setup


async def run(clients: int, seed: int, rounds: int = 4) -> Departures:
    """Run rounds of leaving clients against a new gateway; return what the servers got."""
    rig, found, rng = large_rig(seed, 64), Departures(), random.Random(seed)
    rig.config["settings"] = settings_with_once_class()
    for server in (*rig.caches, rig.parent, rig.origin):
        server.on_pull = found.record_pull
        server.behaviour.delay_ms = 5.0
    await rig.start()
    try:
        await rig.launch()
        for _ in range(rounds):
            await asyncio.gather(
                *(leave(rig, found, random.Random(rng.getrandbits(32)), n % 2 == 1) for n in range(clients))
            )
            await asyncio.sleep(1.0)
        await asyncio.sleep(2.5)
    finally:
        await rig.kill()
        shutil.rmtree(rig.folder, ignore_errors=True)
    return found


@click.command()
@click.option("--clients", default=40, show_default=True, type=click.IntRange(1, 300))
@click.option("--seed", default=1, show_default=True)
def main(clients: int, seed: int) -> None:
    """Run leaving clients and print what was sent on after they had left."""
    found = asyncio.run(run(clients, seed))
    repeated = found.repeated()
    for fault in found.late + repeated:
        click.echo(fault)
    click.echo(f"{sum(found.arrivals.values())} attempts, {len(found.late)} late, {len(repeated)} repeated")
    raise SystemExit(bool(found.late or repeated))


if __name__ == "__main__":
    main()
