"""Decoders for event bus frames, which carry list changes and purges, and for the same events in JSON."""

import struct
from collections.abc import Iterator, Sequence
from typing import Any

from hitchtiller import interface as api
from hitchtiller.news import Event, ListedServer, PurgeNotice, Topology

MAX_FRAME_BYTES = 1_048_576
HEAD = struct.Struct(">QB")  # event number, kind
# server number, IPv4 address, port, state, zone, kind, cell, weight in thousandths, start time in ms
RECORD = struct.Struct(">I4sHBBBHIQ")
# The purges: object key or group number, and the time in ms.
OBJECT, GROUP = struct.Struct(">QQ"), struct.Struct(">HQ")
STATES = ("SERVING", "DRAINING", "DELETED")
STATE_BY_HEALTH = {"Ready": "SERVING", "Terminating": "DRAINING", "Gone": "DELETED"}
NO_EVENT, WHOLE_LIST, LIST_CHANGES, PURGE_OBJECT, PURGE_GROUP = range(5)


class BusError(Exception):
    """The bytes or values are not a valid event."""


NumberedEvent = tuple[int, Event | None]  # the event is None if there is nothing new


def server_name(number: int) -> str:
    """Return a server's id in its text form."""
    return f"s-{number:08x}"


def read_record(record: Sequence[Any], zones: Sequence[str], kinds: Sequence[str]) -> ListedServer:
    """Decode one record of the binary list."""
    number, ip, port, state, zone, kind, cell, weight, started_ms = record
    if state >= len(STATES) or zone >= len(zones) or kind >= len(kinds):
        raise BusError(f"record of {server_name(number)} has an unknown state, zone or kind")
    units = max(weight / 1000.0, 1e-6)
    member = api.Member(
        server_name(number), zones[zone], kinds[kind], STATES[state], float(started_ms), units, cell
    )
    return ListedServer(member, (".".join(map(str, ip)), port))


class BusReader:
    """An incremental decoder: feed it bytes and iterate over the numbered events."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        """Decode records whose zones and kinds are indexes into these lists of the settings."""
        self.zones, self.kinds = zones, kinds
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[NumberedEvent]:
        """Yield the events that are complete; raise BusError for invalid bytes."""
        self.buffer += data
        while len(self.buffer) >= 4:
            length = int.from_bytes(self.buffer[:4], "big")
            if length > MAX_FRAME_BYTES:
                raise BusError(f"length {length} is out of bounds")
            if len(self.buffer) < 4 + length:
                return
            frame = bytes(self.buffer[4 : 4 + length])
            del self.buffer[: 4 + length]
            yield self.read_event(frame) if frame else (0, None)  # the heartbeat of each second may be empty

    def read_event(self, frame: bytes) -> NumberedEvent:
        """Decode one frame."""
        try:
            number, kind = HEAD.unpack_from(frame)
            payload = frame[HEAD.size :]
            if kind == NO_EVENT:
                return number, None
            if kind in (WHOLE_LIST, LIST_CHANGES):
                hosts = tuple(read_record(r, self.zones, self.kinds) for r in RECORD.iter_unpack(payload))
                return number, Topology(hosts, kind == WHOLE_LIST)
            if kind == PURGE_OBJECT:
                key, at_ms = OBJECT.unpack(payload)
                return number, PurgeNotice(key, -1, float(at_ms))
            if kind == PURGE_GROUP:
                group, at_ms = GROUP.unpack(payload)
                return number, PurgeNotice(None, group, float(at_ms))
        except struct.error as error:
            raise BusError(str(error)) from None
        raise BusError(f"unknown kind {kind}")


def read_address(text: str) -> tuple[str, int]:
    """Parse an address of the form HOST:PORT."""
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdecimal() or int(port) > 0xFFFF:
        raise BusError(f"address {text!r} is not of the form HOST:PORT")
    return ip, int(port)


def read_host(host: dict[str, Any]) -> ListedServer:
    """Convert one host of the JSON list."""
    member = api.Member(
        host["host"],
        host.get("site", ""),
        host.get("class", ""),
        STATE_BY_HEALTH[host["health"]],
        float(host.get("born_ms", 0)),
        max(float(host.get("share", 1.0)), 1e-6),
        int(host.get("block", -1)),
    )
    return ListedServer(member, read_address(host["dial"]))


def read_known_events(known: dict[str, Any]) -> list[NumberedEvent]:
    """Convert the events that the configuration contains; raise BusError for an invalid one."""
    events: list[NumberedEvent] = []
    try:
        for entry in known.get("batch", []):
            number = int(entry["offset"])
            if "topology" in entry:
                news = entry["topology"]
                hosts = tuple(read_host(host) for host in news["hosts"])
                events.append((number, Topology(hosts, bool(news.get("whole", False)))))
            elif "ban" in entry:
                ban = entry["ban"]
                key = int(ban["url"], 16) if "url" in ban else None
                events.append((number, PurgeNotice(key, int(ban.get("tag", -1)), float(ban["ts"]))))
        return [*events, (int(known.get("offset", 0)), None)]
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise BusError(f"known: {error!r}") from None
