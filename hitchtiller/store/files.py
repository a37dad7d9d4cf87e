"""The files of one folder; `standins/files.py` has a version that tears and loses writes.

All calls except `read_cached` may block, and all may raise OSError; they are made on worker threads. A short
write is an error and never goes unnoticed.
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

LOCK_NAME = "lock"
MAX_OPEN_FILES = 64  # descriptors kept open
SALT_BYTES = 8


def random_salt() -> int:
    """Return a random number for a new file's checksums (`secrets` has the same, with libcrypto)."""
    return int.from_bytes(os.urandom(SALT_BYTES), "big")


class Files(Protocol):
    """The file operations that the store needs of a folder; names contain no separators."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def size(self, name: str) -> int:
        """Return the length of a file in bytes."""

    def read(self, name: str, offset: int, size: int) -> bytes:
        """Read up to `size` bytes; fewer only at the end of the file."""

    def read_cached(self, name: str, offset: int, size: int) -> bytes | None:
        """Read `size` bytes if no waiting is needed, else return None; may be called in the event loop."""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write all of `data`, and create the file if it does not exist.

        What was written may be lost until `sync` has returned.
        """

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    def sync_folder(self) -> None:
        """Make the creation, renaming and removal of files durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, and replace a file that has the new name."""

    def remove(self, name: str) -> None:
        """Remove a file; it is not an error if it does not exist."""


class OsFiles:
    """A folder of the operating system; up to MAX_OPEN_FILES descriptors stay open, shared by all threads."""

    def __init__(self, folder: Path) -> None:
        """Open the folder, and create it if needed.

        The folder is accessed through its descriptor, so that it stays the same one if it is moved.
        """
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder
        self.folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        self.fds_lock = threading.Lock()
        self.fds: OrderedDict[str, int] = OrderedDict()
        self.use_counts: dict[int, int] = {}
        self.retired_fds: set[int] = set()  # no longer kept open, but still in use
        self.fds_to_close: list[int] = []
        self.lock_fd = -1

    def lock(self) -> bool:
        """Become the only owner of the folder; return False while another process owns it.

        The kernel releases the lock at the end of the process.
        """
        if self.lock_fd < 0:
            fd = os.open(LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600, dir_fd=self.folder)
            try:
                fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError as error:
                os.close(fd)
                if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
                    return False
                raise
            self.lock_fd = fd
        return True

    def unlock(self) -> None:
        """Release the folder for another process."""
        if self.lock_fd >= 0:
            os.close(self.lock_fd)
            self.lock_fd = -1

    @contextmanager
    def _open(self, name: str, create: bool = False) -> Iterator[int]:
        """Yield the descriptor of a file; `fds_lock` is never held during a call that may block."""
        fd = self._acquire(name)
        if fd < 0:
            flags = os.O_RDWR | os.O_CLOEXEC | os.O_NOFOLLOW | (os.O_CREAT if create else 0)
            new_fd = os.open(name, flags, 0o600, dir_fd=self.folder)
            with self.fds_lock:
                fd = self.fds.setdefault(name, new_fd)
                self.use_counts[fd] = self.use_counts.get(fd, 0) + 1
                if fd != new_fd:  # another thread has opened it meanwhile
                    self.fds_to_close.append(new_fd)
                while len(self.fds) > MAX_OPEN_FILES:
                    self._retire(next(iter(self.fds)))
        try:
            yield fd
        finally:
            self._release(fd)
            self._close_scheduled()

    def _acquire(self, name: str) -> int:
        with self.fds_lock:
            fd = self.fds.get(name, -1)
            if fd >= 0:
                self.fds.move_to_end(name)
                self.use_counts[fd] = self.use_counts.get(fd, 0) + 1
            return fd

    def _release(self, fd: int) -> None:
        with self.fds_lock:
            self.use_counts[fd] -= 1
            if not self.use_counts[fd] and fd in self.retired_fds:
                self._schedule_close(fd)

    def _retire(self, name: str) -> None:
        """Stop keeping a descriptor open; it is closed when no call uses it any more.

        Closing it during a read could give its number to another file.
        """
        fd = self.fds.pop(name, -1)
        if fd >= 0:
            self.retired_fds.add(fd)
            if not self.use_counts.get(fd):
                self._schedule_close(fd)

    def _schedule_close(self, fd: int) -> None:
        self.retired_fds.discard(fd)
        self.use_counts.pop(fd, None)
        self.fds_to_close.append(fd)

    def _close_scheduled(self) -> None:
        """Close retired descriptors; on a worker thread, since closing may block."""
        while self.fds_to_close:
            with suppress(IndexError):
                os.close(self.fds_to_close.pop())

    def names(self) -> list[str]:
        """Return the names of all files."""
        return [name for name in os.listdir(self.folder) if name != LOCK_NAME]

    def size(self, name: str) -> int:
        """Return the length of a file in bytes."""
        return os.stat(name, dir_fd=self.folder, follow_symlinks=False).st_size

    def read(self, name: str, offset: int, size: int) -> bytes:
        """Read up to `size` bytes."""
        with self._open(name) as fd:
            data = os.pread(fd, size, offset)
            if len(data) == size:
                return data
            pieces = [data]  # a signal may cut a read short; only an empty read means the end of the file
            size_read = len(data)
            while data and size_read < size:
                data = os.pread(fd, size - size_read, offset + size_read)
                pieces.append(data)
                size_read += len(data)
        return b"".join(pieces)

    def read_cached(self, name: str, offset: int, size: int) -> bytes | None:
        """Read from the page cache alone, and only from an open file, since opening may wait for the disk."""
        fd = self._acquire(name)
        if fd < 0:
            return None
        data = bytearray(size)
        try:
            is_complete = os.preadv(fd, [data], offset, os.RWF_NOWAIT) == size
        except OSError:  # not cached, or a file system that can't tell
            is_complete = False
        finally:
            self._release(fd)
        return bytes(data) if is_complete else None

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write all of `data`, and create the file if it does not exist."""
        with self._open(name, create=True) as fd:
            view = memoryview(data)
            while view:
                written = os.pwrite(fd, view, offset)
                if not written:
                    raise OSError(errno.EIO, "nothing was written")
                view, offset = view[written:], offset + written

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        with self._open(name) as fd:
            os.fsync(fd)

    def sync_folder(self) -> None:
        """Make the creation, renaming and removal of files durable."""
        os.fsync(self.folder)

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        with self.fds_lock:
            self._retire(old)
            self._retire(new)
        self._close_scheduled()
        os.rename(old, new, src_dir_fd=self.folder, dst_dir_fd=self.folder)

    def remove(self, name: str) -> None:
        """Remove a file."""
        with self.fds_lock:
            self._retire(name)
        self._close_scheduled()
        with suppress(FileNotFoundError):
            os.unlink(name, dir_fd=self.folder)

    def close(self) -> None:
        """Close all descriptors, the lock last."""
        with self.fds_lock:
            for name in list(self.fds):
                self._retire(name)
        self._close_scheduled()
        os.close(self.folder)
        self.unlock()
