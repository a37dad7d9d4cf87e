"""Peer notes as datagrams of few bytes."""

import struct

from hitchtiller import interface as api

NOTE_KINDS = ("ask", "holder", "kept", "lacks")
NOTE = struct.Struct(">BQHH")


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
