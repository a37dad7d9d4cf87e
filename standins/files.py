"""A folder that loses what was not made durable: for crashes at any call, torn at any byte, in any order.

Writes go to a list; `sync` makes a file's writes durable, `sync_folder` the names. `crash` gives the folder
as a machine would find it: durable bytes, and of the rest any subset, each write cut to whole sectors or not
at all, applied in any order. Any call can be made to fail by a plan. All that is drawn comes from one
generator.
"""

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field

SECTOR = 512


class Crash(BaseException):
    """The machine stops in the middle of a call; nothing in the program may catch it."""


@dataclass(slots=True)
class Node:
    """One file: what is durable, and the writes since."""

    durable: bytearray = field(default_factory=bytearray)
    waiting: list[tuple[int, bytes]] = field(default_factory=list)

    def content(self) -> bytearray:
        """Give what a reader sees now."""
        data = bytearray(self.durable)
        for offset, piece in self.waiting:
            put(data, offset, piece)
        return data


def put(data: bytearray, offset: int, piece: bytes) -> None:
    """Write into a byte array, with zeros where there was nothing."""
    if len(data) < offset:
        data.extend(bytes(offset - len(data)))
    data[offset : offset + len(piece)] = piece


class SimFiles:
    """The store's `Files`, in memory."""

    def __init__(self, rng: random.Random | None = None) -> None:
        """Start with an empty folder."""
        self.rng = rng or random.Random(0)
        self.nodes: dict[str, Node] = {}  # as names stand now
        self.kept: dict[str, Node] = {}  # as they stood when they were last durable
        self.moves: list[tuple[str, str, str]] = []  # names made, renamed and removed since, in order
        self.calls = 0
        self.crash_at = 0  # the call in whose middle the machine stops
        self.faults: dict[str, Callable[[str], OSError | None]] = {}
        self.synced: dict[str, int] = {}  # by file, up to where a sync has covered it

    def _call(self, kind: str, name: str) -> None:
        self.calls += 1
        if fault := self.faults.get(kind):
            error = fault(name)
            if error:
                raise error
        if self.calls == self.crash_at:
            raise Crash

    def _node(self, name: str) -> Node:
        if name not in self.nodes:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self.nodes[name]

    def names(self) -> list[str]:
        """Give the names of all files."""
        return list(self.nodes)

    def size(self, name: str) -> int:
        """Give a file's length."""
        return len(self._node(name).content())

    def read(self, name: str, offset: int, size: int) -> bytes:
        """Read up to `size` bytes."""
        self._call("read", name)
        return bytes(self._node(name).content()[offset : offset + size])

    def glance(self, name: str, offset: int, size: int) -> bytes | None:
        """Nothing here is ever cached."""
        return None

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write; a crash in the middle leaves any beginning of it."""
        if name not in self.nodes:
            self.nodes[name] = Node()
            self.moves.append(("make", name, ""))
        try:
            self._call("write", name)
        except Crash:
            self.nodes[name].waiting.append((offset, bytes(data[: self.rng.randrange(len(data) + 1)])))
            raise
        self.nodes[name].waiting.append((offset, bytes(data)))

    def sync(self, name: str) -> None:
        """Make a file's bytes durable; a crash in the middle leaves it open which."""
        node = self._node(name)
        self._call("sync", name)
        node.durable, node.waiting = node.content(), []
        self.synced[name] = len(node.durable)
        if name not in self.kept and ("make", name, "") in self.moves:
            # as common file systems do it: syncing a new file makes its name durable too
            self.kept[name] = node
            self.moves.remove(("make", name, ""))

    def sync_folder(self) -> None:
        """Make the names durable."""
        self._call("sync", "")
        self.kept, self.moves = dict(self.nodes), []

    def rename(self, old: str, new: str) -> None:
        """Give a file another name."""
        node = self._node(old)
        self._call("rename", old)
        self.nodes[new] = node
        del self.nodes[old]
        self.moves.append(("rename", old, new))

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._call("remove", name)
        if self.nodes.pop(name, None):
            self.moves.append(("remove", name, ""))

    def crash(self) -> "SimFiles":
        """Give the folder as the next start finds it."""
        rng, names = self.rng, dict(self.kept)
        for kind, old, new in self.moves[: rng.randrange(len(self.moves) + 1)]:  # names change in order
            node = names.get(old)
            if kind == "make":
                names[old] = self._made(old)
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
                put(data, offset, self._torn(piece))
            if rng.random() < 0.1 and len(data) > len(node.durable):
                del data[rng.randrange(len(node.durable), len(data)) :]  # its length was not durable
            fresh.nodes[name] = fresh.kept[name] = Node(data)
        return fresh

    def _made(self, name: str) -> Node:
        """Find a made file under whatever name it has now."""
        for kind, old, new in self.moves:
            if kind == "rename" and old == name and new in self.nodes:
                return self.nodes[new]
        return self.nodes.get(name, Node())

    def _torn(self, piece: bytes) -> bytes:
        """Keep a write whole, or with some sectors as they might have been before."""
        if self.rng.random() < 0.6:
            return piece
        data = bytearray(piece)
        for at in range(0, len(data), SECTOR):
            if self.rng.random() < 0.3:
                data[at : at + SECTOR] = bytes(len(data[at : at + SECTOR]))
        return bytes(data)
