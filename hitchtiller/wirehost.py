"""Adapter: the simulator's JSON lines to and from the policy's interface, one Router per instance."""

import json
import struct
import sys
from collections.abc import Callable
from typing import Any, TextIO

from hitchtiller import interface as api
from hitchtiller.decide import Router

Fields = dict[str, Any]
NOTE_KINDS = ("ask", "holder", "kept", "lacks")
NOTE = struct.Struct(">BQHH")


class WireError(Exception):
    """The input is not the wire: end with one clear line."""


def _at(values: list[Any] | None, index: int, default: Any) -> Any:
    return values[index] if values and index < len(values) else default


def _class(fields: Fields, index: int, info: Fields) -> api.ClassSettings:
    return api.ClassSettings(
        name=fields["name"],
        aim_ms=fields["aim_ms"],
        deadline_ms=fields["deadline_ms"],
        worth=fields.get("worth", 1.0),
        aim_stretch=fields.get("aim_stretch", 0.0),
        late_share=fields.get("late_value", 0.0),
        effect=fields.get("effect", "repeatable"),
        key_scope=fields.get("key_scope", "all"),
        repeat_window_ms=fields.get("repeat_window_ms", 0.0),
        stream=fields.get("stream", False),
        fresh_ms=_at(info.get("lifetime_by_class_ms"), index, 0.0),
        grace_ms=_at(info.get("grace_for_ms"), index, 0.0),
        stale_share=_at(info.get("old_copy_worth"), index, 0.0),
        write=_at(info.get("uncached"), index, False),
    )


def read_settings(setup: Fields) -> api.Settings:
    """Turn the `setup` object into settings; unknown keys are passed over."""
    info, limits, rules = (setup.get(key, {}) for key in ("family_info", "limits", "contract"))
    kinds, zones = setup.get("skus", []), setup.get("localities", [])
    parent, origin = info.get("second_tier_kind", -1), info.get("store_kind", -1)
    classes = [_class(fields, i, info) for i, fields in enumerate(setup["classes"])]
    return api.Settings(
        my_number=setup["my_number"],
        group_size=setup["group_size"],
        my_zone=setup["my_zone"],
        zones=tuple(zones),
        hub_of=tuple(info.get("hub_of", [])),
        gateways_in_zone=tuple(info.get("instances_by_zone", [])),
        link_kb_per_s=tuple(info.get("feed_kb_per_s", [])),
        classes={entry.name: entry for entry in classes},
        parent_kind=kinds[parent] if 0 <= parent < len(kinds) else None,
        origin_kind=kinds[origin] if 0 <= origin < len(kinds) else None,
        flow_kb_per_s=info.get("stream_kb_per_s", 0.0),
        direct=info.get("direct", False),
        joins=info.get("merges_fills", False),
        siblings=info.get("peers_fill", "none"),
        notes=info.get("note_level", "none"),
        probes=limits.get("may_probe", False),
        report_fields=tuple(setup.get("report", {}).get("fields", [])),
        peers=limits.get("peers", False),
        cancel=limits.get("cancel", False),
        second_copies=limits.get("second_copies", False),
        retry_after=limits.get("retry_after", False),
        max_attempts=limits.get("try_limit", 1),
        max_retry_after_ms=limits.get("max_retry_after_ms", 0.0),
        drain_grace_ms=rules.get("stop_sending_within_ms", 0.0),
        cold_share=rules.get("start_capacity", 1.0),
        cold_ms=rules.get("ramp_time_ms", 0.0),
        fall_multiple=rules.get("overload_factor", 1.0),
        fall_ms=rules.get("tip_after_ms", 1000.0),
        parent_cold_share=info.get("upper_cold_from", 1.0),
        parent_cold_ms=info.get("parent_warms_in_ms", 0.0),
        parent_fall_multiple=info.get("parent_fall_multiple", 1.0),
        origin_fall_multiple=info.get("origin_fall_multiple", 0.0),
        purge_grace_ms=info.get("purge_grace_ms", 0.0),
        purge_done_ms=info.get("gone_everywhere_ms", 0.0),
        asks_discovery=setup.get("discovery") == "ask",
        ask_within_ms=rules.get("ask_within_ms", 0.0),
    )


def _member(entry: Fields) -> api.Member:
    return api.Member(
        entry["cache"],
        entry.get("zone", ""),
        entry.get("model", ""),
        entry["lifecycle"],
        entry.get("born_ms", 0.0),
        max(entry.get("units", 1.0), 1e-6),
        entry.get("unit_group", -1),
    )


def _load(f: Fields) -> dict[str, float]:
    stats = f.get("server_stats") or {}
    return dict(stats)


def pack(note: api.PeerNote) -> bytes:
    """Write a peer note in few bytes."""
    head = NOTE.pack(NOTE_KINDS.index(note.kind), note.key, note.part & 0xFFFF, note.number & 0xFFFF)
    return head + note.server.encode()


def unpack(data: bytes) -> api.PeerNote | None:
    """Read a peer note; None for what is malformed or foreign."""
    if len(data) < NOTE.size or data[0] >= len(NOTE_KINDS):
        return None
    kind, key, part, number = NOTE.unpack(data[: NOTE.size])
    try:
        server = data[NOTE.size :].decode()
    except UnicodeDecodeError:
        return None
    return api.PeerNote(NOTE_KINDS[kind], key, part, server, number)


