"""How far the disk tier still works: it gives itself up step by step, never a step back in one life.

    WELL -> READ_ONLY (a write, a truncation or an fsync failed) -> OFF (reads fail beyond SPOILT segments, no
    folder)

A failed fsync is never trusted afterwards: the kernel may have dropped the pages and report the next one as
good. A segment with a failed read is not read again.
"""

import errno

WELL, READ_ONLY, OFF = "well", "read-only", "off"
SPOILT = 3  # segments with failed reads from which on the folder is given up
GONE = (errno.ENOENT, errno.ENOTDIR, errno.ESTALE, errno.EBADF, errno.ENODEV)


class Health:
    """Takes errors, gives the state."""

    def __init__(self) -> None:
        """Start well."""
        self.state, self.reason = WELL, ""
        self.spoilt: set[int] = set()
        self.errors: dict[str, int] = {}

    def _count(self, what: str, error: OSError) -> str:
        name = errno.errorcode.get(error.errno or 0, "EIO")
        code = f"{what}-{name}"
        self.errors[code] = self.errors.get(code, 0) + 1
        return code

    def _step(self, state: str, reason: str) -> bool:
        order = (WELL, READ_ONLY, OFF)
        if order.index(state) <= order.index(self.state):
            return False
        self.state, self.reason = state, reason
        return True

    def wrote(self, error: OSError, what: str = "write") -> bool:
        """Take a failed write, fsync, rename or unlink; True if the state changed."""
        code = self._count(what, error)
        return self._step(OFF if error.errno in GONE else READ_ONLY, code)

    def read(self, segment: int, error: OSError) -> bool:
        """Take a failed read: that segment is left; True if the state changed."""
        code = self._count("read", error)
        self.spoilt.add(segment)
        return self._step(OFF, code) if len(self.spoilt) >= SPOILT else False

    def ended(self, reason: str) -> bool:
        """Give the folder up: a successor has it, or it is no store."""
        return self._step(OFF, reason)

    @property
    def writes(self) -> bool:
        """Tell whether anything may be written."""
        return self.state == WELL

    def reads(self, segment: int) -> bool:
        """Tell whether a segment may be read."""
        return self.state != OFF and segment not in self.spoilt
