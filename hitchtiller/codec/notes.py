"""Encoding of notes between gateways as small datagrams.

    object note = kind:1 key:8 part:2 number:2 server      kind 0 to 3: ask, holder, kept, lacks
    lease note  = kind:1 incarnation:8 sequence:2 wait:4   kind 4 to 7: request, grant, denial, return

All numbers are unsigned and big-endian, `wait` is in milliseconds. A receiver drops notes of an unknown kind,
so that gateways of an older version ignore lease notes.
"""

import struct

from hitchtiller.interface import LeaseKind, LeaseNote, PeerNote

NOTE_KINDS = ("ask", "holder", "kept", "lacks")
OBJECT_NOTE = struct.Struct(">BQHH")
LEASE_NOTE = struct.Struct(">BQHI")
MAX_WAIT_MS = 0xFFFFFFFF


def pack(note: PeerNote | LeaseNote) -> bytes:
    """Encode a note."""
    if isinstance(note, LeaseNote):
        wait = min(MAX_WAIT_MS, round(note.wait_ms))
        return LEASE_NOTE.pack(len(NOTE_KINDS) + note.kind, note.incarnation, note.sequence, wait)
    head = OBJECT_NOTE.pack(NOTE_KINDS.index(note.kind), note.key, note.part & 0xFFFF, note.number & 0xFFFF)
    return head + note.server.encode()


def unpack(data: bytes) -> PeerNote | LeaseNote | None:
    """Decode a note; return None for a malformed or unknown one."""
    kind = data[0] if data else 0
    if kind >= len(NOTE_KINDS):
        return _unpack_lease(data, kind - len(NOTE_KINDS))
    if len(data) < OBJECT_NOTE.size:
        return None
    _, key, part, number = OBJECT_NOTE.unpack(data[: OBJECT_NOTE.size])
    try:
        server = data[OBJECT_NOTE.size :].decode()
    except UnicodeDecodeError:
        return None
    return PeerNote(NOTE_KINDS[kind], key, part, server, number)


def _unpack_lease(data: bytes, kind: int) -> LeaseNote | None:
    if kind >= len(LeaseKind) or len(data) != LEASE_NOTE.size:
        return None
    _, incarnation, sequence, wait = LEASE_NOTE.unpack(data)
    return LeaseNote(LeaseKind(kind), incarnation, sequence, float(wait))
