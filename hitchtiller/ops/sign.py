"""Marker of a live process in a folder shared by two versions: a file kept locked until it ends."""

import contextlib
import fcntl
import os
import re
import time
from collections.abc import Mapping
from pathlib import Path

PREFIX = "gateway-"
STARTING, READY = "starting", "ready"
START_NUMBER = re.compile(rf"{PREFIX}([0-9]{{20}})-")


class ProcessMarker:
    """This process's marker file and access to those of others; their names sort by the time of the start."""

    def __init__(self, folder: Path) -> None:
        """Create the file, locked before it gets its name so that no process takes it for a stale one."""
        self.folder = folder
        self.name = f"{PREFIX}{self._start_number():020d}-{os.getpid()}"
        hidden_path = folder / f".{self.name}"
        self.file = hidden_path.open("w+")  # kept open: the lock ends with the process, however that ends
        fcntl.flock(self.file, fcntl.LOCK_EX)
        self.set_state(STARTING)
        hidden_path.rename(folder / self.name)

    def _start_number(self) -> int:
        """Return the time in nanoseconds, or more if the clock was set back since another process started."""
        numbers = [START_NUMBER.match(name) for name in os.listdir(self.folder)]
        return max(time.time_ns(), *(int(number[1]) + 1 for number in numbers if number), 0)

    def set_state(self, state: str) -> None:
        """Publish the state of this process to the others."""
        os.pwrite(self.file.fileno(), f"{state:8}".encode(), 0)

    def find_others(self, known: Mapping[str, str] | None = None) -> dict[str, str]:
        """Return the other live processes' states by marker name, and remove stale files.

        A process whose state can't be read has the one in `known`. OSError if the folder can't be read.
        """
        states: dict[str, str] = {}
        for name in os.listdir(self.folder):
            if name.startswith(PREFIX) and name != self.name:
                try:
                    state = self._read_state(self.folder / name)
                except OSError:  # out of descriptors, or no file of a gateway
                    state = (known or {}).get(name, "")
                if state:
                    states[name] = state
        return states

    def _read_state(self, path: Path) -> str:
        """Return the state in a file, or "" if no process holds its lock. OSError if that is unknown."""
        try:
            file = path.open(errors="replace")
        except FileNotFoundError:  # the file may be removed at any time
            return ""
        with file:
            try:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)  # shared: readers don't block each other
            except BlockingIOError:
                return file.read().strip() or STARTING
            with contextlib.suppress(OSError):
                path.unlink()
        return ""

    def remove(self) -> None:
        """Remove the file at an orderly end."""
        with contextlib.suppress(OSError):
            (self.folder / self.name).unlink()
        self.file.close()
