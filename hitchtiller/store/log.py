"""The purge log: entries become durable by group commit, and the file is rewritten when it has grown.

A purge is durable before its `durable` callback is called. At most one write with its fsync is in progress;
entries added meanwhile go with the next one. The file grows by at most GROWTH_BYTES beyond what the purges in
force need.
"""

from collections.abc import Callable
from dataclasses import replace

from hitchtiller.store import format as fmt
from hitchtiller.store.files import Files, random_salt
from hitchtiller.store.jobs import LOG_LANE, Jobs
from hitchtiller.store.purges import Purges
from hitchtiller.store.recover import LOG_NAME, LOG_TEMP_NAME
from hitchtiller.store.suspect import SavedProof

GROWTH_BYTES = 1 << 20
MAX_TIME_MS = 1 << 52


class PurgeLog:
    """Appends entries to the log; `on_error` is called with the first error, and no more is written."""

    def __init__(
        self, files: Files, jobs: Jobs, purges: Purges, kept: SavedProof, on_error: Callable[[OSError], None]
    ) -> None:
        """Begin a new file with the entries in force, which leaves a torn end of the old one behind."""
        self.files, self.jobs, self.purges, self.saved_proof, self.on_error = (
            files,
            jobs,
            purges,
            kept,
            on_error,
        )
        self.salt, self.end, self.base_end = 0, 0, 0
        self.pending: list[tuple[fmt.LogEntry, Callable[[], None] | None]] = []
        self.writing = self.failed = False
        self.needs_rewrite = True  # the next write replaces the file

    def add(self, entry: fmt.LogEntry, durable: Callable[[], None] | None = None) -> None:
        """Append an entry; `durable` is called after an fsync has covered it, and never if that fails."""
        self.pending.append((entry, durable))
        self.write_pending()

    def write_pending(self) -> None:
        """Write the waiting entries, unless a write is in progress."""
        if self.writing or self.failed or not self.pending:
            return
        batch, self.pending = self.pending, []
        rewrite = self.needs_rewrite or self.end - self.base_end > GROWTH_BYTES
        if rewrite:
            self.salt, self.end = random_salt(), fmt.LOG_HEAD_BYTES
            entries = [*self.in_force(), *(entry for entry, _ in batch)]
        else:
            entries = [entry for entry, _ in batch]
        start, entry_bytes = self.end, list[bytes]()
        for entry in entries:
            entry_bytes.append(fmt.write_log_entry(entry, self.salt, self.end))
            self.end += fmt.LOG_ENTRY.size
        data = b"".join(entry_bytes)
        if rewrite:
            data, start, self.base_end = fmt.write_log_head(self.salt) + data, 0, self.end
        self.writing, self.needs_rewrite = True, False

        def run() -> None:
            if rewrite:
                self.files.remove(LOG_TEMP_NAME)
                self.files.write(LOG_TEMP_NAME, 0, data)
                self.files.sync(LOG_TEMP_NAME)
                self.files.rename(LOG_TEMP_NAME, LOG_NAME)
                self.files.sync_folder()
            else:
                self.files.write(LOG_NAME, start, data)
                self.files.sync(LOG_NAME)

        def done(_: object, error: BaseException | None) -> None:
            self.writing = False
            if error:
                self.failed = True
                self.on_error(error if isinstance(error, OSError) else OSError(str(error)))
                return
            for entry, durable in batch:
                self._record_durable(entry)
                if durable:
                    durable()
            self.write_pending()

        if not self.jobs.submit(LOG_LANE, run, done):  # at most one job is in progress, so the pool is closed
            self.writing = False
            self.failed = True

    def in_force(self) -> list[fmt.LogEntry]:
        """Return the entries that the next start needs, without those that wait to be written.

        The epoch and the watermark are the durable ones; newer ones are in `pending` and follow.
        """
        epoch, followed_ms, gap_end_ms = (
            self.saved_proof.epoch,
            self.saved_proof.followed_ms,
            self.saved_proof.gap_end_ms,
        )
        entries = [fmt.LogEntry(fmt.EPOCH, epoch, int(min(gap_end_ms, MAX_TIME_MS)))] if epoch else []
        if self.purges.floor > 0:
            entries.append(fmt.LogEntry(fmt.FLOOR, epoch, int(self.purges.floor)))
        entries += [
            fmt.LogEntry(fmt.PURGE_GROUP, epoch, int(at_ms), group)
            for group, at_ms in self.purges.groups.items()
        ]
        entries += [
            fmt.LogEntry(fmt.PURGE_OBJECT, epoch, int(at_ms), -1, key)
            for key, at_ms in self.purges.objects.items()
        ]
        if followed_ms:
            entries.append(fmt.LogEntry(fmt.FOLLOWED, epoch, int(followed_ms)))
        return entries

    def _record_durable(self, entry: fmt.LogEntry) -> None:
        """Record the epoch or the watermark of an entry that has become durable."""
        if entry.kind == fmt.EPOCH:
            self.saved_proof = replace(self.saved_proof, epoch=entry.epoch, gap_end_ms=float(entry.at_ms))
        elif entry.kind == fmt.FOLLOWED:
            self.saved_proof = replace(self.saved_proof, followed_ms=float(entry.at_ms))
