"""Adapter between the simulator's JSON lines and the interface of the decisions, one Router per instance."""

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from hitchtiller import interface as api
from hitchtiller.codec.notes import pack, unpack
from hitchtiller.decide import Router
from hitchtiller.settings import JsonObject, read_settings

__all__ = ["Host", "WireError", "main", "pack", "read_settings", "unpack"]


class WireError(Exception):
    """The input does not follow the wire format; the program ends with this error as one line."""


def _member(entry: JsonObject) -> api.Member:
    return api.Member(
        entry["cache"],
        entry.get("zone", ""),
        entry.get("model", ""),
        entry["lifecycle"],
        entry.get("born_ms", 0.0),
        max(entry.get("units", 1.0), 1e-6),
        entry.get("unit_group", -1),
    )


def _server_stats(fields: JsonObject) -> dict[str, float]:
    stats = fields.get("server_stats") or {}
    return dict(stats)


def _peer_message(fields: JsonObject) -> api.PeerMessage | None:
    try:
        note = unpack(bytes.fromhex(fields.get("body", "")))
    except ValueError:
        note = None
    return api.PeerMessage(fields["neighbour"], note) if note else None


READERS: dict[str, Callable[[JsonObject], api.Event | None]] = {
    "request": lambda f: api.Request(
        f["tid"],
        f["priority"],
        f.get("item", 0),
        f["deadline_ms"],
        f.get("kbytes", 0.0),
        int(f.get("purge_group", -1)),
        int(f.get("slice", 0)),
        f.get("resent", False),
    ),
    "under_way": lambda f: api.StreamBegun(f["tid"], f.get("shot", 0), f["cache"]),
    "attempt_end": lambda f: api.Outcome(
        f["tid"],
        f.get("shot", 0),
        f["cache"],
        f["disposition"],
        f.get("spent_ms", 0.0),
        f.get("ended", False),
        f.get("remark", 0),
        f.get("waited_ms", 0.0),
        _server_stats(f),
    ),
    "left": lambda f: api.ClientLeft(f["tid"]),
    "elapsed": lambda f: api.TimerDue(f["tag"]),
    "health_result": lambda f: api.Probed(
        f["cache"], f["disposition"], f.get("spent_ms", 0.0), _server_stats(f)
    ),
    "message": _peer_message,
    "voided": lambda f: api.Purged(f.get("item"), int(f.get("set_no", -1)), f.get("copy_age_ms", 0.0)),
}


def _fetch_fields(action: api.Get) -> JsonObject:
    flags = action.join * 1 | action.held_only * 2 | action.renew * 8
    return {
        "tid": action.id,
        "manner": flags,
        "copy_age_ms": action.age_ms,
        "max_wait_ms": action.timeout_ms,
        "keep": action.keep,
        "cache": action.server,
        "feeder": action.source,
    }


WRITERS: dict[type, tuple[str, Callable[[Any], JsonObject]]] = {
    api.Get: ("fetch_through", _fetch_fields),
    api.Cancel: ("cancel", lambda a: {"tid": a.id, "shot": a.attempt}),
    api.Refuse: ("reject", lambda a: {"tid": a.id, "wait_ms": a.retry_after_ms}),
    api.Fail: ("finish_error", lambda a: {"tid": a.id}),
    api.SetTimer: ("schedule", lambda a: {"sleep_for_ms": a.delay_ms, "tag": a.token}),
    api.Probe: ("check", lambda a: {"cache": a.server}),
    api.SendNote: ("signal", lambda a: {"neighbour_id": a.peer, "body": pack(a.note).hex()}),
    api.Log: ("emit", lambda a: {"message": a.text}),
    api.WatchDiscovery: ("track", lambda a: {"want": a.on}),
}


class Host:
    """Holds the Router instances of one process and passes events to them in order."""

    def __init__(self, out: TextIO) -> None:
        """Create a host without instances that writes replies to `out`."""
        self.out = out
        self.routers: dict[str, Router] = {}
        self.lists: dict[int, tuple[api.Member, ...]] = {}
        self.now_ms = 0.0

    def handle_line(self, text: str) -> None:
        """Handle one input line; raise WireError if it does not follow the wire format."""
        try:
            message = json.loads(text)
            ((name, fields),) = message.items()
            self.handle_message(name, fields)
        except (json.JSONDecodeError, AttributeError) as error:
            raise WireError(f"not a wire message: {text[:80]!r} ({error})") from error
        except (KeyError, ValueError, TypeError) as error:
            raise WireError(f"malformed message: {text[:80]!r} ({error!r})") from error

    def handle_message(self, name: str, fields: JsonObject) -> None:
        """Handle one message."""
        if name == "turn":
            self.now_ms = fields["t_ms"]
        elif name == "commit":
            self.write("ack", {})
            self.out.flush()
        elif name == "ledger":
            self.lists[fields["sheet"]] = tuple(_member(entry) for entry in fields["nodes_list"])
        elif name == "attach":
            self.routers[fields["gateway"]] = Router(read_settings(fields["setup"]), fields["nonce64"])
        elif name == "halt":
            self.routers.pop(fields["gateway"], None)
        elif name == "view":
            self.deliver(fields["gateway"], self.resolve_members(fields))
        elif name in READERS:
            self.deliver(fields["gateway"], READERS[name](fields))
        else:
            raise WireError(f"unknown message {name!r}")

    def resolve_members(self, fields: JsonObject) -> api.Members:
        """Return the event for a `view` message, with the numbered list that it refers to."""
        if fields["mode"] == "Error":
            return api.Members((), failed=True)
        if fields["sheet"] not in self.lists:
            raise WireError(f"view of list {fields['sheet']}, which was never given")
        return api.Members(self.lists[fields["sheet"]], whole=fields["mode"] != "Partial")

    def deliver(self, gateway: str, event: api.Event | None) -> None:
        """Pass an event to its instance; an exception of the decisions is reported, not suppressed."""
        router = self.routers.get(gateway)
        if router is None:
            raise WireError(f"event for {gateway!r}, which is not attached")
        if event is None:
            return
        try:
            actions = router.handle(event, self.now_ms)
        except Exception as error:  # noqa: BLE001  failed decisions are reported on the wire
            self.write("crash", {"gateway": gateway, "message": f"{type(error).__name__}: {error}"})
            return
        for action in actions:
            name, fields = WRITERS[type(action)]
            self.write(name, {"gateway": gateway, **fields(action)})

    def write(self, name: str, fields: JsonObject) -> None:
        """Write one line of the reply."""
        self.out.write(json.dumps({name: fields}, separators=(",", ":")) + "\n")


def main() -> int:
    """Handle standard input until it ends; return the exit status."""
    host = Host(sys.stdout)
    try:
        for text in sys.stdin:
            if text.strip():
                host.handle_line(text)
    except WireError as error:
        print(f"hitchtiller: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
