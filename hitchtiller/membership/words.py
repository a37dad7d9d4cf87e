"""The datagrams between gateways that speak of membership: at most 256 bytes, checked before believed.

    head   = mark:1 version:1 fleet:4 check:4 kind:1 number:4 target:2 sender:2
    word   = head count:1 items          item = number:2 state:1 incarnation:6 by:2, 11 bytes
    report = head count:1 reports        report = server:4 by:2 sign:1 age:1 count:1, 9 bytes

A word of kind REPORT holds reports on servers in place of claims; `server` is the CRC-32 of its name, `age`
is in 25 ms. A reader that knows no such kind drops it.

All numbers are unsigned and big-endian. `mark` is 0xA7, which no note of an older version begins with (their
first byte is a kind below 4), so that older neighbours drop these and are not harmed. `fleet` is a hash of
what all gateways of one fleet have in common; words of another fleet are dropped. `check` is the CRC-32 of
all other bytes. `by` is who first said so, so that one witness repeated by forty is not forty. A reader drops
a later version's words whole: a later version must speak this one to be heard.
"""

import struct
import zlib
from dataclasses import dataclass, field
from enum import IntEnum

from hitchtiller.membership.evidence import Report, Symptom
from hitchtiller.membership.view import Claim, State

MAGIC, VERSION, MAX_DATAGRAM_BYTES = 0xA7, 1, 256
HEADER = struct.Struct(">BBIIBIHHB")
CLAIM_FORMAT = struct.Struct(">HBHIH")  # the incarnation's 48 bits as 16 and 32
REPORT_FORMAT = struct.Struct(">IHBBB")
MAX_CLAIMS, MAX_REPORTS = (
    (MAX_DATAGRAM_BYTES - HEADER.size) // CLAIM_FORMAT.size,
    (MAX_DATAGRAM_BYTES - HEADER.size) // REPORT_FORMAT.size,
)
AGE_STEP_MS = 25.0  # a step of a report's age
ClaimItem = tuple[int, Claim, int]  # number, what is claimed, who first said so


class Kind(IntEnum):
    """What a word asks or answers."""

    PING = 0
    ACK = 1
    PING_REQ = 2  # ping `target` for me
    PAGE = 3  # tell me what you hold from number `target` on
    TELL = 4  # claims, unasked or as a page
    REPORT = 5  # what was seen of servers


@dataclass(frozen=True, slots=True)
class MembershipMessage:
    """One datagram."""

    kind: Kind
    sender: int
    number: int  # of the probe that this belongs to
    target: int = 0
    items: list[ClaimItem] = field(default_factory=list)
    reports: list[Report] = field(default_factory=list)  # of kind REPORT only


def pack(message: MembershipMessage, fleet_id: int) -> bytes:
    """Write a word; at most ITEMS claims go with it."""
    items = message.items[:MAX_CLAIMS]
    tail = b"".join(
        CLAIM_FORMAT.pack(
            number, claim.state, claim.incarnation >> 32, claim.incarnation & 0xFFFFFFFF, reporter
        )
        for number, claim, reporter in items
    )
    if message.kind is Kind.REPORT:
        items = []
        tail = b"".join(
            REPORT_FORMAT.pack(
                r.server, r.witness, r.symptom, min(255, round(r.age_ms / AGE_STEP_MS)), min(255, r.count)
            )
            for r in message.reports[:MAX_REPORTS]
        )
    count = min(len(message.reports), MAX_REPORTS) if message.kind is Kind.REPORT else len(items)
    fields = (message.kind, message.number & 0xFFFFFFFF, message.target, message.sender, count)
    bare = HEADER.pack(MAGIC, VERSION, fleet_id & 0xFFFFFFFF, 0, *fields) + tail
    return HEADER.pack(MAGIC, VERSION, fleet_id & 0xFFFFFFFF, zlib.crc32(bare), *fields) + tail


def unpack(data: bytes, fleet_id: int) -> MembershipMessage | None:
    """Read a word; None for what is cut, altered, of another fleet, version or kind."""
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
        return None
    magic, version, message_fleet_id, check, kind, number, target, sender, count = HEADER.unpack_from(data)
    if (magic, version, message_fleet_id) != (MAGIC, VERSION, fleet_id & 0xFFFFFFFF):
        return None
    size = REPORT_FORMAT.size if kind == Kind.REPORT else CLAIM_FORMAT.size
    if kind >= len(Kind) or len(data) != HEADER.size + count * size:
        return None
    if zlib.crc32(data[:6] + bytes(4) + data[10:]) != check:
        return None
    if kind == Kind.REPORT:
        rows = list(REPORT_FORMAT.iter_unpack(data[HEADER.size :]))
        if any(sign >= len(Symptom) for _, _, sign, _, _ in rows):
            return None
        reports = [
            Report(s, Symptom(sign), reporter, AGE_STEP_MS * age, n) for s, reporter, sign, age, n in rows
        ]
        return MembershipMessage(Kind.REPORT, sender, number, target, [], reports)
    items = []
    for subject, state, high, low, reporter in CLAIM_FORMAT.iter_unpack(data[HEADER.size :]):
        if state >= len(State):
            return None
        items.append((subject, Claim(high << 32 | low, State(state)), reporter))
    return MembershipMessage(Kind(kind), sender, number, target, items)


def is_membership_message(data: bytes) -> bool:
    """Tell whether a datagram is meant as a word, and not as a note on objects."""
    return data[:1] == bytes((MAGIC,))
