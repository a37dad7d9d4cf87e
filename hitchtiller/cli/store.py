"""`hitchtiller store inspect|verify|compact|export`: work on a folder that no gateway owns at the time."""

import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

from hitchtiller.cli import show
from hitchtiller.store import format as fmt
from hitchtiller.store import recover
from hitchtiller.store.compact import Compactor
from hitchtiller.store.disk import Disk, Options
from hitchtiller.store.files import OsFiles
from hitchtiller.store.index import unpack_place
from hitchtiller.store.jobs import InlineJobs
from hitchtiller.store.space import Rate
from hitchtiller.store.suspect import Proof

MB = 1_000_000


class NotOwned(Exception):
    """The folder can't be worked on."""


def _own(folder: Path) -> OsFiles:
    names = [path.name for path in folder.iterdir()]
    if not any(name.startswith((recover.SEGMENT, recover.LOG)) for name in names):
        raise NotOwned(f"{folder}: no store: it holds no segment and no {recover.LOG}")
    files = OsFiles(folder)
    if not files.lock():
        files.close()
        raise NotOwned(f"{folder}: a running gateway owns it; stop that, or look at its show-stat")
    return files


def _refused(error: NotOwned) -> int:
    print(f"hitchtiller: {error}", file=sys.stderr)
    return 2


def inspect(folder: Path, as_json: bool) -> int:
    """Show what a folder holds; 2 if it is no store or in use."""
    try:
        files = _own(folder)
    except NotOwned as error:
        return _refused(error)
    begun = time.monotonic()
    found = recover.load(files)
    files.close()
    kept = found.kept
    facts: dict[str, Any] = {
        "parts": len(found.index),
        "segments": len(found.segments),
        "bytes": sum(segment.size for segment in found.segments.values()),
        "dead_bytes": sum(segment.dead for segment in found.segments.values()),
        "checkpoint": found.checkpoint,
        "records_read": found.scanned,
        "load_ms": round((time.monotonic() - begun) * 1000.0, 1),
        "index_bytes": found.index.room,
        "era": kept.epoch,
        "followed_ms": int(kept.followed_ms),
        "purged_objects": len(found.purges.objects),
        "purged_groups": len(found.purges.groups),
        "purge_floor_ms": int(max(0.0, found.purges.floor)),
    }
    segments = [
        {"segment": s.id, "bytes": s.size, "live_bytes": s.live, "oldest_ms": int(min(s.oldest_ms, 1e15))}
        for s in found.segments.values()
    ]
    if as_json:
        show.as_json({**facts, "notes": found.notes, "list": segments})
    else:
        show.pairs(str(folder), facts)
        columns = ("segment", "bytes", "live_bytes", "oldest_ms")
        show.table("segments", columns, [list(s.values()) for s in segments])
        for note in found.notes:
            print(f"note: {note}")
    return 0


def verify(folder: Path, as_json: bool) -> int:
    """Read all records whole; 1 if a checksum does not hold."""
    try:
        files = _own(folder)
    except NotOwned as error:
        return _refused(error)
    found = recover.load(files, use_checkpoint=False)
    notes, counts = list(found.notes), Counter[str]()
    with show.progress() as bar:
        task = bar.add_task("verify", total=len(found.segments))
        for segment in found.segments.values():
            for at, length, _ in recover.records(files, segment, fmt.ALIGN, segment.size, lambda text: None):
                counts["records"] += 1
                counts["bytes"] += length
                try:
                    data = files.read(recover.segment_name(segment.id), at, length)
                    fmt.read_record(data, segment.salt, at)
                except fmt.BadBytes as error:
                    counts["bad"] += 1
                    notes.append(f"{recover.segment_name(segment.id)}: record at {at}: {error}")
            bar.advance(task)
    files.close()
    result = {"records": counts["records"], "bytes": counts["bytes"], "bad": counts["bad"], "notes": notes}
    if as_json:
        show.as_json(result)
    else:
        show.pairs(str(folder), {name: value for name, value in result.items() if name != "notes"})
        for note in notes:
            print(f"note: {note}")
    return 1 if notes else 0


def compact(folder: Path, budget_mb: float, segment_mb: float, as_json: bool) -> int:
    """Carry what lives into fresh segments; the purge log, era and watermark stay as they are."""
    try:
        files = _own(folder)
    except NotOwned as error:
        return _refused(error)
    found = recover.load(files)
    options = Options(int(budget_mb * MB), 0, int(segment_mb * MB) // 64 * 64, 64 * MB)
    before = sum(segment.size for segment in found.segments.values())
    if 2 * before + options.segment_bytes > options.budget:
        options = Options(2 * before + 2 * options.segment_bytes, 0, options.segment_bytes, 64 * MB)
    proof = Proof(found.kept, 0.0)
    disk = Disk(files, InlineJobs(), options, found, proof)
    compactor = Compactor(disk, lambda mark: 16, Rate(1e15, 1e15, 1e15))
    old = sorted(found.segments)
    with show.progress() as bar:
        task = bar.add_task("compact", total=len(old))
        for id in old:
            segment = disk.space.segments.get(id)
            if segment is None or segment.dead == 0:
                bar.advance(task)
                continue
            compactor.begin(segment)
            while compactor.victim is not None:
                compactor.step(0.0, False)
            bar.advance(task)
    disk.sync()
    disk.save()
    state, after = disk.health, disk.space.used
    result = {
        "bytes_before": before,
        "bytes_after": after,
        "parts": len(disk.index),
        "carried": compactor.records_copied,
        "segments": len(disk.space.segments),
        "state": state.state,
    }
    files.close()
    show.as_json(result) if as_json else show.pairs(str(folder), result)
    return 0 if state.writes else 1


def export(folder: Path, target: Path, name: str | None, as_json: bool) -> int:
    """Write parts as files named OBJECT-PART, and `index.json`; 1 if a part did not hold."""
    wanted = None
    if name is not None:
        try:
            wanted = int(name, 16)
        except ValueError:
            print(f"hitchtiller: --object {name!r} is not hexadecimal; write 16 hex digits", file=sys.stderr)
            return 2
    try:
        files = _own(folder)
    except NotOwned as error:
        return _refused(error)
    target.mkdir(parents=True, exist_ok=True)
    found = recover.load(files)
    listed, bad = list[dict[str, Any]](), 0
    with show.progress() as bar:
        task = bar.add_task("export", total=len(found.index))
        for _, place in sorted(found.index.items(), key=lambda item: item[1]):
            id, at, length = unpack_place(place)
            bar.advance(task)
            try:
                data = files.read(recover.segment_name(id), at, length)
                part, body = fmt.read_record(data, found.segments[id].salt, at)
            except fmt.BadBytes:
                bad += 1
                continue
            if wanted is not None and part.key != wanted:
                continue
            allowed = found.purges.allows(part.key, part.group, part.since_ms)
            file = f"{part.key:016x}-{part.part}"
            (target / file).write_bytes(body)
            listed.append(
                {
                    "file": file, "object": f"{part.key:016x}", "part": part.part, "group": part.group,
                    "class": part.class_name, "tag": part.tag, "since_ms": part.since_ms, "bytes": len(body),
                    "era": part.epoch, "purged": not allowed,
                }
            )  # fmt: skip
    files.close()
    import msgspec

    (target / "index.json").write_bytes(msgspec.json.format(msgspec.json.encode(listed)))
    result = {"parts": len(listed), "bad": bad, "target": str(target)}
    show.as_json(result) if as_json else show.pairs(str(folder), result)
    return 1 if bad else 0
