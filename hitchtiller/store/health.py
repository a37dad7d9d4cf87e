"""The state of the disk tier: it degrades step by step and never recovers while the process runs.

    HEALTHY -> READ_ONLY (a write, truncation or fsync failed) -> OFF (reads failed in
    MAX_UNREADABLE_SEGMENTS segments, or the folder is gone)

After a failed fsync no later one is trusted: the kernel may have dropped the pages, and then reports the next
fsync as successful. A segment with a failed read is not read again.
"""

import errno

HEALTHY, READ_ONLY, OFF = "well", "read-only", "off"
MAX_UNREADABLE_SEGMENTS = 3  # from this number on the folder is no longer used
FOLDER_LOST_ERRNOS = (errno.ENOENT, errno.ENOTDIR, errno.ESTALE, errno.EBADF, errno.ENODEV)


class Health:
    """The state of the disk tier, derived from the errors of its file calls."""

    def __init__(self) -> None:
        """Start with reads and writes allowed."""
        self.state, self.reason = HEALTHY, ""
        self.unreadable_segments: set[int] = set()
        self.errors: dict[str, int] = {}

    def _count(self, operation: str, error: OSError) -> str:
        errno_name = errno.errorcode.get(error.errno or 0, "EIO")
        code = f"{operation}-{errno_name}"
        self.errors[code] = self.errors.get(code, 0) + 1
        return code

    def _degrade(self, state: str, reason: str) -> bool:
        degradation = (HEALTHY, READ_ONLY, OFF)
        if degradation.index(state) <= degradation.index(self.state):
            return False
        self.state, self.reason = state, reason
        return True

    def on_write_error(self, error: OSError, operation: str = "write") -> bool:
        """Record a failed write, fsync, rename or unlink; return whether the state changed."""
        code = self._count(operation, error)
        return self._degrade(OFF if error.errno in FOLDER_LOST_ERRNOS else READ_ONLY, code)

    def on_read_error(self, segment: int, error: OSError) -> bool:
        """Record a failed read; return whether the state changed.

        The segment is not read again.
        """
        code = self._count("read", error)
        self.unreadable_segments.add(segment)
        return self._degrade(OFF, code) if len(self.unreadable_segments) >= MAX_UNREADABLE_SEGMENTS else False

    def give_up(self, reason: str) -> bool:
        """Stop using the folder, for example for a successor; return whether the state changed."""
        return self._degrade(OFF, reason)

    @property
    def can_write(self) -> bool:
        """Return whether the folder may be written."""
        return self.state == HEALTHY

    def can_read(self, segment: int) -> bool:
        """Return whether a segment may be read."""
        return self.state != OFF and segment not in self.unreadable_segments
