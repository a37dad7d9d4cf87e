"""The purge log: durable before a purge is acknowledged inside, group commit, rewritten when it has grown.

One write and one fsync are under way at most; what comes meanwhile goes with the next. Bound: GROWN bytes of
file beyond what the purges in force need.
"""

import secrets
from collections.abc import Callable
from dataclasses import replace

from hitchtiller.store import format as fmt
from hitchtiller.store.files import Files
from hitchtiller.store.jobs import LOG_LANE, Jobs
from hitchtiller.store.purges import Purges
from hitchtiller.store.recover import LOG, LOG_NEW
from hitchtiller.store.suspect import SavedProof

GROWN = 1 << 20
MOST_MS = 1 << 52


class PurgeLog:
    """Appends entries; `failed` hears of the first error, after which nothing is written any more."""

    def __init__(
        self, files: Files, jobs: Jobs, purges: Purges, kept: SavedProof, failed: Callable[[OSError], None]
    ) -> None:
        """Begin with a new file of what is in force: a torn end of the old one is left behind that way."""
        self.files, self.jobs, self.purges, self.kept, self.failed = files, jobs, purges, kept, failed
        self.salt, self.end, self.base = 0, 0, 0
        self.waiting: list[tuple[fmt.LogEntry, Callable[[], None] | None]] = []
        self.busy = self.broken = False
        self.fresh = True  # the next write makes the file anew

    def add(self, entry: fmt.LogEntry, durable: Callable[[], None] | None = None) -> None:
        """Append an entry; `durable` is called once an fsync has covered it, and never if that fails."""
        self.waiting.append((entry, durable))
        self.go()

    def go(self) -> None:
        """Write what waits, unless a write is under way."""
        if self.busy or self.broken or not self.waiting:
            return
        batch, self.waiting = self.waiting, []
        anew = self.fresh or self.end - self.base > GROWN
        if anew:
            self.salt, self.end = secrets.randbits(64), fmt.LOG_HEAD
            entries = [*self.in_force(), *(entry for entry, _ in batch)]
        else:
            entries = [entry for entry, _ in batch]
        start, pieces = self.end, list[bytes]()
        for entry in entries:
            pieces.append(fmt.write_log_entry(entry, self.salt, self.end))
            self.end += fmt.LOG_ENTRY.size
        data = b"".join(pieces)
        if anew:
            data, start, self.base = fmt.write_log_head(self.salt) + data, 0, self.end
        self.busy, self.fresh = True, False

        def run() -> None:
            if anew:
                self.files.remove(LOG_NEW)
                self.files.write(LOG_NEW, 0, data)
                self.files.sync(LOG_NEW)
                self.files.rename(LOG_NEW, LOG)
                self.files.sync_folder()
            else:
                self.files.write(LOG, start, data)
                self.files.sync(LOG)

        def done(_: object, error: BaseException | None) -> None:
            self.busy = False
            if error:
                self.broken = True
                self.failed(error if isinstance(error, OSError) else OSError(str(error)))
                return
            for entry, durable in batch:
                self._note(entry)
                if durable:
                    durable()
            self.go()

        if not self.jobs.submit(LOG_LANE, run, done):  # one is under way at most, so this is a closed pool
            self.busy = False
            self.broken = True

    def in_force(self) -> list[fmt.LogEntry]:
        """Give all that has to be known after a start, without what waits.

        The era and watermark are those that were durable: newer ones are in `waiting` and follow.
        """
        epoch, followed, gap = self.kept.epoch, self.kept.followed_ms, self.kept.gap_end_ms
        entries = [fmt.LogEntry(fmt.ERA, epoch, int(min(gap, MOST_MS)))] if epoch else []
        if self.purges.floor > 0:
            entries.append(fmt.LogEntry(fmt.FLOOR, epoch, int(self.purges.floor)))
        entries += [
            fmt.LogEntry(fmt.PURGE_GROUP, epoch, int(at), group) for group, at in self.purges.groups.items()
        ]
        entries += [
            fmt.LogEntry(fmt.PURGE_OBJECT, epoch, int(at), -1, key) for key, at in self.purges.objects.items()
        ]
        if followed:
            entries.append(fmt.LogEntry(fmt.FOLLOWED, epoch, int(followed)))
        return entries

    def _note(self, entry: fmt.LogEntry) -> None:
        """Keep in mind what is durable now."""
        if entry.kind == fmt.ERA:
            self.kept = replace(self.kept, epoch=entry.epoch, gap_end_ms=float(entry.at_ms))
        elif entry.kind == fmt.FOLLOWED:
            self.kept = replace(self.kept, followed_ms=float(entry.at_ms))
