"""Opens the store folder, runs the disk tier on it and releases it in order; a folder has one owner.

Runs as a greenlet of the event loop. All calls that touch the folder run as jobs, so a folder that hangs
delays nothing else. The states are: waiting for the lock, loading, serving, releasing. A successor process
(an upgrade) gets the lock when this process releases it, and serves from memory until then.
"""

import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from greenlet import getcurrent

from hitchtiller.front.server import Front
from hitchtiller.log import logger
from hitchtiller.sched import Scheduler, now_ms
from hitchtiller.store import recover
from hitchtiller.store.compact import Compactor
from hitchtiller.store.disk import Disk, Options
from hitchtiller.store.files import OsFiles
from hitchtiller.store.health import OFF
from hitchtiller.store.jobs import LOG_LANE, WRITE_LANE, ThreadJobs
from hitchtiller.store.space import Rate
from hitchtiller.store.tier import Tier

TICK_MS = 20.0
LOCK_MS, AGAIN_MS = 200.0, 5_000.0  # delay between two tries for the lock, and for a folder that failed
STEP_MS = 2.0  # of the event loop, that compaction may take in one tick
BUSY_OPEN = 8  # open requests from which on compaction slows down


class Keeper:
    """Manages the store folder of one tier."""

    def __init__(
        self,
        sched: Scheduler,
        tier: Tier,
        front: Front,
        folder: Path,
        options: Options,
        jobs: ThreadJobs,
        rate: Rate,
        open_files: Callable[[Path], OsFiles] = OsFiles,
    ) -> None:
        """Prepare to manage a folder; nothing is opened before `run`."""
        self.sched, self.tier, self.front, self.folder = sched, tier, front, folder
        self.options, self.jobs, self.rate, self.open_files = options, jobs, rate, open_files
        self.files: OsFiles | None = None
        self.disk: Disk | None = None
        self.compactor: Compactor | None = None
        self.synced_ms = self.checked_ms = 0.0
        self.changes = 0

    def run(self) -> None:
        """Open, serve and release the folder, over and over."""
        while True:
            wait = self._serve() if self._wanted() else LOCK_MS
            self.sched.sleep(wait)

    def _wanted(self) -> bool:
        return not self.front.leave.superseded and self.tier.proof.begun

    def _call(self, run: Callable[[], Any], lane: str = LOG_LANE) -> Any:
        """Run a call outside the event loop and wait for it in this greenlet; raise its error here."""
        me = getcurrent()
        while not self.jobs.submit(lane, run, lambda result, error: self.sched.wake(me, (result, error))):
            self.sched.sleep(TICK_MS)
        result, error = self.sched.park()
        if error:
            raise error
        return result

    def _open(self) -> OsFiles | None:
        files = self.open_files(self.folder)
        if files.lock():
            return files
        files.close()
        return None

    def _serve(self) -> float:
        """Own the folder while this process serves; return the delay before the next try."""
        try:
            files = self._call(self._open)
            if files is None:
                return LOCK_MS
            self.files = files
            begun = time.monotonic()
            found = self._call(partial(recover.load, files))
        except (OSError, ValueError) as error:
            logger.warning("cannot open the store folder {}: {}", self.folder, error)
            self._close()
            return AGAIN_MS
        for note in found.notes:
            logger.warning("store: {}", note)
        took = (time.monotonic() - begun) * 1000.0
        disk = self.disk = Disk(files, self.jobs, self.options, found, self.tier.proof)
        self.compactor = Compactor(disk, self.tier.sketch.count, self.rate)
        self.tier.attach(disk)
        logger.info(
            "store open: {} parts in {} segments, checkpoint {}, {} records read, {:.0f} ms",
            len(disk.index), len(disk.space.segments), found.checkpoint, found.scanned, took,
        )  # fmt: skip
        self.synced_ms = self.checked_ms = now_ms()
        while self._wanted() and disk.health.state != OFF:
            self.tick(now_ms())
            self.sched.sleep(TICK_MS)
        self._leave(disk)
        return AGAIN_MS if disk.health.state == OFF else LOCK_MS

    def tick(self, now: float) -> None:
        """Do the work that is due: an fsync, a slice of a checkpoint, some compaction."""
        disk, compactor = self.disk, self.compactor
        if disk is None or compactor is None:
            return
        if now - self.synced_ms >= self.options.sync_ms or now < self.synced_ms:
            self.synced_ms = now
            disk.sync()
        if disk.checkpoint_slices is not None:
            disk.step_checkpoint()
        elif now - self.checked_ms >= self.options.checkpoint_ms or now < self.checked_ms:
            self.checked_ms = now
            if disk.counts.puts != self.changes and disk.begin_checkpoint():
                self.changes = disk.counts.puts
        busy = len(self.tier.engine.open) >= BUSY_OPEN
        until = time.monotonic() + STEP_MS / 1000.0
        while compactor.step(now, busy) and not compactor.reading and not compactor.copies_in_progress:
            if time.monotonic() > until:
                break

    def _leave(self, disk: Disk) -> None:
        """Wait for queued records, write a checkpoint, and release the folder."""
        self.tier.detach()
        self._call(lambda: None, WRITE_LANE)  # queued records belong in the checkpoint
        if disk.health.writes:
            disk.mark_followed()
            disk.save()
        disk.close("left")
        for lane in (WRITE_LANE, LOG_LANE):
            self._call(lambda: None, lane)
        logger.info("store left: {} parts", len(disk.index))
        self._close()

    def _close(self) -> None:
        self.disk = self.compactor = None
        if self.files:
            self.files.close()
            self.files = None

    def finish(self) -> None:
        """Write what is queued and end the threads, within 1.5 s; called at the end of the process."""
        disk = self.disk
        if disk and not disk.closed and disk.health.writes:
            self.jobs.settle(0.5)  # queued records belong in the checkpoint
            disk.mark_followed()
            disk.save()
        self.jobs.close(1.0)
        self._close()
