"""A gateway process of a large fleet borrows at the origin over real sockets; the owners are scripted."""

import asyncio
import shutil
from collections.abc import Callable
from dataclasses import dataclass

from hitchtiller.codec import frames
from hitchtiller.codec.notes import pack, unpack
from hitchtiller.decide import ORIGIN_FILLS
from hitchtiller.interface import LeaseKind, LeaseNote
from standins.client import Answered
from standins.parties import ServerBehaviour
from standins.rig import Rig, settings

MANY, NUMBER = 200, 100
Reply = Callable[[LeaseNote], LeaseNote | None]


class Owner(asyncio.DatagramProtocol):
    """One of the gateways that own a permit; `reply` says what it answers."""

    def __init__(self, heard: list[LeaseNote], reply: Reply) -> None:
        self.heard, self.reply = heard, reply
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        note = unpack(data)
        if isinstance(note, LeaseNote) and self.transport:
            self.heard.append(note)
            if answer := self.reply(note):
                self.transport.sendto(pack(answer), address)


def grant(note: LeaseNote) -> LeaseNote | None:
    is_request = note.kind is LeaseKind.REQUEST
    return LeaseNote(LeaseKind.GRANT, note.incarnation, note.sequence) if is_request else None


def deny(note: LeaseNote) -> LeaseNote | None:
    return LeaseNote(LeaseKind.DENIAL, note.incarnation, note.sequence, 500.0)


def silent(note: LeaseNote) -> LeaseNote | None:
    return None


@dataclass(frozen=True)
class Played:
    """The client's answer, what the owners heard, and the gateway's figures after it."""

    answer: Answered | None
    heard: list[LeaseNote]
    figures: dict[str, int]


async def play(reply: Reply, until: LeaseKind) -> Played:
    """Ask one gateway for what only the origin has."""
    loop, rig, heard, transports = (
        asyncio.get_running_loop(),
        Rig(5, script=ServerBehaviour(lacks=True)),
        list[LeaseNote](),
        [],
    )
    try:
        peers = ["127.0.0.1:9"] * MANY
        for owner in range(ORIGIN_FILLS):
            transport, _ = await loop.create_datagram_endpoint(
                lambda: Owner(heard, reply), local_addr=("127.0.0.1", 0)
            )
            transports.append(transport)
            peers[owner] = f"127.0.0.1:{transport.get_extra_info('sockname')[1]}"
        setup = settings() | {"my_number": NUMBER, "group_size": MANY}
        setup["limits"] = setup.get("limits", {}) | {"peers": True}
        setup["family_info"] |= {"instances_by_zone": [0, MANY]}
        rig.lists_parent = False
        rig.config = {"settings": setup, "peers": peers, "peer_listen": "127.0.0.1:0"}
        await rig.start()
        await rig.launch()
        terminal = await rig.terminal()
        answer = await terminal.ask("files", 77)
        async with asyncio.timeout(5.0):
            while not any(note.kind is until for note in heard):
                await asyncio.sleep(0.01)
        terminal.close()
        return Played(answer, heard, await rig.figures())
    finally:
        await rig.kill()
        for transport in transports:
            transport.close()
        shutil.rmtree(rig.folder, ignore_errors=True)


def test_a_miss_is_filled_under_a_lease_which_is_returned_after_it() -> None:
    played = asyncio.run(play(grant, LeaseKind.RETURN))
    assert played.answer is not None and played.answer.code == frames.SERVED
    assert [note.kind for note in played.heard] == [LeaseKind.REQUEST, LeaseKind.RETURN]
    assert len({(note.incarnation, note.sequence) for note in played.heard}) == 1
    assert (played.figures["origin_leases_granted"], played.figures["origin_fills"]) == (1, 0)


def test_a_miss_is_refused_where_no_lease_is_to_be_had() -> None:
    played = asyncio.run(play(deny, LeaseKind.REQUEST))
    assert played.answer is not None and played.answer.code == frames.REFUSED
    assert [note.kind for note in played.heard] == [LeaseKind.REQUEST]
    assert (played.figures["origin_leases_granted"], played.figures["origin_leases_denied"]) == (0, 1)


def test_a_miss_is_refused_where_the_owner_does_not_answer() -> None:
    played = asyncio.run(play(silent, LeaseKind.REQUEST))
    assert played.answer is not None and played.answer.code == frames.REFUSED
