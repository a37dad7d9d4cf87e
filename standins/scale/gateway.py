"""A hollow gateway: the program's deciding code and its reader of discovery's events, without sockets."""

import struct
from collections.abc import Iterable

from hitchtiller import interface as api
from hitchtiller.codec.bus import (
    BAN_GROUP,
    BAN_OBJECT,
    CHANGES,
    GROUP,
    HEAD,
    OBJECT,
    RECORD,
    STATES,
    WHOLE,
    BusReader,
)
from hitchtiller.decide import Router
from hitchtiller.news import PurgeNotice
from hitchtiller.ops.stats import Stats

KINDS = ("box", "parent", "origin")
LENGTH = struct.Struct(">I")


def list_frame(number: int, members: Iterable[api.Member], zones: tuple[str, ...], whole: bool) -> bytes:
    """Write members as discovery sends them: the whole list, or changes."""
    records = b"".join(
        RECORD.pack(
            int(m.server[2:], 16),
            bytes((127, 0, 0, 1)),
            9,
            STATES.index(m.state),
            zones.index(m.zone),
            KINDS.index(m.kind),
            0,
            round(1000 * m.weight),
            int(m.started_ms),
        )
        for m in members
    )
    return _frame(number, WHOLE if whole else CHANGES, records)


def purge_frame(number: int, key: int | None, group: int, at_ms: float) -> bytes:
    """Write a purge as discovery sends it."""
    if key is None:
        return _frame(number, BAN_GROUP, GROUP.pack(group, int(at_ms)))
    return _frame(number, BAN_OBJECT, OBJECT.pack(key, int(at_ms)))


def _frame(number: int, kind: int, payload: bytes) -> bytes:
    body = HEAD.pack(number, kind) + payload
    return LENGTH.pack(len(body)) + body


class HollowGateway:
    """One life of one gateway: decisions, reader of discovery's events, figures."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start with nothing but the settings."""
        self.number = settings.my_number
        self.router = Router(settings, seed)
        self.reader = BusReader(settings.zones, KINDS)
        self.stats = Stats(settings.classes)
        self.open: dict[int, api.Request] = {}
        self.shots: dict[int, int] = {}

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Decide on one event."""
        if isinstance(event, api.Request):
            self.open[event.id] = event
            self.stats.taken += 1
        return self.router.handle(event, now_ms)

    def discovery(self, frame: bytes, now_ms: float) -> list[api.Action]:
        """Read what discovery sent and decide on it."""
        actions: list[api.Action] = []
        for _, event in self.reader.feed(frame):
            if isinstance(event, PurgeNotice):
                purged = api.Purged(event.key, event.group, max(0.0, now_ms - event.at_ms))
                actions += self.router.handle(purged, now_ms)
            elif event is not None:
                members = tuple(host.member for host in event.hosts)
                actions += self.router.handle(api.Members(members, event.whole), now_ms)
        return actions

    def shot(self, request: int) -> int:
        """Number the next attempt of a request."""
        number = self.shots.get(request, 0)
        self.shots[request] = number + 1
        return number

    def finish(self, request: int, kind: str) -> None:
        """Take a final answer."""
        self.shots.pop(request, None)
        if ask := self.open.pop(request, None):
            self.stats.end(ask.class_name, kind)
