"""One folder's files as an object: the real one here, one that tears and loses in `standins/files.py`.

All calls may block and may raise OSError; they are made on worker threads. A short write is an error, never
silent.
"""

import errno
import fcntl
import os
import threading
from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Protocol

LOCK = "lock"
MOST_OPEN = 64  # descriptors kept open


class Files(Protocol):
    """What the store asks of a folder; names hold no separators."""

    def names(self) -> list[str]:
        """Give the names of all files."""

    def size(self, name: str) -> int:
        """Give a file's length."""

    def read(self, name: str, offset: int, size: int) -> bytes:
        """Read up to `size` bytes; fewer only at the file's end."""

    def glance(self, name: str, offset: int, size: int) -> bytes | None:
        """Read `size` bytes if that needs no waiting at all, else None; may be called in the loop."""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write all of it, making the file if it is not there.

        What has returned may still be lost until `sync`.
        """

    def sync(self, name: str) -> None:
        """Make a file's bytes durable."""

    def sync_folder(self) -> None:
        """Make the names durable."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, replacing what has it."""

    def remove(self, name: str) -> None:
        """Remove a file; one that is not there is no error."""


class OsFiles:
    """A folder of the machine's; descriptors are kept open up to MOST_OPEN and shared by threads."""

    def __init__(self, folder: Path) -> None:
        """Open the folder, making it if need be.

        It is followed by descriptor, so a moved one stays the same.
        """
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder
        self.folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        self.guard = threading.Lock()
        self.fds: OrderedDict[str, int] = OrderedDict()
        self.users: dict[int, int] = {}
        self.stale: set[int] = set()  # given up while in use
        self.doomed: list[int] = []  # to be closed
        self.locked = -1

    def lock(self) -> bool:
        """Become the folder's one owner.

        False while another process is. The kernel lets go at the process's end.
        """
        if self.locked < 0:
            fd = os.open(LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600, dir_fd=self.folder)
            try:
                fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError as error:
                os.close(fd)
                if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
                    return False
                raise
            self.locked = fd
        return True

    def unlock(self) -> None:
        """Let another process own the folder."""
        if self.locked >= 0:
            os.close(self.locked)
            self.locked = -1

    @contextmanager
    def _open(self, name: str, create: bool = False) -> Iterator[int]:
        """Use a file's descriptor; the guard is never held across a call that may wait."""
        fd = self._take(name)
        if fd < 0:
            flags = os.O_RDWR | os.O_CLOEXEC | os.O_NOFOLLOW | (os.O_CREAT if create else 0)
            fresh = os.open(name, flags, 0o600, dir_fd=self.folder)
            with self.guard:
                fd = self.fds.setdefault(name, fresh)
                self.users[fd] = self.users.get(fd, 0) + 1
                if fd != fresh:  # another thread was quicker
                    self.doomed.append(fresh)
                while len(self.fds) > MOST_OPEN:
                    self._retire(next(iter(self.fds)))
        try:
            yield fd
        finally:
            self._leave(fd)
            self._bury()

    def _take(self, name: str) -> int:
        with self.guard:
            fd = self.fds.get(name, -1)
            if fd >= 0:
                self.fds.move_to_end(name)
                self.users[fd] = self.users.get(fd, 0) + 1
            return fd

    def _leave(self, fd: int) -> None:
        with self.guard:
            self.users[fd] -= 1
            if not self.users[fd] and fd in self.stale:
                self._doom(fd)

    def _retire(self, name: str) -> None:
        """Give a descriptor up; a read under way keeps it open: its number must not become another file's."""
        fd = self.fds.pop(name, -1)
        if fd >= 0:
            self.stale.add(fd)
            if not self.users.get(fd):
                self._doom(fd)

    def _doom(self, fd: int) -> None:
        self.stale.discard(fd)
        self.users.pop(fd, None)
        self.doomed.append(fd)

    def _bury(self) -> None:
        """Close what was given up; on a worker, since closing may wait."""
        while self.doomed:
            with suppress(IndexError):
                os.close(self.doomed.pop())

    def names(self) -> list[str]:
        """Give the names of all files."""
        return [name for name in os.listdir(self.folder) if name != LOCK]

    def size(self, name: str) -> int:
        """Give a file's length."""
        return os.stat(name, dir_fd=self.folder, follow_symlinks=False).st_size

    def read(self, name: str, offset: int, size: int) -> bytes:
        """Read up to `size` bytes."""
        with self._open(name) as fd:
            data = os.pread(fd, size, offset)
            if len(data) == size:
                return data
            pieces = [data]  # guards against a read that a signal cut: short means the end only
            got = len(data)
            while data and got < size:
                data = os.pread(fd, size - got, offset + got)
                pieces.append(data)
                got += len(data)
        return b"".join(pieces)

    def glance(self, name: str, offset: int, size: int) -> bytes | None:
        """Read from the page cache alone; an open file is needed, since opening may wait for the disk."""
        fd = self._take(name)
        if fd < 0:
            return None
        data = bytearray(size)
        try:
            whole = os.preadv(fd, [data], offset, os.RWF_NOWAIT) == size
        except OSError:  # not cached, or a file system that can't tell
            whole = False
        finally:
            self._leave(fd)
        return bytes(data) if whole else None

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write all of it."""
        with self._open(name, create=True) as fd:
            view = memoryview(data)
            while view:
                done = os.pwrite(fd, view, offset)
                if not done:
                    raise OSError(errno.EIO, "nothing was written")
                view, offset = view[done:], offset + done

    def sync(self, name: str) -> None:
        """Make a file's bytes durable."""
        with self._open(name) as fd:
            os.fsync(fd)

    def sync_folder(self) -> None:
        """Make the names durable."""
        os.fsync(self.folder)

    def rename(self, old: str, new: str) -> None:
        """Give a file another name."""
        with self.guard:
            self._retire(old)
            self._retire(new)
        self._bury()
        os.rename(old, new, src_dir_fd=self.folder, dst_dir_fd=self.folder)

    def remove(self, name: str) -> None:
        """Remove a file."""
        with self.guard:
            self._retire(name)
        self._bury()
        with suppress(FileNotFoundError):
            os.unlink(name, dir_fd=self.folder)

    def close(self) -> None:
        """Close all, the lock last."""
        with self.guard:
            for name in list(self.fds):
                self._retire(name)
        self._bury()
        os.close(self.folder)
        self.unlock()
