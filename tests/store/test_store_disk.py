"""The disk tier on a folder with planned errors, and through crashes, compared with a plain model."""

import errno
import random
from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from tiers import SMALL, START, part

from hitchtiller.store import format as fmt
from hitchtiller.store import recover
from hitchtiller.store.compact import Compactor
from hitchtiller.store.disk import Disk, DiskOptions
from hitchtiller.store.files import OsFiles
from hitchtiller.store.health import OFF, READ_ONLY
from hitchtiller.store.index import hash_part
from hitchtiller.store.jobs import InlineJobs
from hitchtiller.store.space import TokenBucket
from hitchtiller.store.suspect import Proof
from standins.crashpoints import Run, point
from standins.files import Crash, SimFiles
from standins.truth import make_body

FAST = TokenBucket(1e12, 1e12, 1e12)


def open_disk(files: SimFiles | OsFiles, now: float = START, options: DiskOptions = SMALL) -> Disk:
    found = recover.load(files)
    proof = Proof(found.saved_proof, 6000.0, 500.0)
    disk = Disk(files, InlineJobs(), options, found, proof)
    proof.begin(now, 0.0)
    disk.mark_epoch()
    return disk


def test_a_copy_whose_class_has_a_very_long_name_is_not_written_and_others_are() -> None:
    """The write failed, and the disk tier took the folder for a bad one."""
    files = SimFiles(random.Random(1))
    disk = open_disk(files)
    assert not disk.put(part(1, class_name="c" * 200, epoch=disk.log.saved_proof.epoch), b"x")
    assert disk.health.can_write and disk.counts.dropped == 1
    assert put(disk, 2)
    assert hash_part(2, 0) in disk


def put(disk: Disk, key: int, size: int = 1000, since: float = START) -> bytes:
    body = make_body(key, 0, 0, size)
    assert disk.put(part(key, since=int(since), epoch=disk.proof.epoch), body)
    return body


def get(disk: Disk, key: int) -> bytes | None:
    got: list[bytes | None] = []
    if not disk.get(key, 0, lambda p, body: got.append(body if p else None)):
        return None
    return got[0]


def fail(code: int, only: str = "") -> object:
    return lambda name: OSError(code, "planned") if only in name else None


def test_stored_parts_are_read_and_recovered_with_and_without_a_checkpoint() -> None:
    files = SimFiles()
    disk = open_disk(files)
    bodies = {key: put(disk, key) for key in range(60)}
    disk.write_checkpoint()
    bodies |= {key: put(disk, key) for key in range(60, 70)}
    disk.sync()
    for use in (True, False):
        found = recover.load(files, use)
        assert len(found.index) == 70 and found.records_read == (10 if use else 70)
        assert sum(s.live for s in found.segments.values()) == sum(
            s.live for s in disk.space.segments.values()
        )
    reopened = open_disk(files)
    assert {key: get(reopened, key) for key in bodies} == bodies


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO, errno.EROFS])
def test_a_failed_write_stops_writes_but_not_reads(code: int) -> None:
    files = SimFiles()
    disk = open_disk(files)
    body = put(disk, 1)
    files.faults["write"] = fail(code, "segment")  # type: ignore[assignment]
    disk.put(part(2, epoch=disk.proof.epoch), b"x")
    assert disk.health.state == READ_ONLY and get(disk, 1) == body and get(disk, 2) is None
    del files.faults["write"]
    assert not disk.put(part(3, epoch=disk.proof.epoch), b"x") and disk.counts.dropped
    assert len(recover.load(files).index) == 1


def test_after_a_failed_fsync_no_later_one_is_trusted() -> None:
    files = SimFiles()
    disk = open_disk(files)
    put(disk, 1)
    files.faults["sync"] = fail(errno.EIO, "segment")  # type: ignore[assignment]
    disk.sync()
    del files.faults["sync"]
    assert disk.health.state == READ_ONLY
    disk.sync()
    assert disk.active and disk.active.durable == 0, "a later fsync that succeeds proves nothing"


