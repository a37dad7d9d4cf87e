"""A gateway process of a large fleet requests origin leases from scripted owners over real sockets."""

import asyncio
import shutil
from collections.abc import Callable
from dataclasses import dataclass

from hitchtiller.codec import frames
from hitchtiller.codec.notes import pack, unpack
from hitchtiller.decide import MAX_ORIGIN_FILLS
from hitchtiller.interface import LeaseKind, LeaseNote
from standins.client import Answered
from standins.parties import ServerBehaviour
from standins.rig import Rig, settings

FLEET_SIZE, GATEWAY_NUMBER = 200, 100
ReplyFunction = Callable[[LeaseNote], LeaseNote | None]


class Owner(asyncio.DatagramProtocol):
    """A scripted gateway that owns origin permits; `reply` returns its answer to a lease note."""

    def __init__(self, received: list[LeaseNote], reply: ReplyFunction) -> None:
        self.received, self.reply = received, reply
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        note = unpack(data)
        if isinstance(note, LeaseNote) and self.transport:
            self.received.append(note)
            if answer := self.reply(note):
                self.transport.sendto(pack(answer), address)


def grant(note: LeaseNote) -> LeaseNote | None:
    is_request = note.kind is LeaseKind.REQUEST
    return LeaseNote(LeaseKind.GRANT, note.incarnation, note.sequence) if is_request else None


def deny(note: LeaseNote) -> LeaseNote | None:
    return LeaseNote(LeaseKind.DENIAL, note.incarnation, note.sequence, 500.0)


def stay_silent(note: LeaseNote) -> LeaseNote | None:
    return None


@dataclass(frozen=True)
class MissResult:
    """The client's answer, the lease notes that the owners received, and the gateway's figures afterwards."""

    answer: Answered | None
    received: list[LeaseNote]
    figures: dict[str, int]


async def request_uncached_object(reply: ReplyFunction, until: LeaseKind) -> MissResult:
    """Request an object that only the origin has; wait until the owners receive a note of kind `until`."""
    loop, rig, received, transports = (
        asyncio.get_running_loop(),
        Rig(5, script=ServerBehaviour(lacks=True)),
        list[LeaseNote](),
        [],
    )
    try:
        peers = ["127.0.0.1:9"] * FLEET_SIZE
        for owner in range(MAX_ORIGIN_FILLS):
            transport, _ = await loop.create_datagram_endpoint(
                lambda: Owner(received, reply), local_addr=("127.0.0.1", 0)
            )
            transports.append(transport)
            peers[owner] = f"127.0.0.1:{transport.get_extra_info('sockname')[1]}"
        gateway_settings = settings() | {"my_number": GATEWAY_NUMBER, "group_size": FLEET_SIZE}
        gateway_settings["limits"] = gateway_settings.get("limits", {}) | {"peers": True}
        gateway_settings["family_info"] |= {"instances_by_zone": [0, FLEET_SIZE]}
        rig.lists_parent = False
        rig.config = {"settings": gateway_settings, "peers": peers, "peer_listen": "127.0.0.1:0"}
        await rig.start()
        await rig.launch()
        terminal = await rig.terminal()
        answer = await terminal.ask("files", 77)
        async with asyncio.timeout(5.0):
            while not any(note.kind is until for note in received):
                await asyncio.sleep(0.01)
        terminal.close()
        return MissResult(answer, received, await rig.figures())
    finally:
        await rig.kill()
        for transport in transports:
            transport.close()
        shutil.rmtree(rig.folder, ignore_errors=True)


def test_a_miss_is_filled_under_a_lease_which_is_returned_after_it() -> None:
    result = asyncio.run(request_uncached_object(grant, LeaseKind.RETURN))
    assert result.answer is not None and result.answer.code == frames.SERVED
    assert [note.kind for note in result.received] == [LeaseKind.REQUEST, LeaseKind.RETURN]
    assert len({(note.incarnation, note.sequence) for note in result.received}) == 1
    assert (result.figures["origin_leases_granted"], result.figures["origin_fills"]) == (1, 0)


def test_a_miss_is_refused_when_the_owner_denies_the_lease() -> None:
    result = asyncio.run(request_uncached_object(deny, LeaseKind.REQUEST))
    assert result.answer is not None and result.answer.code == frames.REFUSED
    assert [note.kind for note in result.received] == [LeaseKind.REQUEST]
    assert (result.figures["origin_leases_granted"], result.figures["origin_leases_denied"]) == (0, 1)


def test_a_miss_is_refused_when_the_owner_does_not_answer() -> None:
    result = asyncio.run(request_uncached_object(stay_silent, LeaseKind.REQUEST))
    assert result.answer is not None and result.answer.code == frames.REFUSED
