"""Packs and reads datagrams in one build; its text is run by the interpreter of each build.

It reads a JSON object on standard input and writes one on standard output. Values of notes and messages are
lists in the order of the fields, with numbers in place of names, because identifiers may differ between the
builds. The functions and classes are therefore found by their annotations.
"""

import dataclasses
import enum
import inspect
import json
import sys
from collections.abc import Callable
from types import ModuleType
from typing import Any, get_args, get_type_hints

from hitchtiller.codec import notes
from hitchtiller.membership import words

OBJECT_NOTE_FIELDS = 5  # a note on a lease has four
CLAIMS_FIELD, REPORTS_FIELD = 4, 5  # places in a membership message


def annotations_of(owner: Any) -> list[Any]:
    """Return the annotations of a function's parameters or of a class's fields, in their order."""
    return list(get_type_hints(owner).values())


def codec_functions(module: ModuleType) -> tuple[Callable[..., bytes], Callable[..., Any]]:
    """Return the function of a module that packs datagrams, and the one that reads them."""
    packs: list[Any] = []
    reads: list[Any] = []
    for name, function in vars(module).items():
        if name.startswith("_") or not inspect.isfunction(function) or function.__module__ != module.__name__:
            continue
        hints = get_type_hints(function)
        result = hints.pop("return")
        first = next(iter(hints.values()), None)
        if result is bytes and first is not bytes:
            packs.append(function)
        elif first is bytes and result is not bool:
            reads.append(function)
    return packs[-1], reads[-1]


def field_values(value: Any) -> list[Any]:
    """Return the values of a dataclass's fields."""
    return [getattr(value, field.name) for field in dataclasses.fields(value)]


class NoteCodec:
    """Packs and reads notes on objects and on leases."""

    def __init__(self) -> None:
        """Find the functions and classes of this build."""
        self.pack, self.read = codec_functions(notes)
        note_types = get_args(annotations_of(self.pack)[0])
        self.object_note, self.lease_note = sorted(
            note_types, key=lambda note_type: len(dataclasses.fields(note_type)), reverse=True
        )
        self.kinds: tuple[str, ...] = next(
            value
            for value in vars(notes).values()
            if isinstance(value, tuple) and all(isinstance(kind, str) for kind in value)
        )
        self.lease_kind: Any = annotations_of(self.lease_note)[0]

    def make(self, values: list[Any]) -> Any:
        """Return the note with these values."""
        if len(values) == OBJECT_NOTE_FIELDS:
            return self.object_note(self.kinds[values[0]], *values[1:])
        return self.lease_note(self.lease_kind(values[0]), *values[1:])


class MessageCodec:
    """Packs and reads membership messages of one fleet."""

    def __init__(self, fleet: int) -> None:
        """Find the functions and classes of this build."""
        self.fleet = fleet
        self._pack, self._read = codec_functions(words)
        self.message: Any = annotations_of(self._pack)[0]
        fields = annotations_of(self.message)
        self.kind: Any = fields[0]
        self.claim: Any = get_args(get_args(fields[CLAIMS_FIELD])[0])[1]
        self.report: Any = get_args(fields[REPORTS_FIELD])[0]
        self.state: Any = annotations_of(self.claim)[1]
        self.symptom: Any = annotations_of(self.report)[1]

    def make(self, values: list[Any]) -> Any:
        """Return the message with these values."""
        kind, sender, number, target, claims, reports = values
        made_claims = [
            (about, self.claim(made, self.state(state)), by) for about, (made, state), by in claims
        ]
        made_reports = [self.report(server, self.symptom(sign), *rest) for server, sign, *rest in reports]
        return self.message(self.kind(kind), sender, number, target, made_claims, made_reports)

    def pack(self, message: Any) -> bytes:
        """Return a message's datagram."""
        return self._pack(message, self.fleet)

    def read(self, data: bytes) -> Any:
        """Return the message in a datagram, or None."""
        return self._read(data, self.fleet)


class Program:
    """Answers one input."""

    def __init__(self, fleet: int) -> None:
        """Prepare both codecs."""
        self.notes, self.messages = NoteCodec(), MessageCodec(fleet)

    def names(self) -> list[dict[str, int]]:
        """Return the numbers of kinds, states and symptoms by their names, a table for each enumeration."""
        enums = [self.notes.lease_kind, self.messages.kind, self.messages.state, self.messages.symptom]
        tables = [{name: number for number, name in enumerate(self.notes.kinds)}]
        return tables + [{member.name: int(member) for member in each} for each in enums]

    def plain(self, value: Any) -> Any:
        """Return a value as numbers, texts and lists."""
        if type(value) is self.notes.object_note:
            return [self.notes.kinds.index(value.kind), *map(self.plain, field_values(value)[1:])]
        if dataclasses.is_dataclass(value):
            return [self.plain(each) for each in field_values(value)]
        if isinstance(value, list | tuple):
            return [self.plain(each) for each in value]
        return int(value) if isinstance(value, enum.IntEnum) else value

    def answer(self, asked: dict[str, Any]) -> dict[str, list[Any]]:
        """Return the tables of names, the packed datagrams, and the values that were read."""
        return {
            "names": self.names(),
            "notes": [self.notes.pack(self.notes.make(values)).hex() for values in asked.get("notes", [])],
            "words": [
                self.messages.pack(self.messages.make(values)).hex() for values in asked.get("words", [])
            ],
            "read_notes": [
                self.plain(self.notes.read(bytes.fromhex(data))) for data in asked.get("read_notes", [])
            ],
            "read_words": [
                self.plain(self.messages.read(bytes.fromhex(data))) for data in asked.get("read_words", [])
            ],
        }


def main() -> None:
    """Answer the input on standard input."""
    asked = json.load(sys.stdin)
    json.dump(Program(asked["fleet"]).answer(asked), sys.stdout)


if __name__ == "__main__":
    main()
