"""Checks of the datagrams between gateways (A4): notes on objects and leases, and membership messages.

Each build packs values and reads the datagrams of the other in `datagram_program`. Values are lists in the
order of the fields, with numbers in place of names.
"""

import json
from pathlib import Path
from typing import Any

from standins.compatibility.builds import Build
from standins.compatibility.checks import Trial, expect

PROGRAM = Path(__file__).with_name("datagram_program.py")
ERROR_TAIL_CHARACTERS = 200  # of a program that failed
FLEET_ID = 0x5EED_CAFE

ASK, HOLDER, KEPT, LACKS = range(4)  # first byte of notes on objects
REQUEST, GRANT, DENIAL, RETURN = range(4, 8)  # first byte of notes on leases
UNKNOWN_KIND = 8  # the lowest first byte that no note has
MEMBERSHIP = 0xA7  # first byte of membership messages
OBJECT_HEAD_BYTES, MESSAGE_HEAD_BYTES = 13, 20

OBJECT_KINDS = LEASE_KINDS = MEMBER_STATES = 4
DENIED_LEASE = DENIAL - REQUEST  # the one kind with a wait
MESSAGE_KINDS, SYMPTOMS = 6, 3
REPORT_KIND = 5  # of the membership messages, the one with reports in place of claims
SERVER = "s-00000001"
FIRST_INCARNATION = 0x018BCFE56800  # Unix time in ms, as gateways use it

Values = list[Any]


def object_notes() -> list[Values]:
    """Return one note of each kind: kind, key, part, server, number."""
    return [
        [kind, 0x0123456789ABCDEF + kind, 0x0102 + kind, "" if kind == LACKS else SERVER, 0xA1B2]
        for kind in range(OBJECT_KINDS)
    ]


def lease_notes() -> list[Values]:
    """Return one note of each kind: kind, incarnation, sequence, wait in ms."""
    return [
        [kind, FIRST_INCARNATION + 1, 0xC3D4, 70_001.0 if kind == DENIED_LEASE else 0.0]
        for kind in range(LEASE_KINDS)
    ]


def membership_messages() -> list[Values]:
    """Return one message of each kind: kind, sender, number, target, claims, reports."""
    claims: list[Values] = [
        [0x0107 + state, [FIRST_INCARNATION + state, state], 0x0103] for state in range(MEMBER_STATES)
    ]
    reports: list[Values] = [
        [0xDEADBEE0 + symptom, symptom, 0x0105, 25.0 * (3 + symptom), 9] for symptom in range(SYMPTOMS)
    ]
    return [
        [kind, 0x010B, 0x01020304, 0x0111, *([[], reports] if kind == REPORT_KIND else [claims, []])]
        for kind in range(MESSAGE_KINDS)
    ]


async def run_program(trial: Trial, build: Build, **asked: Any) -> dict[str, list[Any]]:
    """Return the result of the program in a build, which packs values and reads datagrams."""
    text = json.dumps({"fleet": FLEET_ID, **asked})
    ended = await trial.processes.run(build, "-c", PROGRAM.read_text(), input_text=text)
    error = ended.err[-ERROR_TAIL_CHARACTERS:]
    expect(f"exit code of the {build.label} build's program ({error!r})", 0, ended.code)
    result: dict[str, list[Any]] = json.loads(ended.out)
    return result


async def pack_samples(trial: Trial, build: Build) -> dict[str, list[Any]]:
    """Return one datagram of each kind, packed by a build, under `notes` and `words`."""
    notes = [*object_notes(), *lease_notes()]
    return await run_program(trial, build, notes=notes, words=membership_messages())


def damaged_notes(packed: list[str]) -> list[str]:
    """Return datagrams that no build may accept as a note."""
    objects, leases = packed[:OBJECT_KINDS], packed[OBJECT_KINDS:]
    cut = [data[: 2 * (OBJECT_HEAD_BYTES - 1)] for data in objects] + [data[:-2] for data in leases]
    longer = [data + "00" for data in leases]
    unknown = [f"{UNKNOWN_KIND:02x}{data[2:]}" for data in packed]
    no_text = [data + "ff" for data in objects]  # the server's name is no UTF-8
    return ["", *cut, *longer, *unknown, *no_text]


def damaged_messages(packed: list[str]) -> list[str]:
    """Return membership messages with one byte changed, cut short, or too long."""
    damaged = []
    for text in packed:
        data = bytes.fromhex(text)
        damaged += [
            (data[:place] + bytes((data[place] ^ 1,)) + data[place + 1 :]).hex() for place in range(len(data))
        ]
        damaged += [data[:-1].hex(), data[: MESSAGE_HEAD_BYTES - 1].hex(), (data + b"\0").hex()]
    return damaged


async def expect_same_numbers(trial: Trial) -> str:
    """Check that names of kinds, states and symptoms have the same numbers; return the counts in words.

    A name that one build lacks was renamed; the numbers in use are the same in any case.
    """
    old_tables, new_tables = [(await run_program(trial, build))["names"] for build in trial.builds]
    shared_count = 0
    for old, new in zip(old_tables, new_tables, strict=True):
        expect("numbers in use", sorted(old.values()), sorted(new.values()))
        shared = old.keys() & new.keys()
        expect("numbers of names", {name: old[name] for name in shared}, {name: new[name] for name in shared})
        shared_count += len(shared)
    return f"{shared_count} of {sum(map(len, old_tables))} names are shared and have one number"


async def expect_read_back(trial: Trial, writer: Build, reader: Build) -> str:
    """Check that a build reads the values that the other has packed; return the counts in words."""
    notes, messages = [*object_notes(), *lease_notes()], membership_messages()
    packed = await pack_samples(trial, writer)
    read = await run_program(trial, reader, read_notes=packed["notes"], read_words=packed["words"])
    for values, found in zip([*notes, *messages], read["read_notes"] + read["read_words"], strict=True):
        expect("values of a datagram", values, found)
    return f"{len(notes)} notes and {len(messages)} membership messages"


async def expect_damage_refused(trial: Trial, writer: Build, reader: Build) -> str:
    """Check that a build refuses damaged datagrams of the other; return their count in words."""
    packed = await pack_samples(trial, writer)
    damaged = {
        "read_notes": damaged_notes(packed["notes"]),
        "read_words": damaged_messages(packed["words"]),
    }
    read = await run_program(trial, reader, **damaged)
    for kind, sent in damaged.items():
        accepted = [(data, values) for data, values in zip(sent, read[kind], strict=True) if values]
        expect("damaged datagrams that were read", [], accepted)
    return f"{sum(map(len, damaged.values()))} refused"


async def check_datagrams_are_readable(trial: Trial) -> None:
    """Check that each build reads the other's datagrams, and refuses damaged ones."""
    async with trial.report.check("A4 numbers of kinds, states and symptoms") as details:
        details.append(await expect_same_numbers(trial))
    for writer, reader in trial.directions():
        direction = f"{writer.label} to {reader.label}"
        async with trial.report.check(f"A4 datagrams, {direction}") as details:
            details.append(await expect_read_back(trial, writer, reader))
        async with trial.report.check(f"A4 damaged datagrams, {direction}") as details:
            details.append(await expect_damage_refused(trial, writer, reader))