def test_after_a_failed_log_write_the_watermark_stops_and_the_next_start_finds_the_gap() -> None:
    files = SimFiles()
    disk = open_disk(files)
    put(disk, 1)
    disk.proof.follow(START + 1000.0)
    disk.mark_followed()
    files.faults["sync"] = fail(errno.EIO, "purges")  # type: ignore[assignment]
    called: list[bool] = []
    disk.purge(1, 3, START + 2000.0, lambda: called.append(True))
    del files.faults["sync"]
    disk.proof.follow(START + 60_000.0)
    disk.mark_followed()
    assert not called and not disk.health.can_write
    reopened = open_disk(files, START + 61_000.0)
    assert reopened.proof.epoch == disk.proof.epoch + 1 and not reopened.proof.proven(
        1, START, START + 61_000.0
    )


def test_a_folder_that_is_gone_switches_the_tier_off(tmp_path: Path) -> None:
    files = OsFiles(tmp_path / "store")
    disk = open_disk(files)
    put(disk, 1)
    disk.health.on_write_error(OSError(errno.ESTALE, "gone"))
    assert disk.health.state == OFF and get(disk, 1) is None
    files.close()


def test_unreadable_segments_are_not_read_again_and_three_switch_the_tier_off() -> None:
    files = SimFiles()
    disk = open_disk(files)
    for key in range(150):
        put(disk, key)
    files.faults["read"] = fail(errno.EIO)  # type: ignore[assignment]
    for key in range(150):
        assert get(disk, key) is None
    assert disk.health.state == OFF and len(disk.health.unreadable_segments) == 3


def test_a_corrupted_byte_loses_only_its_record() -> None:
    files = SimFiles()
    disk = open_disk(files)
    bodies = {key: put(disk, key) for key in range(10)}
    disk.sync()
    name = recover.segment_name(1)
    files.nodes[name].durable[64 + 1200] ^= 1  # in the body of the first record or the head of the second
    wrong = [key for key in bodies if get(disk, key) is None]
    assert len(wrong) == 1 and disk.counts.torn == 1
    found = recover.load(files)
    assert len(found.index) in (9, 10)
    files.nodes[name].durable[64] ^= 1  # the first head: the scan continues behind it
    assert len(recover.load(files).index) >= 8


def test_a_record_within_a_body_is_never_found_by_a_scan() -> None:
    files = SimFiles()
    disk = open_disk(files)
    inner = fmt.write_record(part(666, epoch=1), b"planted", disk.space.next_id, 64).ljust(4096, b"\0")
    disk.put(part(1, epoch=disk.proof.epoch), b"\0" * 3 + inner)
    put(disk, 2)
    files.nodes[recover.segment_name(1)].content()
    node = files.nodes[recover.segment_name(1)]
    node.durable, node.waiting = node.content(), []
    node.durable[64] ^= 1  # the outer head is no longer valid
    index = recover.load(files).index
    assert not index.get(hash_part(666, 0)) and index.get(hash_part(2, 0))


def test_compaction_copies_live_parts_and_never_replaces_a_newer_record() -> None:
    files = SimFiles()
    disk = open_disk(files)
    bodies = {key: put(disk, key) for key in range(28)}
    for key in range(20):
        disk.forget(hash_part(key, 0))
    for key in (100, 101, 102):  # fills the first segment, which is then sealed
        put(disk, key)
    victim = disk.space.segments[1]
    assert victim.dead > victim.size / 2
    newer = make_body(25, 0, 1, 900)
    disk.put(part(25, since=int(START), epoch=disk.proof.epoch, tag="t2"), newer)
    compactor = Compactor(disk, lambda part_hash: 2, FAST)
    while compactor.step(START, False):
        pass
    assert recover.segment_name(1) not in files.nodes and compactor.segments_done >= 1
    assert get(disk, 25) == newer and all(get(disk, key) == bodies[key] for key in (20, 21, 24, 26, 27))
    assert all(get(disk, key) is None for key in range(20))
    assert len(recover.load(files).index) == len(disk.index)


def test_new_parts_are_stored_when_the_budget_is_used_up() -> None:
    files = SimFiles()
    disk = open_disk(files)
    compactor = Compactor(disk, lambda part_hash: 2, FAST)
    for key in range(1500):
        disk.put(part(key, since=int(START), epoch=disk.proof.epoch), bytes(1000))
        while compactor.step(START, False):
            pass
        assert sum(files.size(name) for name in files.names() if name.startswith("segment")) <= SMALL.budget
    assert sum(get(disk, key) is not None for key in range(1400, 1500)) > 90
    assert not disk.counts.dropped


