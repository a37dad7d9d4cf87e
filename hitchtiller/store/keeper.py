"""Opens the folder, keeps the disk tier going, and gives the folder up in order: one owner at a time.

A greenlet of the loop; whatever touches the folder runs as a job, so a folder that stalls holds up nothing
but itself. States: waiting for the lock, loading, serving, leaving. A successor (an upgrade) gets the lock
when this process lets go, and serves from memory until then.
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
LOCK_MS, AGAIN_MS = 200.0, 5_000.0  # how often the lock, and a folder that failed, is tried
STEP_MS = 2.0  # of the loop that one tick may take
BUSY_OPEN = 8  # open requests from which on compaction gives way


class Keeper:
    """One folder for one tier."""

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
        """Look after a folder; nothing is opened before `run`."""
        self.sched, self.tier, self.front, self.folder = sched, tier, front, folder
        self.options, self.jobs, self.rate, self.open_files = options, jobs, rate, open_files
        self.files: OsFiles | None = None
        self.disk: Disk | None = None
        self.compactor: Compactor | None = None
        self.synced_ms = self.checked_ms = 0.0
        self.changes = 0

    def run(self) -> None:
        """Open, serve and leave, again and again."""
        while True:
            wait = self._serve() if self._wanted() else LOCK_MS
            self.sched.sleep(wait)

    def _wanted(self) -> bool:
        return not self.front.leave.superseded and self.tier.proof.begun

    def _call(self, run: Callable[[], Any], lane: str = LOG_LANE) -> Any:
        """Run a call off the loop and wait for it in this greenlet; its error is raised here."""
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
        """Own the folder while this process serves; gives how long to wait before trying again."""
        try:
            files = self._call(self._open)
            if files is None:
                return LOCK_MS
            self.files = files
            begun = time.monotonic()
            found = self._call(partial(recover.load, files))
        except (OSError, ValueError) as error:
            logger.warning("store {} can't be opened: {}", self.folder, error)
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
        """Do what is due: fsync, a slice of a checkpoint, some compaction."""
        disk, compactor = self.disk, self.compactor
        if disk is None or compactor is None:
            return
        if now - self.synced_ms >= self.options.sync_ms or now < self.synced_ms:
            self.synced_ms = now
            disk.sync()
        if disk.slices is not None:
            disk.step_checkpoint()
        elif now - self.checked_ms >= self.options.checkpoint_ms or now < self.checked_ms:
            self.checked_ms = now
            if disk.counts.puts != self.changes and disk.begin_checkpoint():
                self.changes = disk.counts.puts
        busy = len(self.tier.engine.open) >= BUSY_OPEN
        until = time.monotonic() + STEP_MS / 1000.0
        while compactor.step(now, busy) and not compactor.reading and not compactor.open:
            if time.monotonic() > until:
                break

    def _leave(self, disk: Disk) -> None:
        """Write a checkpoint, wait for what is queued, and let go of the folder."""
        self.tier.detach()
        self._call(lambda: None, WRITE_LANE)  # what is queued belongs into the checkpoint
        if disk.health.writes:
            disk.mark_followed()
            disk.save()
        disk.end("left")
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
        """End the threads at the end of the process; what is queued is written, within 1.5 s."""
        disk = self.disk
        if disk and not disk.closed and disk.health.writes:
            self.jobs.settle(0.5)  # what is queued belongs into the checkpoint
            disk.mark_followed()
            disk.save()
        self.jobs.close(1.0)
        self._close()
