"""A simulated folder that can lose everything that is not durable, for tests of crashes.

Writes are collected; `sync` makes a file's writes durable, `sync_folder` the names. `crash` returns the
folder as the machine could find it after a crash: the durable bytes, and any subset of the other writes,
each whole or without some of its sectors, applied in any order. `faults` can make any call fail. All
randomness comes from one generator.
"""

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field

SECTOR_BYTES = 512


class Crash(BaseException):
    """The machine stops in the middle of a call; not an Exception, so that the program does not catch it."""


@dataclass(slots=True)
class SimFile:
    """One file: its durable bytes, and the writes since the last sync."""

    durable: bytearray = field(default_factory=bytearray)
    waiting: list[tuple[int, bytes]] = field(default_factory=list)

    def content(self) -> bytearray:
        """Return the bytes that a reader sees now."""
        data = bytearray(self.durable)
        for offset, piece in self.waiting:
            write_into(data, offset, piece)
        return data


def write_into(data: bytearray, offset: int, piece: bytes) -> None:
    """Write into a byte array, which grows with zeros up to `offset` if it is shorter."""
    if len(data) < offset:
        data.extend(bytes(offset - len(data)))
    data[offset : offset + len(piece)] = piece


class SimFiles:
    """An implementation of the store's `Files` in memory."""

    def __init__(self, rng: random.Random | None = None) -> None:
        """Start with an empty folder."""
        self.rng = rng or random.Random(0)
        self.nodes: dict[str, SimFile] = {}  # by present name
        self.durable_names: dict[str, SimFile] = {}  # by the name that is durable
        self.name_changes: list[tuple[str, str, str]] = []  # creations, renames and removals since, in order
        self.calls = 0
        self.crash_at = 0  # the number of the call in which the machine stops
        self.faults: dict[str, Callable[[str], OSError | None]] = {}  # by kind of call
        self.synced_bytes: dict[str, int] = {}  # by file: the length that its last sync covered

    def _call(self, kind: str, name: str) -> None:
        self.calls += 1
        if fault := self.faults.get(kind):
            error = fault(name)
            if error:
                raise error
        if self.calls == self.crash_at:
            raise Crash

    def _node(self, name: str) -> SimFile:
        if name not in self.nodes:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self.nodes[name]

    def names(self) -> list[str]:
        """Return the names of all files."""
        return list(self.nodes)

    def size(self, name: str) -> int:
        """Return the length of a file."""
        return len(self._node(name).content())

    def read(self, name: str, offset: int, size: int) -> bytes:
        """Read up to `size` bytes."""
        self._call("read", name)
        return bytes(self._node(name).content()[offset : offset + size])

    def read_cached(self, name: str, offset: int, size: int) -> bytes | None:
        """Return None, as no bytes are in a page cache here."""
        return None

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write bytes; a crash during the call keeps a random prefix of them."""
        if name not in self.nodes:
            self.nodes[name] = SimFile()
            self.name_changes.append(("make", name, ""))
        try:
            self._call("write", name)
        except Crash:
            self.nodes[name].waiting.append((offset, bytes(data[: self.rng.randrange(len(data) + 1)])))
            raise
        self.nodes[name].waiting.append((offset, bytes(data)))

    def sync(self, name: str) -> None:
        """Make a file's bytes durable; a crash during the call can still lose any of them."""
        node = self._node(name)
        self._call("sync", name)
        node.durable, node.waiting = node.content(), []
        self.synced_bytes[name] = len(node.durable)
        if name not in self.durable_names and ("make", name, "") in self.name_changes:
            # As in common file systems, syncing a new file makes its name durable too.
            self.durable_names[name] = node
            self.name_changes.remove(("make", name, ""))

    def sync_folder(self) -> None:
        """Make the names of all files durable."""
        self._call("sync", "")
        self.durable_names, self.name_changes = dict(self.nodes), []

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        node = self._node(old)
        self._call("rename", old)
        self.nodes[new] = node
        del self.nodes[old]
        self.name_changes.append(("rename", old, new))

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._call("remove", name)
        if self.nodes.pop(name, None):
            self.name_changes.append(("remove", name, ""))

    def crash(self) -> "SimFiles":
        """Return the folder as the next start could find it."""
        rng, names = self.rng, dict(self.durable_names)
        for kind, old, new in self.name_changes[
            : rng.randrange(len(self.name_changes) + 1)
        ]:  # they become durable in order
            node = names.get(old)
            if kind == "make":
                names[old] = self._find_created(old)
            elif kind == "remove":
                names.pop(old, None)
            elif node:
                names[new] = node
                del names[old]
        fresh = SimFiles(rng)
        for name, node in names.items():
            data = bytearray(node.durable)
            left = [piece for piece in node.waiting if rng.random() < 0.7]
            rng.shuffle(left)
            for offset, piece in left:
                write_into(data, offset, self._tear(piece))
            if rng.random() < 0.1 and len(data) > len(node.durable):
                del data[rng.randrange(len(node.durable), len(data)) :]  # the length was not durable
            fresh.nodes[name] = fresh.durable_names[name] = SimFile(data)
        return fresh

    def _find_created(self, name: str) -> SimFile:
        """Return a created file, which may have been renamed since."""
        for kind, old, new in self.name_changes:
            if kind == "rename" and old == name and new in self.nodes:
                return self.nodes[new]
        return self.nodes.get(name, SimFile())

    def _tear(self, piece: bytes) -> bytes:
        """Return a write whole, or with zeros in some of its sectors."""
        if self.rng.random() < 0.6:
            return piece
        data = bytearray(piece)
        for at in range(0, len(data), SECTOR_BYTES):
            if self.rng.random() < 0.3:
                data[at : at + SECTOR_BYTES] = bytes(len(data[at : at + SECTOR_BYTES]))
        return bytes(data)
