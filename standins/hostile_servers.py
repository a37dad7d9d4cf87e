"""Station caches that misuse a gateway: answers that are endless, huge, unsound or sent again and again.

Used by `standins.crowd --servers`: some of the caches of a rig show one behaviour towards every PULL, drawn
from one seed with `mixed`.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from hitchtiller.codec import resp
from standins.parties import Server, ServerBehaviour
from standins.truth import Truth

HUGE_ITEM_BYTES = 262_000
BODY_BYTES = 240_000
DRIBBLE_BYTES, DRIBBLE_S, DRIBBLE_LIMIT_S = 2_000, 0.05, 20.0
FLOOD_ANSWERS, FLOOD_BYTES = 2_000, 64


class HostileServer(Server):
    """A station cache that shows one behaviour of BEHAVIOURS."""

    def __init__(self, truth: Truth, behaviour: str, rng: random.Random) -> None:
        """Prepare; `rng` draws the contents."""
        super().__init__(truth, ServerBehaviour(), rng)
        self.behaviour_name = behaviour
        self.actions: dict[str, Callable[[asyncio.StreamWriter, bytes], Awaitable[None]]] = {
            "huge-items": self.send_huge_items,
            "dribble": self.dribble,
            "stop": self.stop,
            "flood": self.flood,
            "unsound": self.send_unsound,
        }

    async def _pull(
        self, writer: asyncio.StreamWriter, name: bytes, fields: dict[str, str], cancelled_ids: set[bytes]
    ) -> None:
        self.pulls += 1
        chosen = self.behaviour_name
        if chosen == "mixed":
            chosen = self.rng.choice(sorted(self.actions))
        if "dedupe" in fields:
            self.truth.effect(fields["dedupe"])
        try:
            await self.actions[chosen](writer, name)
        except ConnectionError:
            writer.close()

    async def send_huge_items(self, writer: asyncio.StreamWriter, name: bytes) -> None:
        """Send an array whose name, word and fields are as long as a body, and never its end."""
        writer.write(b"*4\r\n" + (b"$%d\r\n" % HUGE_ITEM_BYTES + bytes(HUGE_ITEM_BYTES) + b"\r\n") * 3)
        await writer.drain()
        await self._dribble_body(writer)

    async def dribble(self, writer: asyncio.StreamWriter, name: bytes) -> None:
        """Send the head of an answer, and its body slowly."""
        writer.write(b"*4\r\n$%d\r\n%s\r\n$4\r\nDONE\r\n$1\r\n-\r\n" % (len(name), name))
        await self._dribble_body(writer)

    async def _dribble_body(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"$%d\r\n" % BODY_BYTES)
        for _ in range(int(DRIBBLE_LIMIT_S / DRIBBLE_S)):
            if writer.is_closing():
                return
            writer.write(bytes(DRIBBLE_BYTES))
            await asyncio.sleep(DRIBBLE_S)

    async def stop(self, writer: asyncio.StreamWriter, name: bytes) -> None:
        """Send all but the end of an answer, then nothing."""
        answer = resp.write_command(name, b"DONE", b"rev=1,since=1", bytes(BODY_BYTES))
        writer.write(answer[:-1_000])

    async def flood(self, writer: asyncio.StreamWriter, name: bytes) -> None:
        """Send answers under other names at full speed, then one under the right name."""
        for _ in range(FLOOD_ANSWERS):
            other = b"%016x" % self.rng.getrandbits(64)
            writer.write(resp.write_command(other, b"DONE", b"rev=1,since=1", bytes(FLOOD_BYTES)))
        await writer.drain()
        writer.write(resp.write_command(name, b"BROKE", b"-", b""))

    async def send_unsound(self, writer: asyncio.StreamWriter, name: bytes) -> None:
        """Send bytes that are no answer."""
        writer.write(self.rng.randbytes(self.rng.randrange(1, 400)))


BEHAVIOURS = (*sorted(HostileServer(Truth(), "", random.Random()).actions), "mixed")
