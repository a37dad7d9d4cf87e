"""A hollow gateway: the program's decision code and event bus reader, without sockets."""

import struct
from collections.abc import Iterable

from hitchtiller import interface as api
from hitchtiller.codec.bus import (
    GROUP,
    HEAD,
    LIST_CHANGES,
    OBJECT,
    PURGE_GROUP,
    PURGE_OBJECT,
    RECORD,
    STATES,
    WHOLE_LIST,
    BusReader,
)
from hitchtiller.decide import Router
from hitchtiller.news import PurgeNotice
from hitchtiller.ops.stats import Stats

SERVER_KINDS = ("box", "parent", "origin")
FRAME_LENGTH = struct.Struct(">I")


def list_frame(number: int, members: Iterable[api.Member], zones: tuple[str, ...], whole: bool) -> bytes:
    """Encode members as discovery sends them on the event bus: as the whole list or as changes."""
    records = b"".join(
        RECORD.pack(
            int(member.server[2:], 16),
            bytes((127, 0, 0, 1)),
            9,
            STATES.index(member.state),
            zones.index(member.zone),
            SERVER_KINDS.index(member.kind),
            0,
            round(1000 * member.weight),
            int(member.started_ms),
        )
        for member in members
    )
    return _frame(number, WHOLE_LIST if whole else LIST_CHANGES, records)


def purge_frame(number: int, key: int | None, group: int, at_ms: float) -> bytes:
    """Encode a purge of an object, or of a group if there is no key, as discovery sends it."""
    if key is None:
        return _frame(number, PURGE_GROUP, GROUP.pack(group, int(at_ms)))
    return _frame(number, PURGE_OBJECT, OBJECT.pack(key, int(at_ms)))


def _frame(number: int, kind: int, payload: bytes) -> bytes:
    body = HEAD.pack(number, kind) + payload
    return FRAME_LENGTH.pack(len(body)) + body


class HollowGateway:
    """One gateway process between its start and its end: router, event bus reader and statistics."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start without a server list and without requests."""
        self.number = settings.my_number
        self.router = Router(settings, seed)
        self.reader = BusReader(settings.zones, SERVER_KINDS)
        self.stats = Stats(settings.classes)
        self.open_requests: dict[int, api.Request] = {}
        self.attempt_counts: dict[int, int] = {}

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Handle one event and return the router's actions."""
        if isinstance(event, api.Request):
            self.open_requests[event.id] = event
            self.stats.requests_accepted += 1
        return self.router.handle(event, now_ms)

    def handle_discovery(self, frame: bytes, now_ms: float) -> list[api.Action]:
        """Decode a frame from discovery, handle its events and return the actions."""
        actions: list[api.Action] = []
        for _, event in self.reader.feed(frame):
            if isinstance(event, PurgeNotice):
                purged = api.Purged(event.key, event.group, max(0.0, now_ms - event.at_ms))
                actions += self.router.handle(purged, now_ms)
            elif event is not None:
                members = tuple(host.member for host in event.hosts)
                actions += self.router.handle(api.Members(members, event.whole), now_ms)
        return actions

    def next_attempt(self, request_id: int) -> int:
        """Return the number, from 0, of the next attempt of a request."""
        number = self.attempt_counts.get(request_id, 0)
        self.attempt_counts[request_id] = number + 1
        return number

    def finish_request(self, request_id: int, kind: str) -> None:
        """Record the final answer to a request; does nothing if the request is not open."""
        self.attempt_counts.pop(request_id, None)
        if request := self.open_requests.pop(request_id, None):
            self.stats.record_answer(request.class_name, kind)
