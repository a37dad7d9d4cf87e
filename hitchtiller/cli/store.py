"""`hitchtiller store inspect|verify|compact|export`: work on a store folder that no running gateway owns."""

import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

from hitchtiller.cli import show
from hitchtiller.store import format as fmt
from hitchtiller.store import recover
from hitchtiller.store.compact import Compactor
from hitchtiller.store.disk import Disk, DiskOptions
from hitchtiller.store.files import OsFiles
from hitchtiller.store.index import unpack_place
from hitchtiller.store.jobs import InlineJobs
from hitchtiller.store.space import TokenBucket
from hitchtiller.store.suspect import Proof

MB = 1_000_000


class StoreUnavailableError(Exception):
    """Raised if a folder is not a store or a running gateway owns it."""


def _open_store(folder: Path) -> OsFiles:
    """Open and lock the store in a folder; StoreUnavailableError if it holds none or is locked."""
    names = [path.name for path in folder.iterdir()]
    if not any(name.startswith((recover.SEGMENT_PREFIX, recover.LOG_NAME)) for name in names):
        raise StoreUnavailableError(f"{folder} is not a store: it holds no segment and no {recover.LOG_NAME}")
    files = OsFiles(folder)
    if not files.lock():
        files.close()
        raise StoreUnavailableError(f"{folder}: a running gateway owns it; stop it, or use its show-stat")
    return files


def _report_error(error: StoreUnavailableError) -> int:
    """Print an error and return the exit code for it."""
    print(f"hitchtiller: {error}", file=sys.stderr)
    return 2


def inspect(folder: Path, as_json: bool) -> int:
    """Print what a store holds; return 2 if the folder is not a store or is in use."""
    try:
        files = _open_store(folder)
    except StoreUnavailableError as error:
        return _report_error(error)
    started_s = time.monotonic()
    recovered = recover.load(files)
    files.close()
    saved_proof = recovered.saved_proof
    facts: dict[str, Any] = {
        "parts": len(recovered.index),
        "segments": len(recovered.segments),
        "bytes": sum(segment.size for segment in recovered.segments.values()),
        "dead_bytes": sum(segment.dead for segment in recovered.segments.values()),
        "checkpoint": recovered.checkpoint,
        "records_read": recovered.records_read,
        "load_ms": round((time.monotonic() - started_s) * 1000.0, 1),
        "index_bytes": recovered.index.table_bytes,
        "era": saved_proof.epoch,
        "followed_ms": int(saved_proof.followed_ms),
        "purged_objects": len(recovered.purges.objects),
        "purged_groups": len(recovered.purges.groups),
        "purge_floor_ms": int(max(0.0, recovered.purges.floor)),
    }
    segments = [
        {"segment": s.id, "bytes": s.size, "live_bytes": s.live, "oldest_ms": int(min(s.oldest_ms, 1e15))}
        for s in recovered.segments.values()
    ]
    if as_json:
        show.print_json({**facts, "notes": recovered.notes, "list": segments})
    else:
        show.print_pairs(str(folder), facts)
        columns = ("segment", "bytes", "live_bytes", "oldest_ms")
        show.print_table("segments", columns, [list(s.values()) for s in segments])
        for note in recovered.notes:
            print(f"note: {note}")
    return 0


def verify(folder: Path, as_json: bool) -> int:
    """Read all records in full, without the checkpoint; return 1 if anything in the folder is damaged."""
    try:
        files = _open_store(folder)
    except StoreUnavailableError as error:
        return _report_error(error)
    recovered = recover.load(files, use_checkpoint=False)
    notes, counts = list(recovered.notes), Counter[str]()
    with show.progress_bar() as bar:
        task = bar.add_task("verify", total=len(recovered.segments))
        for segment in recovered.segments.values():
            for offset, length, _ in recover.records(
                files, segment, fmt.ALIGN, segment.size, lambda text: None
            ):
                counts["records"] += 1
                counts["bytes"] += length
                try:
                    data = files.read(recover.segment_name(segment.id), offset, length)
                    fmt.read_record(data, segment.salt, offset)
                except fmt.FormatError as error:
                    counts["bad"] += 1
                    notes.append(f"{recover.segment_name(segment.id)}: record at {offset}: {error}")
            bar.advance(task)
    files.close()
    result = {"records": counts["records"], "bytes": counts["bytes"], "bad": counts["bad"], "notes": notes}
    if as_json:
        show.print_json(result)
    else:
        show.print_pairs(str(folder), {name: value for name, value in result.items() if name != "notes"})
        for note in notes:
            print(f"note: {note}")
    return 1 if notes else 0


