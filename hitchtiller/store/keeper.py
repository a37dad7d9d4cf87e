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
from hitchtiller.store.disk import Disk, DiskOptions
from hitchtiller.store.files import OsFiles
from hitchtiller.store.health import OFF
from hitchtiller.store.jobs import LOG_LANE, WRITE_LANE, ThreadJobs
from hitchtiller.store.space import TokenBucket
from hitchtiller.store.tier import Tier

TICK_MS = 20.0
LOCK_RETRY_MS, FAILURE_RETRY_MS = 200.0, 5_000.0  # between tries
COMPACTION_TICK_MS = 2.0  # of the event loop per tick, at most
BUSY_OPEN_REQUESTS = 8  # open requests from which on compaction slows down


class FolderKeeper:
    """Manages the store folder of one tier."""

    def __init__(
        self,
        sched: Scheduler,
        tier: Tier,
        front: Front,
        folder: Path,
        options: DiskOptions,
        jobs: ThreadJobs,
        rate: TokenBucket,
        open_files: Callable[[Path], OsFiles] = OsFiles,
    ) -> None:
        """Prepare to manage a folder; nothing is opened before `run`."""
        self.sched, self.tier, self.front, self.folder = sched, tier, front, folder
        self.options, self.jobs, self.rate, self.open_files = options, jobs, rate, open_files
        self.files: OsFiles | None = None
        self.disk: Disk | None = None
        self.compactor: Compactor | None = None
        self.last_sync_ms = self.last_checkpoint_ms = 0.0
        self.checkpointed_puts = 0

    def run(self) -> None:
        """Open, serve and release the folder, over and over."""
        while True:
            retry_ms = self._own_folder() if self._may_own_folder() else LOCK_RETRY_MS
            self.sched.sleep(retry_ms)

    def _may_own_folder(self) -> bool:
        return not self.front.leave.superseded and self.tier.proof.begun

    def _run_job(self, run: Callable[[], Any], lane: str = LOG_LANE) -> Any:
        """Run a call outside the event loop and wait for it in this greenlet; raise its error here."""
        current = getcurrent()
        while not self.jobs.submit(
            lane, run, lambda result, error: self.sched.wake(current, (result, error))
        ):
            self.sched.sleep(TICK_MS)
        result, error = self.sched.park()
        if error:
            raise error
        return result

    def _lock_folder(self) -> OsFiles | None:
        files = self.open_files(self.folder)
        if files.lock():
            return files
        files.close()
        return None

    def _own_folder(self) -> float:
        """Own the folder while this process serves; return the delay before the next try."""
        try:
            files = self._run_job(self._lock_folder)
            if files is None:
                return LOCK_RETRY_MS
            self.files = files
            start_s = time.monotonic()
            recovered = self._run_job(partial(recover.load, files))
        except (OSError, ValueError) as error:
            logger.warning("store {} can't be opened: {}", self.folder, error)
            self._close_files()
            return FAILURE_RETRY_MS
        for note in recovered.notes:
            logger.warning("store: {}", note)
        load_ms = (time.monotonic() - start_s) * 1000.0
        disk = self.disk = Disk(files, self.jobs, self.options, recovered, self.tier.proof)
        self.compactor = Compactor(disk, self.tier.sketch.count, self.rate)
        self.tier.attach(disk)
        logger.info(
            "store open: {} parts in {} segments, checkpoint {}, {} records read, {:.0f} ms",
            len(disk.index), len(disk.space.segments), recovered.checkpoint, recovered.records_read, load_ms,
        )  # fmt: skip
        self.last_sync_ms = self.last_checkpoint_ms = now_ms()
        while self._may_own_folder() and disk.health.state != OFF:
            self.tick(now_ms())
            self.sched.sleep(TICK_MS)
        self._release_folder(disk)
        return FAILURE_RETRY_MS if disk.health.state == OFF else LOCK_RETRY_MS

    def tick(self, now: float) -> None:
        """Do the work that is due: an fsync, a slice of a checkpoint, some compaction."""
        disk, compactor = self.disk, self.compactor
        if disk is None or compactor is None:
            return
        if now - self.last_sync_ms >= self.options.sync_ms or now < self.last_sync_ms:
            self.last_sync_ms = now
            disk.sync()
        if disk.checkpoint_slices is not None:
            disk.step_checkpoint()
        elif now - self.last_checkpoint_ms >= self.options.checkpoint_ms or now < self.last_checkpoint_ms:
            self.last_checkpoint_ms = now
            if disk.counts.puts != self.checkpointed_puts and disk.begin_checkpoint():
                self.checkpointed_puts = disk.counts.puts
        busy = len(self.tier.engine.open_exchanges) >= BUSY_OPEN_REQUESTS
        deadline_s = time.monotonic() + COMPACTION_TICK_MS / 1000.0
        while compactor.step(now, busy) and not compactor.reading and not compactor.copies_in_progress:
            if time.monotonic() > deadline_s:
                break

    def _release_folder(self, disk: Disk) -> None:
        """Wait for queued records, write a checkpoint, and release the folder."""
        self.tier.detach()
        self._run_job(lambda: None, WRITE_LANE)  # queued records belong in the checkpoint
        if disk.health.can_write:
            disk.mark_followed()
            disk.write_checkpoint()
        disk.close("left")
        for lane in (WRITE_LANE, LOG_LANE):
            self._run_job(lambda: None, lane)
        logger.info("store left: {} parts", len(disk.index))
        self._close_files()

    def _close_files(self) -> None:
        self.disk = self.compactor = None
        if self.files:
            self.files.close()
            self.files = None

    def finish(self) -> None:
        """Write what is queued and end the threads, within 1.5 s; called at the end of the process."""
        disk = self.disk
        if disk and not disk.closed and disk.health.can_write:
            self.jobs.wait_until_idle(0.5)  # queued records belong in the checkpoint
            disk.mark_followed()
            disk.write_checkpoint()
        self.jobs.close(1.0)
        self._close_files()
