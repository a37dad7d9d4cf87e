"""The event bus: numbered frames with changes of the list and purges, and the same events in JSON."""

import struct
from collections.abc import Iterator, Sequence
from typing import Any

from hitchtiller import interface as api
from hitchtiller.news import Event, ListedServer, PurgeNotice, Topology

MAX_FRAME_BYTES = 1_048_576  # bytes of one frame
HEAD = struct.Struct(">QB")
RECORD = struct.Struct(">I4sHBBBHIQ")
OBJECT, GROUP = struct.Struct(">QQ"), struct.Struct(">HQ")
STATES = ("SERVING", "DRAINING", "DELETED")
STATE_BY_HEALTH = {"Ready": "SERVING", "Terminating": "DRAINING", "Gone": "DELETED"}
NO_EVENT, WHOLE, CHANGES, BAN_OBJECT, BAN_GROUP = range(5)


class BadBus(Exception):
    """The bytes or values are no event."""


NumberedEvent = tuple[int, Event | None]  # None: nothing new


def server_name(number: int) -> str:
    """Write a server's id as text has it."""
    return f"s-{number:08x}"


def read_record(record: Sequence[Any], zones: Sequence[str], kinds: Sequence[str]) -> ListedServer:
    """Read one record of the binary list."""
    number, ip, port, state, zone, kind, cell, weight, started = record
    if state >= len(STATES) or zone >= len(zones) or kind >= len(kinds):
        raise BadBus(f"record of {server_name(number)}")
    units = max(weight / 1000.0, 1e-6)
    member = api.Member(
        server_name(number), zones[zone], kinds[kind], STATES[state], float(started), units, cell
    )
    return ListedServer(member, (".".join(map(str, ip)), port))


class BusReader:
    """Feed it bytes, take numbered events."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        """Zones and kinds are numbered by their places in the settings."""
        self.zones, self.kinds = zones, kinds
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[NumberedEvent]:
        """Give the events that are whole now; raise BadBus on what can't be one."""
        self.buffer += data
        while len(self.buffer) >= 4:
            length = int.from_bytes(self.buffer[:4], "big")
            if length > MAX_FRAME_BYTES:
                raise BadBus(f"length {length}")
            if len(self.buffer) < 4 + length:
                return
            frame = bytes(self.buffer[4 : 4 + length])
            del self.buffer[: 4 + length]
            yield self.read_event(frame) if frame else (0, None)  # that of each second may be wholly empty

    def read_event(self, frame: bytes) -> NumberedEvent:
        """Read one frame."""
        try:
            number, kind = HEAD.unpack_from(frame)
            payload = frame[HEAD.size :]
            if kind == NO_EVENT:
                return number, None
            if kind in (WHOLE, CHANGES):
                hosts = tuple(read_record(r, self.zones, self.kinds) for r in RECORD.iter_unpack(payload))
                return number, Topology(hosts, kind == WHOLE)
            if kind == BAN_OBJECT:
                key, at = OBJECT.unpack(payload)
                return number, PurgeNotice(key, -1, float(at))
            if kind == BAN_GROUP:
                group, at = GROUP.unpack(payload)
                return number, PurgeNotice(None, group, float(at))
        except struct.error as error:
            raise BadBus(str(error)) from None
        raise BadBus(f"kind {kind}")


def read_dial(text: str) -> tuple[str, int]:
    """Read an address and port."""
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdecimal() or int(port) > 0xFFFF:
        raise BadBus(f"address {text!r}")
    return ip, int(port)


def read_host(host: dict[str, Any]) -> ListedServer:
    """Read one host of the JSON list."""
    member = api.Member(
        host["host"],
        host.get("site", ""),
        host.get("class", ""),
        STATE_BY_HEALTH[host["health"]],
        float(host.get("born_ms", 0)),
        max(float(host.get("share", 1.0)), 1e-6),
        int(host.get("block", -1)),
    )
    return ListedServer(member, read_dial(host["dial"]))


def read_known(known: dict[str, Any]) -> list[NumberedEvent]:
    """Read the events that the configuration holds; raise BadBus on what is none."""
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
        raise BadBus(f"known: {error!r}") from None
