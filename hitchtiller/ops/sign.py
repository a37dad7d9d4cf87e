"""A process's sign of life in the folder that two versions share: a file it holds a lock on until it ends."""

import contextlib
import fcntl
import os
import time
from pathlib import Path

PREFIX = "gateway-"
STARTING, READY = "starting", "ready"


class ProcessMarker:
    """This process's file, and a look at those of others; the name begins with the time of the start."""

    def __init__(self, folder: Path) -> None:
        """Put the file there, locked before it has its name: nobody may take it for a stale one."""
        self.folder = folder
        self.name = f"{PREFIX}{time.time_ns():020d}-{os.getpid()}"
        hidden_path = folder / f".{self.name}"
        self.file = hidden_path.open("w+")  # never closed: the lock ends with the process, however that ends
        fcntl.flock(self.file, fcntl.LOCK_EX)
        self.set_state(STARTING)
        hidden_path.rename(folder / self.name)

    def set_state(self, state: str) -> None:
        """Tell the others how far this process is."""
        os.pwrite(self.file.fileno(), f"{state:8}".encode(), 0)

    def live_others(self) -> dict[str, str]:
        """Give the live ones by name with their states; stale ones are removed."""
        states: dict[str, str] = {}
        for name in os.listdir(self.folder):
            if name.startswith(PREFIX) and name != self.name:
                state = self._read_state(self.folder / name)
                if state:
                    states[name] = state
        return states

    def _read_state(self, path: Path) -> str:
        """Read one file; nothing if nobody holds its lock. OSError where it can't be told."""
        try:
            file = path.open()
        except FileNotFoundError:  # it may go at any time
            return ""
        with file:
            try:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)  # shared: two that look must not meet
            except BlockingIOError:
                return file.read().strip() or STARTING
            with contextlib.suppress(OSError):
                path.unlink()
        return ""

    def remove(self) -> None:
        """Take the file away at an orderly end."""
        with contextlib.suppress(OSError):
            (self.folder / self.name).unlink()
        self.file.close()
