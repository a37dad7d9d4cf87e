"""Encoding of the membership messages between gateways: datagrams of at most 256 bytes with a checksum.

    header  = magic:1 version:1 fleet:4 check:4 kind:1 number:4 target:2 sender:2
    message = header count:1 items        item = number:2 state:1 incarnation:6 reporter:2, 11 bytes
    report  = header count:1 reports      report = server:4 witness:2 symptom:1 age:1 count:1, 9 bytes

A message of kind REPORT holds reports about servers in place of claims. `server` is the CRC-32 of the
server's name, and `age` is in units of 25 ms. A reader that does not know the kind drops the message.

All numbers are unsigned and big-endian. `magic` is 0xA7, which no note of an older version begins with (their
first byte is a kind below 4), so gateways of older versions drop these messages without harm. `fleet` is a
hash of what all gateways of one fleet have in common; messages of another fleet are dropped. `check` is the
CRC-32 of all other bytes. `reporter` is the member that made the claim, so that one witness repeated by forty
gateways does not count as forty. A reader drops messages of a later version entirely, so a later version has
to send this one to be understood.
"""

import struct
import zlib
from dataclasses import dataclass, field
from enum import IntEnum

from hitchtiller.membership.evidence import Report, Symptom
from hitchtiller.membership.view import MemberClaim, State

MAGIC, VERSION, MAX_DATAGRAM_BYTES = 0xA7, 1, 256
HEADER = struct.Struct(">BBIIBIHHB")
CLAIM_FORMAT = struct.Struct(">HBHIH")  # the 48 bits of the incarnation are stored as 16 and 32
REPORT_FORMAT = struct.Struct(">IHBBB")
MAX_CLAIMS, MAX_REPORTS = (
    (MAX_DATAGRAM_BYTES - HEADER.size) // CLAIM_FORMAT.size,
    (MAX_DATAGRAM_BYTES - HEADER.size) // REPORT_FORMAT.size,
)
AGE_STEP_MS = 25.0  # unit of a report's age
# the member's number, the claim about it, the member that made the claim
ClaimItem = tuple[int, MemberClaim, int]


class MessageKind(IntEnum):
    """Kind of a membership message."""

    PING = 0
    ACK = 1
    PING_REQ = 2  # asks the receiver to ping `target` on behalf of the sender
    SYNC_REQUEST = 3  # sync request: asks for the receiver's claims from number `target` on
    CLAIMS = 4  # claims, sent as gossip or as the answer to a sync request
    REPORT = 5  # reports about failing servers


@dataclass(frozen=True, slots=True)
class MembershipMessage:
    """A decoded membership message; one message is one datagram."""

    kind: MessageKind
    sender: int
    number: int  # number of the probe that the message belongs to
    target: int = 0
    items: list[ClaimItem] = field(default_factory=list)
    reports: list[Report] = field(default_factory=list)  # of kind REPORT only


def pack(message: MembershipMessage, fleet_id: int) -> bytes:
    """Encode a message with at most MAX_CLAIMS of its claims or MAX_REPORTS of its reports."""
    items = message.items[:MAX_CLAIMS]
    payload = b"".join(
        CLAIM_FORMAT.pack(
            number, claim.state, claim.incarnation >> 32, claim.incarnation & 0xFFFFFFFF, reporter
        )
        for number, claim, reporter in items
    )
    if message.kind is MessageKind.REPORT:
        items = []
        payload = b"".join(
            REPORT_FORMAT.pack(
                r.server, r.witness, r.symptom, min(255, round(r.age_ms / AGE_STEP_MS)), min(255, r.count)
            )
            for r in message.reports[:MAX_REPORTS]
        )
    count = min(len(message.reports), MAX_REPORTS) if message.kind is MessageKind.REPORT else len(items)
    fields = (message.kind, message.number & 0xFFFFFFFF, message.target, message.sender, count)
    without_check = HEADER.pack(MAGIC, VERSION, fleet_id & 0xFFFFFFFF, 0, *fields) + payload
    return HEADER.pack(MAGIC, VERSION, fleet_id & 0xFFFFFFFF, zlib.crc32(without_check), *fields) + payload


def unpack(data: bytes, fleet_id: int) -> MembershipMessage | None:
    """Decode a message; None for one that is truncated, altered, or of another fleet, version or kind."""
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
        return None
    magic, version, message_fleet_id, check, kind, number, target, sender, count = HEADER.unpack_from(data)
    if (magic, version, message_fleet_id) != (MAGIC, VERSION, fleet_id & 0xFFFFFFFF):
        return None
    size = REPORT_FORMAT.size if kind == MessageKind.REPORT else CLAIM_FORMAT.size
    if kind >= len(MessageKind) or len(data) != HEADER.size + count * size:
        return None
    if zlib.crc32(data[:6] + bytes(4) + data[10:]) != check:
        return None
    if kind == MessageKind.REPORT:
        rows = list(REPORT_FORMAT.iter_unpack(data[HEADER.size :]))
        if any(symptom >= len(Symptom) for _, _, symptom, _, _ in rows):
            return None
        reports = [
            Report(server, Symptom(symptom), witness, AGE_STEP_MS * age, seen)
            for server, witness, symptom, age, seen in rows
        ]
        return MembershipMessage(MessageKind.REPORT, sender, number, target, [], reports)
    items = []
    for subject, state, high, low, reporter in CLAIM_FORMAT.iter_unpack(data[HEADER.size :]):
        if state >= len(State):
            return None
        items.append((subject, MemberClaim(high << 32 | low, State(state)), reporter))
    return MembershipMessage(MessageKind(kind), sender, number, target, items)


def is_membership_message(data: bytes) -> bool:
    """Return whether a datagram is a membership message rather than a note about objects."""
    return data[:1] == bytes((MAGIC,))