def compact(folder: Path, budget_mb: float, segment_mb: float, as_json: bool) -> int:
    """Copy the live records into new segments and remove the old ones; segments without dead bytes stay.

    The purge log, the epoch and the watermark of the bus stay as they are. If the budget is too small for
    the copies, a larger one is used for this run. Returns 1 if the store can't be written any more.
    """
    try:
        files = _open_store(folder)
    except StoreUnavailableError as error:
        return _report_error(error)
    recovered = recover.load(files)
    options = DiskOptions(int(budget_mb * MB), 0, int(segment_mb * MB) // 64 * 64, 64 * MB)
    bytes_before = sum(segment.size for segment in recovered.segments.values())
    if 2 * bytes_before + options.segment_bytes > options.budget:
        options = DiskOptions(2 * bytes_before + 2 * options.segment_bytes, 0, options.segment_bytes, 64 * MB)
    proof = Proof(recovered.saved_proof, 0.0)
    disk = Disk(files, InlineJobs(), options, recovered, proof)
    compactor = Compactor(disk, lambda part_hash: 16, TokenBucket(1e15, 1e15, 1e15))
    segment_ids = sorted(recovered.segments)
    with show.progress_bar() as bar:
        task = bar.add_task("compact", total=len(segment_ids))
        for segment_id in segment_ids:
            segment = disk.space.segments.get(segment_id)
            if segment is None or segment.dead == 0:
                bar.advance(task)
                continue
            compactor.begin(segment)
            while compactor.victim is not None:
                compactor.step(0.0, False)
            bar.advance(task)
    disk.sync()
    disk.write_checkpoint()
    health, bytes_after = disk.health, disk.space.used
    result = {
        "bytes_before": bytes_before,
        "bytes_after": bytes_after,
        "parts": len(disk.index),
        "carried": compactor.records_copied,
        "segments": len(disk.space.segments),
        "state": health.state,
    }
    files.close()
    show.print_json(result) if as_json else show.print_pairs(str(folder), result)
    return 0 if health.can_write else 1


def export(folder: Path, target: Path, name: str | None, as_json: bool) -> int:
    """Write the parts as files named OBJECT-PART, and `index.json`; return 1 if a part was damaged."""
    wanted = None
    if name is not None:
        try:
            wanted = int(name, 16)
        except ValueError:
            print(f"hitchtiller: --object {name!r} is not hexadecimal; write 16 hex digits", file=sys.stderr)
            return 2
    try:
        files = _open_store(folder)
    except StoreUnavailableError as error:
        return _report_error(error)
    target.mkdir(parents=True, exist_ok=True)
    recovered = recover.load(files)
    entries, bad_count = list[dict[str, Any]](), 0
    with show.progress_bar() as bar:
        task = bar.add_task("export", total=len(recovered.index))
        for _, place in sorted(recovered.index.items(), key=lambda item: item[1]):
            segment_id, offset, length = unpack_place(place)
            bar.advance(task)
            try:
                data = files.read(recover.segment_name(segment_id), offset, length)
                part, body = fmt.read_record(data, recovered.segments[segment_id].salt, offset)
            except fmt.FormatError:
                bad_count += 1
                continue
            if wanted is not None and part.key != wanted:
                continue
            allowed = recovered.purges.allows(part.key, part.group, part.since_ms)
            file = f"{part.key:016x}-{part.part}"
            (target / file).write_bytes(body)
            entries.append(
                {
                    "file": file, "object": f"{part.key:016x}", "part": part.part, "group": part.group,
                    "class": part.class_name, "tag": part.tag, "since_ms": part.since_ms, "bytes": len(body),
                    "era": part.epoch, "purged": not allowed,
                }
            )  # fmt: skip
    files.close()
    import msgspec

    (target / "index.json").write_bytes(msgspec.json.format(msgspec.json.encode(entries)))
    result = {"parts": len(entries), "bad": bad_count, "target": str(target)}
    show.print_json(result) if as_json else show.print_pairs(str(folder), result)
    return 1 if bad_count else 0
