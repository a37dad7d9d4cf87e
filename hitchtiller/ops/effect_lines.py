"""The lines by which the processes of an upgrade tell each other of effects that may have run. No I/O.

A line is `id ID`, or `key CLASS KEY FIRST_SENT_MS ZONE CELL`, or a JSON object with the same values for a key
whose names the words can't hold: a space or a line feed parts them, and older versions read ASCII only. Those
skip such an object. All of it is ASCII. FIRST_SENT_MS is a time of the monotonic clock, as the wall clock may
step between the starts of two processes.
"""

import json
import math
import re
from dataclasses import dataclass

from hitchtiller.routing.effects import UnconfirmedEffect
from hitchtiller.sched import from_monotonic_ms, to_monotonic_ms

WORD_PATTERN = re.compile(r"[!-~]+\Z")  # ASCII without spaces and control characters
# Older versions write any class and zone as they are. The key has no spaces, so the first word and number
# that fit end the class.
KEY_LINE_PATTERN = re.compile(
    rb"key (?P<class_name>[ -~]*?) (?P<key>[!-~]+) (?P<sent_ms>-?[0-9.e+]+)"
    rb" (?P<zone>[ -~]*) (?P<cell>-?[0-9]+)\Z"
)
ID_LINE_PATTERN = re.compile(rb"id (?P<id>[0-9a-fA-F]{1,16})\Z")


@dataclass(frozen=True, slots=True)
class ToldId:
    """An attempt may have begun under an id (hexadecimal digits)."""

    id: str


@dataclass(frozen=True, slots=True)
class ToldKey:
    """An attempt of a keyed effect may have begun; its time is one of `now_ms`."""

    class_name: str
    key: str
    effect: UnconfirmedEffect


def id_line(id: str) -> bytes:
    """Return the line that tells of an id, with its line feed."""
    return f"id {id}\n".encode("ascii")


def key_line(class_name: str, key: str, effect: UnconfirmedEffect) -> bytes:
    """Return the line that tells of a keyed effect, with its line feed."""
    sent_ms = to_monotonic_ms(effect.first_sent_ms)
    if all(map(WORD_PATTERN.match, (class_name, key, effect.zone))):
        line = f"key {class_name} {key} {sent_ms} {effect.zone} {effect.cell}"
    else:
        line = json.dumps(
            {
                "class": class_name,
                "key": key,
                "first_sent_ms": sent_ms,
                "zone": effect.zone,
                "cell": effect.cell,
            }
        )
    return f"{line}\n".encode("ascii")


def read_line(line: bytes) -> ToldId | ToldKey | None:
    """Read a line without its line feed; return None for one that can't be read."""
    if line.startswith(b"{"):
        return _read_object(line)
    if found := ID_LINE_PATTERN.match(line):
        return ToldId(found["id"].decode("ascii"))
    if found := KEY_LINE_PATTERN.match(line):
        values = {name: value.decode("ascii") for name, value in found.groupdict().items()}
        try:
            return _told_key(
                values["class_name"],
                values["key"],
                float(values["sent_ms"]),
                values["zone"],
                int(values["cell"]),
            )
        except ValueError:
            return None
    return None


def _read_object(line: bytes) -> ToldKey | None:
    try:
        values = json.loads(line)
        names = (values["class"], values["key"], values["zone"])
        sent_ms, cell = values["first_sent_ms"], values["cell"]
    except (ValueError, KeyError, TypeError):
        return None
    if not all(isinstance(name, str) for name in names):
        return None
    if type(sent_ms) not in (int, float) or type(cell) is not int:
        return None
    return _told_key(names[0], names[1], float(sent_ms), names[2], cell)


def _told_key(class_name: str, key: str, sent_ms: float, zone: str, cell: int) -> ToldKey | None:
    if not math.isfinite(sent_ms):
        return None
    return ToldKey(class_name, key, UnconfirmedEffect(from_monotonic_ms(sent_ms), zone, cell, attempts=1))
