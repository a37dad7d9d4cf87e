"""`hitchtiller store bench FOLDER`: fills an empty folder; times writes, starts and reads.

Reads are paired with plain `os.pread` of the same places in the same order, so that the ratio holds on noisy
machines.
"""

import os
import random
import sys
import time
from pathlib import Path
from typing import Any

from hitchtiller.cli import show
from hitchtiller.store import recover
from hitchtiller.store.disk import Disk, Options
from hitchtiller.store.files import OsFiles
from hitchtiller.store.format import Part
from hitchtiller.store.index import Index, fingerprint, pack_place, unpack_place
from hitchtiller.store.jobs import InlineJobs
from hitchtiller.store.suspect import Proof

MB = 1_000_000


def _fill(folder: Path, parts: int, size: int) -> tuple[dict[str, Any], Disk, OsFiles]:
    files = OsFiles(folder)
    files.lock()
    budget = parts * (size + 256) * 2 + 512 * MB
    proof = Proof(recover.Recovered().kept, 0.0)
    disk = Disk(
        files, InlineJobs(), Options(budget, 0, 64 * MB // 64 * 64, 64 * MB), recover.Recovered(), proof
    )
    proof.begin(1e12, 1e12)
    disk.mark_epoch()
    block = random.Random(1).randbytes(size + parts % 997 + 997)
    begun, longest = time.perf_counter(), 0.0
    with show.progress() as bar:
        task = bar.add_task("write", total=parts)
        for number in range(parts):
            body = block[number % 997 : number % 997 + size]
            at = time.perf_counter()
            disk.put(Part(number, 0, -1, "files", 10**12 + 1, "tag", proof.epoch), body)
            longest = max(longest, time.perf_counter() - at)
            if number % 64 == 0:
                bar.update(task, completed=number)
    disk.sync()
    wrote = time.perf_counter() - begun
    at = time.perf_counter()
    disk.save()
    return (
        {
            "parts": parts,
            "mb": round(disk.space.used / MB, 1),
            "write_mb_per_s": round(disk.space.used / MB / wrote, 1),
            "checkpoint_ms": round((time.perf_counter() - at) * 1e3, 1),
            "index_bytes_a_part": round(disk.index.room / max(1, len(disk.index)), 1),
        },
        disk,
        files,
    )


def _reads(disk: Disk, files: OsFiles, parts: int, seconds: float) -> dict[str, Any]:
    """Take turns: a stretch by the tier, the same stretch by plain reads."""
    rng = random.Random(2)
    spent = {"tier": 0.0, "pread": 0.0}
    reads = size = 0
    fds = {id: os.open(files.path / recover.segment_name(id), os.O_RDONLY) for id in disk.space.segments}
    while spent["tier"] + spent["pread"] < seconds:
        keys = [rng.randrange(parts) for _ in range(200)]
        places = [unpack_place(disk.index.get(fingerprint(key, 0))) for key in keys]
        for id, offset, length in places:  # once before, so that neither pays for the first touch
            os.pread(fds[id], length, offset)
        got: list[int] = []
        at = time.perf_counter()
        for key in keys:
            disk.get(key, 0, lambda part, body, got=got: got.append(len(body)))  # type: ignore[misc]
        spent["tier"] += time.perf_counter() - at
        at = time.perf_counter()
        for id, offset, length in places:
            size += len(os.pread(fds[id], length, offset))
        spent["pread"] += time.perf_counter() - at
        reads += len(got)
    for fd in fds.values():
        os.close(fd)
    return {
        "tier_reads_per_s": round(reads / spent["tier"]),
        "pread_reads_per_s": round(reads / spent["pread"]),
        "tier_over_pread": round(spent["tier"] / spent["pread"], 2),
        "tier_mb_per_s": round(size / MB / spent["tier"], 1),
    }


def _start(folder: Path, use_checkpoint: bool) -> tuple[float, int, float]:
    """Time a start until the first part is read: seconds, records scanned, and the loading alone."""
    files = OsFiles(folder)
    begun = time.perf_counter()
    found = recover.load(files, use_checkpoint)
    loaded = time.perf_counter() - begun
    disk = Disk(files, InlineJobs(), Options(1 << 40), found, Proof(found.kept, 0.0))
    got: list[int] = []
    disk.get(0, 0, lambda part, body: got.append(len(body)))
    took = time.perf_counter() - begun
    files.close()
    assert got and got[0]
    return took, found.scanned, loaded


def _resident() -> int:
    """Give this process's resident bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def index_against_dict(entries: int) -> dict[str, Any]:
    """Measure the index beside a `dict` of the same content.

    Memory a part, look-ups, the longest single change.
    """
    import gc

    keys = [fingerprint(number, 0) for number in range(entries)]
    index, longest = Index(), 0.0
    begun = time.perf_counter()
    for number, key in enumerate(keys):
        at = time.thread_time()  # what the call itself takes, whoever else has the processor meanwhile
        index.put(key, pack_place(number % 1000 + 1, 64, 64))
        longest = max(longest, time.thread_time() - at)
    put = time.perf_counter() - begun
    gc.collect()
    before = _resident()
    plain: dict[int, int] = {}
    worst = 0.0
    for number, key in enumerate(keys):
        at = time.thread_time()
        plain[int(key)] = pack_place(number % 1000 + 1, 64, 64)
        worst = max(worst, time.thread_time() - at)
    # the keys are shared with the list above; a dict alone would hold them too, 36 bytes each
    plain_bytes = _resident() - before + 36 * entries
    rng = random.Random(3)
    some = [keys[rng.randrange(entries)] for _ in range(min(entries, 200_000))]
    at = time.perf_counter()
    for key in some:
        index.get(key)
    mine = time.perf_counter() - at
    at = time.perf_counter()
    for key in some:
        plain.get(key)
    theirs = time.perf_counter() - at
    return {
        "entries": entries,
        "index_bytes_a_part": round(index.room / entries, 1),
        "dict_bytes_a_part": round(plain_bytes / entries, 1),
        "index_put_us": round(put / entries * 1e6, 2),
        "index_longest_put_ms": round(longest * 1e3, 3),
        "dict_longest_put_ms": round(worst * 1e3, 3),
        "index_get_us": round(mine / len(some) * 1e6, 3),
        "dict_get_us": round(theirs / len(some) * 1e6, 3),
    }


def bench(folder: Path, parts: int, kb: float, seconds: float, index: int, as_json: bool) -> int:
    """Fill, time and print; 2 if the folder is not empty. The folder is left filled."""
    if any(folder.iterdir()):
        print(f"hitchtiller: {folder} is not empty; name an empty folder, it will be filled", file=sys.stderr)
        return 2
    result, disk, files = _fill(folder, parts, int(kb * 1000))
    result |= _reads(disk, files, parts, seconds)
    files.close()
    for name, use in (("with_checkpoint", True), ("without_checkpoint", False)):
        took, scanned, _ = _start(folder, use)
        result[f"first_hit_{name}_ms"] = round(took * 1e3, 1)
        result[f"scanned_{name}"] = scanned
    result["index"] = index_against_dict(index)
    if as_json:
        show.as_json(result)
    else:
        show.pairs("index beside dict", result.pop("index"))
        show.pairs("store bench", result)
    return 0