def _message(f: Fields) -> api.PeerMessage | None:
    try:
        note = unpack(bytes.fromhex(f.get("body", "")))
    except ValueError:
        note = None
    return api.PeerMessage(f["neighbour"], note) if note else None


READERS: dict[str, Callable[[Fields], api.Event | None]] = {
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
    "under_way": lambda f: api.Begun(f["tid"], f.get("shot", 0), f["cache"]),
    "attempt_end": lambda f: api.Outcome(
        f["tid"],
        f.get("shot", 0),
        f["cache"],
        f["disposition"],
        f.get("spent_ms", 0.0),
        f.get("ended", False),
        f.get("remark", 0),
        f.get("waited_ms", 0.0),
        _load(f),
    ),
    "left": lambda f: api.Left(f["tid"]),
    "elapsed": lambda f: api.TimerDue(f["tag"]),
    "health_result": lambda f: api.Probed(f["cache"], f["disposition"], f.get("spent_ms", 0.0), _load(f)),
    "message": _message,
    "voided": lambda f: api.Purged(f.get("item"), int(f.get("set_no", -1)), f.get("copy_age_ms", 0.0)),
}


def _get(a: api.Get) -> Fields:
    manner = a.join * 1 | a.held_only * 2 | a.renew * 8
    return {
        "tid": a.id,
        "manner": manner,
        "copy_age_ms": a.age_ms,
        "max_wait_ms": a.timeout_ms,
        "keep": a.keep,
        "cache": a.server,
        "feeder": a.source,
    }


WRITERS: dict[type, tuple[str, Callable[[Any], Fields]]] = {
    api.Get: ("fetch_through", _get),
    api.Cancel: ("cancel", lambda a: {"tid": a.id, "shot": a.attempt}),
    api.Refuse: ("reject", lambda a: {"tid": a.id, "wait_ms": a.retry_after_ms}),
    api.Fail: ("finish_error", lambda a: {"tid": a.id}),
    api.SetTimer: ("schedule", lambda a: {"sleep_for_ms": a.delay_ms, "tag": a.token}),
    api.Probe: ("check", lambda a: {"cache": a.server}),
    api.Tell: ("signal", lambda a: {"neighbour_id": a.peer, "body": pack(a.note).hex()}),
    api.Log: ("emit", lambda a: {"message": a.text}),
    api.Watch: ("track", lambda a: {"want": a.on}),
}


class Host:
    """Holds the instances of one process and carries events to them in order."""

    def __init__(self, out: TextIO) -> None:
        """Write replies to `out`."""
        self.out = out
        self.routers: dict[str, Router] = {}
        self.lists: dict[int, tuple[api.Member, ...]] = {}
        self.now_ms = 0.0

    def line(self, text: str) -> None:
        """Take one line of the wire; raise WireError on what is not the wire."""
        try:
            message = json.loads(text)
            ((name, fields),) = message.items()
            self.message(name, fields)
        except (json.JSONDecodeError, AttributeError) as error:
            raise WireError(f"not a wire message: {text[:80]!r} ({error})") from error
        except (KeyError, ValueError, TypeError) as error:
            raise WireError(f"malformed message: {text[:80]!r} ({error!r})") from error

    def message(self, name: str, fields: Fields) -> None:
        """Act on one message."""
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
            self.give(fields["gateway"], self.members(fields))
        elif name in READERS:
            self.give(fields["gateway"], READERS[name](fields))
        else:
            raise WireError(f"unknown message {name!r}")

    def members(self, fields: Fields) -> api.Members:
        """Resolve the numbered list that a `view` points at."""
        if fields["mode"] == "Error":
            return api.Members((), failed=True)
        if fields["sheet"] not in self.lists:
            raise WireError(f"view of list {fields['sheet']}, which was never given")
        return api.Members(self.lists[fields["sheet"]], whole=fields["mode"] != "Partial")

    def give(self, gateway: str, event: api.Event | None) -> None:
        """Hand an event to its instance; an exception of the policy is reported, never swallowed."""
        router = self.routers.get(gateway)
        if router is None:
            raise WireError(f"event for {gateway!r}, which is not attached")
        if event is None:
            return
        try:
            actions = router.handle(event, self.now_ms)
        except Exception as error:  # noqa: BLE001  the wire's word for a failed policy is `crash`
            self.write("crash", {"gateway": gateway, "message": f"{type(error).__name__}: {error}"})
            return
        for action in actions:
            name, fields = WRITERS[type(action)]
            self.write(name, {"gateway": gateway, **fields(action)})

    def write(self, name: str, fields: Fields) -> None:
        """Write one line of the reply."""
        self.out.write(json.dumps({name: fields}, separators=(",", ":")) + "\n")


def main() -> int:
    """Serve standard input until it ends."""
    host = Host(sys.stdout)
    try:
        for text in sys.stdin:
            if text.strip():
                host.line(text)
    except WireError as error:
        print(f"hitchtiller: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