def test_a_segment_number_is_not_reused_while_a_checkpoint_names_it() -> None:
    """Guards against lost records: with a reused number a scan began only where the old segment ended."""
    files = SimFiles()
    disk = open_disk(files)
    for key in range(20):
        put(disk, key)
    disk.write_checkpoint()
    disk.remove(disk.space.segments[1])
    reopened = open_disk(files)
    put(reopened, 77, 300)
    assert reopened.active and reopened.active.id == 2
    assert recover.load(files).index.get(hash_part(77, 0))


def test_a_lost_log_makes_every_copy_suspect() -> None:
    files = SimFiles()
    disk = open_disk(files)
    put(disk, 1)
    disk.sync()
    epoch = disk.proof.epoch
    files.remove(recover.LOG_NAME)
    reopened = open_disk(files, START + 10.0)
    assert reopened.proof.epoch == epoch + 1 and get(reopened, 1) is not None


def test_records_are_refused_until_their_epoch_is_durable() -> None:
    """Guards against a crash after which the next start uses the same epoch while old records carry it."""
    files = SimFiles()
    found = recover.load(files)
    disk = Disk(files, InlineJobs(), SMALL, found, Proof(found.saved_proof, 6000.0))
    disk.proof.begin(START, 0.0)
    assert not disk.put(part(1, epoch=disk.proof.epoch), b"x")
    disk.mark_epoch()
    assert disk.put(part(1, epoch=disk.proof.epoch), b"x")


def test_a_folder_has_one_owner_at_a_time(tmp_path: Path) -> None:
    first, second = OsFiles(tmp_path), OsFiles(tmp_path)
    assert first.lock() and not second.lock()
    first.close()
    assert second.lock()
    second.close()


def test_real_files_are_read_written_and_renamed(tmp_path: Path) -> None:
    files = OsFiles(tmp_path)
    for number in range(100):  # more than the number of descriptors kept open
        files.write(f"f{number}", 3, b"abc")
    assert files.read("f0", 0, 100) == b"\0\0\0abc" and files.read("f0", 3, 2) == b"ab"
    files.rename("f0", "f1")
    files.sync("f1")
    files.sync_folder()
    files.remove("f1")
    files.remove("f1")
    assert "f1" not in files.names() and files.size("f2") == 6
    with pytest.raises(FileNotFoundError):
        files.read("f1", 0, 1)
    files.close()


@pytest.mark.parametrize("seed", range(1, 26))
def test_after_crashes_nothing_wrong_is_served_and_nothing_durable_is_lost(seed: int) -> None:
    run = point(seed)
    assert not run.wrong
    assert run.counts["proven"] + run.counts["suspect or dead"] > 20


def test_the_crash_test_notices_copies_served_without_proof(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Proof, "proven", lambda *_: True)
    assert any("old" in line for seed in range(1, 15) for line in point(seed).wrong)


class Machine(RuleBasedStateMachine):
    """Puts, gets, purges, crashes, recoveries and clock steps against the model of the crash test."""

    def __init__(self) -> None:
        super().__init__()
        self.run = Run(random.Random(0).getrandbits(30))
        self.run.open()

    @rule(steps=st.integers(1, 30), at=st.integers(1, 200))
    def live(self, steps: int, at: int) -> None:
        """Work, and possibly crash in the middle of a call."""
        self.run.files.crash_at = self.run.files.calls + at
        try:
            self.run.live(steps)
        except Crash:
            self.run.crash()
            self.run.judge()
        self.run.files.crash_at = 0

    @rule()
    def crash(self) -> None:
        """Crash between two calls."""
        self.run.crash()
        self.run.judge()

    @rule(ms=st.sampled_from([-100_000.0, -3_000.0, 3_000.0, 100_000.0]))
    @precondition(lambda self: self.run.disk is not None)
    def step(self, ms: float) -> None:
        """Let the wall clock step but not the monotonic clock; no earlier copy may be proven afterwards."""
        disk = self.run.disk
        assert disk
        old = disk.proof.epoch
        disk.proof.wall_offset_ms = (disk.proof.wall_offset_ms or 0.0) - ms
        assert disk.proof.check_clock_step(self.run.model.now, self.run.model.now)
        disk.mark_epoch()
        assert not disk.proof.proven(old, self.run.model.now, self.run.model.now)

    @invariant()
    def check(self) -> None:
        """Check that nothing wrong was served and nothing durable was lost."""
        assert not self.run.wrong


TestMachine = Machine.TestCase
TestMachine.settings = settings(max_examples=25, stateful_step_count=12, deadline=None, derandomize=True)
