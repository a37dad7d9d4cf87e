"""What the processes of an upgrade tell each other about effects that may have run.

While another process of this gateway lives, each appends a line to a file of its own in their shared folder
before the first byte of an attempt whose effect may not simply be repeated, and reads those of the others.
Each writes its line before it reads, so that two processes can't both miss the other's attempt.

The first line is the number of the file; `ops/effect_lines.py` has the form of the others. Half a line is
not read until the rest is there, and a line that can't be read is skipped.

Bounds. Above MAX_FILE_BYTES a new file is written from the tables of this process, which are bounded.
"""

import contextlib
import os
from collections.abc import Iterable
from pathlib import Path

from hitchtiller.log import logger
from hitchtiller.ops import effect_lines
from hitchtiller.routing.effects import Effects, UnconfirmedEffect
from hitchtiller.routing.request_ids import RequestIds

PREFIX = "effects-"
MAX_FILE_BYTES = 1_000_000
HEADER_BYTES = 11  # the number of the file among those that its process has written, and a line feed


class SharedEffects:
    """This process's file, and what was read of those of the others."""

    def __init__(self, folder: Path, name: str, effects: Effects, request_ids: RequestIds) -> None:
        """Share the two tables; `name` is the name of this process's marker file."""
        self.folder, self.path = folder, folder / f"{PREFIX}{name}"
        self.effects, self.request_ids = effects, request_ids
        self.file_descriptor = -1  # of the own file; negative while no other process lives
        # By marker name of a live process: the header of its file when last read, and how much was read.
        self.positions: dict[str, tuple[bytes, int]] = {}
        self.files_written = 0
        self.has_failed = False  # the folder has failed, and that was logged
        self.is_torn = False  # the own file may end in half a line

    @property
    def is_active(self) -> bool:
        """Return whether another process lives."""
        return self.file_descriptor >= 0

    def follow(self, others: Iterable[str]) -> None:
        """Set which other processes live, by the names of their marker files."""
        names = set(others)
        self.read_others()
        for name in [name for name in self.positions if name not in names]:
            del self.positions[name]  # it was read for the last time above
            with contextlib.suppress(OSError):
                (self.folder / f"{PREFIX}{name}").unlink()
        for name in names:
            self.positions.setdefault(name, (b"", 0))
        if names and not self.is_active:
            self._open()
        elif not names and self.is_active:
            self.close()
        self.read_others()

    def has_told(self, name: str) -> bool:
        """Return whether another process has begun to tell what it knows."""
        return (self.folder / f"{PREFIX}{name}").exists()

    def publish_id(self, id: str) -> None:
        """Tell the others that an attempt under an id is about to begin."""
        self._append(effect_lines.id_line(id))

    def publish_key(self, class_name: str, key: str, effect: UnconfirmedEffect) -> None:
        """Tell the others that an attempt of a keyed effect is about to begin."""
        self._append(effect_lines.key_line(class_name, key, effect))

    def read_others(self) -> None:
        """Read what the others have told since the last call."""
        for name, (known_header, offset) in list(self.positions.items()):
            try:
                with (self.folder / f"{PREFIX}{name}").open("rb") as file:
                    header = file.read(HEADER_BYTES)
                    if header != known_header:  # it was written anew
                        offset = HEADER_BYTES
                    file.seek(offset)
                    data = file.read()
            except FileNotFoundError:  # it has nothing to tell yet, or is of a version that tells nothing
                continue
            except OSError as error:
                self._log_failure(error)
                continue
            end = data.rfind(b"\n") + 1
            self.positions[name] = (header, offset + end)
            for line in data[:end].split(b"\n"):
                self._learn(line)

    def close(self) -> None:
        """Stop telling; the file stays for the others, which remove it once they have read it."""
        if self.is_active:
            os.close(self.file_descriptor)
            self.file_descriptor = -1
            if not self.positions:
                with contextlib.suppress(OSError):
                    self.path.unlink()

    def _open(self) -> None:
        """Write all that this process knows to a new file, in place of the one there is."""
        self.files_written += 1
        lines = [b"%0*d\n" % (HEADER_BYTES - 1, self.files_written)]
        lines += [effect_lines.id_line(f"{number:016x}") for number in self.request_ids.attempts]
        lines += [effect_lines.key_line(*name, effect) for name, effect in self.effects.unconfirmed.items()]
        hidden_path = self.path.with_name(f".{self.path.name}")
        descriptor = -1
        try:
            descriptor = os.open(hidden_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
            _write(descriptor, b"".join(lines))
            hidden_path.rename(self.path)
        except OSError as error:
            self._log_failure(error)
            if descriptor >= 0:
                os.close(descriptor)
            return
        if self.is_active:
            os.close(self.file_descriptor)
        self.file_descriptor, self.is_torn = descriptor, False

    def _append(self, line: bytes) -> None:
        if not self.is_active:
            return
        try:
            if os.fstat(self.file_descriptor).st_size > MAX_FILE_BYTES:
                self._open()
            # The line feed ends half a line that a failed write has left: this line must not continue it.
            _write(self.file_descriptor, b"\n" + line if self.is_torn else line)
            self.is_torn = False
        except OSError as error:
            self.is_torn = True
            self._log_failure(error)

    def _learn(self, line: bytes) -> None:
        match effect_lines.read_line(line):
            case effect_lines.ToldId(id):
                self.request_ids.learn(id)
            case effect_lines.ToldKey(class_name, key, effect):
                self.effects.learn(class_name, key, effect)

    def _log_failure(self, error: OSError) -> None:
        if not self.has_failed:
            self.has_failed = True
            logger.warning("effects can't be shared with the other version: {}", error.strerror or error)


def _write(descriptor: int, data: bytes) -> None:
    """Write all of it; OSError if that fails."""
    while data:
        data = data[os.write(descriptor, data) :]
