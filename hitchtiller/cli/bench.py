"""`hitchtiller store bench FOLDER`: fills an empty folder and times writes, starts and reads.

The reads of the disk tier alternate with plain `os.pread` of the same places in the same order, so that their
ratio stays comparable on machines with other load.
"""

import os
import random
import sys
import time
from pathlib import Path
from typing import Any

from hitchtiller.cli import show
from hitchtiller.store import recover
from hitchtiller.store.disk import Disk, DiskOptions
from hitchtiller.store.files import OsFiles
from hitchtiller.store.format import Part
from hitchtiller.store.index import Index, hash_part, pack_place, unpack_place
from hitchtiller.store.jobs import InlineJobs
from hitchtiller.store.suspect import Proof

MB = 1_000_000


def _fill_store(folder: Path, parts: int, size: int) -> tuple[dict[str, Any], Disk, OsFiles]:
    """Write `parts` parts of `size` bytes into a new store; return the figures, the tier and its files."""
    files = OsFiles(folder)
    files.lock()
    budget = parts * (size + 256) * 2 + 512 * MB
    proof = Proof(recover.Recovered().saved_proof, 0.0)
    disk = Disk(
        files, InlineJobs(), DiskOptions(budget, 0, 64 * MB // 64 * 64, 64 * MB), recover.Recovered(), proof
    )
    proof.begin(1e12, 1e12)
    disk.mark_epoch()
    random_bytes = random.Random(1).randbytes(size + parts % 997 + 997)
    started_s, longest_put_s = time.perf_counter(), 0.0
    with show.progress_bar() as bar:
        task = bar.add_task("write", total=parts)
        for number in range(parts):
            body = random_bytes[number % 997 : number % 997 + size]
            begin_s = time.perf_counter()
            disk.put(Part(number, 0, -1, "files", 10**12 + 1, "tag", proof.epoch), body)
            longest_put_s = max(longest_put_s, time.perf_counter() - begin_s)
            if number % 64 == 0:
                bar.update(task, completed=number)
    disk.sync()
    write_s = time.perf_counter() - started_s
    begin_s = time.perf_counter()
    disk.write_checkpoint()
    return (
        {
            "parts": parts,
            "mb": round(disk.space.used / MB, 1),
            "write_mb_per_s": round(disk.space.used / MB / write_s, 1),
            "checkpoint_ms": round((time.perf_counter() - begin_s) * 1e3, 1),
            "index_bytes_a_part": round(disk.index.table_bytes / max(1, len(disk.index)), 1),
        },
        disk,
        files,
    )


def _compare_reads(disk: Disk, files: OsFiles, parts: int, seconds: float) -> dict[str, Any]:
    """Time reads by the tier and plain reads of the same 200 parts in turn, for `seconds` of reading."""
    rng = random.Random(2)
    elapsed_s = {"tier": 0.0, "pread": 0.0}
    read_count = bytes_read = 0
    fds = {
        segment_id: os.open(files.path / recover.segment_name(segment_id), os.O_RDONLY)
        for segment_id in disk.space.segments
    }
    while elapsed_s["tier"] + elapsed_s["pread"] < seconds:
        keys = [rng.randrange(parts) for _ in range(200)]
        places = [unpack_place(disk.index.get(hash_part(key, 0))) for key in keys]
        for segment_id, offset, length in places:  # untimed, so that neither side pays for the first access
            os.pread(fds[segment_id], length, offset)
        body_sizes: list[int] = []
        begin_s = time.perf_counter()
        for key in keys:
            disk.get(key, 0, lambda part, body, body_sizes=body_sizes: body_sizes.append(len(body)))  # type: ignore[misc]
        elapsed_s["tier"] += time.perf_counter() - begin_s
        begin_s = time.perf_counter()
        for segment_id, offset, length in places:
            bytes_read += len(os.pread(fds[segment_id], length, offset))
        elapsed_s["pread"] += time.perf_counter() - begin_s
        read_count += len(body_sizes)
    for fd in fds.values():
        os.close(fd)
    return {
        "tier_reads_per_s": round(read_count / elapsed_s["tier"]),
        "pread_reads_per_s": round(read_count / elapsed_s["pread"]),
        "tier_over_pread": round(elapsed_s["tier"] / elapsed_s["pread"], 2),
        "tier_mb_per_s": round(bytes_read / MB / elapsed_s["tier"], 1),
    }


def _time_start(folder: Path, use_checkpoint: bool) -> tuple[float, int, float]:
    """Time a start: the seconds until the first part is read, the records scanned and the load time."""
    files = OsFiles(folder)
    started_s = time.perf_counter()
    recovered = recover.load(files, use_checkpoint)
    load_s = time.perf_counter() - started_s
    disk = Disk(files, InlineJobs(), DiskOptions(1 << 40), recovered, Proof(recovered.saved_proof, 0.0))
    body_sizes: list[int] = []
    disk.get(0, 0, lambda part, body: body_sizes.append(len(body)))
    start_s = time.perf_counter() - started_s
    files.close()
    assert body_sizes and body_sizes[0]
    return start_s, recovered.records_read, load_s


def _resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def compare_index_with_dict(entries: int) -> dict[str, Any]:
    """Compare the index with a `dict` of the same content.

    Measures the memory for each part, the time of look-ups, and the longest single insertion.
    """
    import gc

    keys = [hash_part(number, 0) for number in range(entries)]
    index, longest_put_s = Index(), 0.0
    started_s = time.perf_counter()
    for number, key in enumerate(keys):
        begin_s = time.thread_time()  # excludes the time in which other threads or processes run
        index.put(key, pack_place(number % 1000 + 1, 64, 64))
        longest_put_s = max(longest_put_s, time.thread_time() - begin_s)
    put_s = time.perf_counter() - started_s
    gc.collect()
    bytes_before = _resident_bytes()
    plain_dict: dict[int, int] = {}
    longest_dict_put_s = 0.0
    for number, key in enumerate(keys):
        begin_s = time.thread_time()
        plain_dict[int(key)] = pack_place(number % 1000 + 1, 64, 64)
        longest_dict_put_s = max(longest_dict_put_s, time.thread_time() - begin_s)
    # The keys are shared with the list above; a dict by itself would hold them too, at 36 bytes each.
    dict_bytes = _resident_bytes() - bytes_before + 36 * entries
    rng = random.Random(3)
    sample_keys = [keys[rng.randrange(entries)] for _ in range(min(entries, 200_000))]
    begin_s = time.perf_counter()
    for key in sample_keys:
        index.get(key)
    index_s = time.perf_counter() - begin_s
    begin_s = time.perf_counter()
    for key in sample_keys:
        plain_dict.get(key)
    dict_s = time.perf_counter() - begin_s
    return {
        "entries": entries,
        "index_bytes_a_part": round(index.table_bytes / entries, 1),
        "dict_bytes_a_part": round(dict_bytes / entries, 1),
        "index_put_us": round(put_s / entries * 1e6, 2),
        "index_longest_put_ms": round(longest_put_s * 1e3, 3),
        "dict_longest_put_ms": round(longest_dict_put_s * 1e3, 3),
        "index_get_us": round(index_s / len(sample_keys) * 1e6, 3),
        "dict_get_us": round(dict_s / len(sample_keys) * 1e6, 3),
    }


def bench(folder: Path, parts: int, kb: float, seconds: float, index: int, as_json: bool) -> int:
    """Fill and time the folder and print the figures; return 2 if it is not empty. It stays filled."""
    if any(folder.iterdir()):
        print(
            f"hitchtiller: {folder} is not empty; give an empty folder, which will be filled", file=sys.stderr
        )
        return 2
    result, disk, files = _fill_store(folder, parts, int(kb * 1000))
    result |= _compare_reads(disk, files, parts, seconds)
    files.close()
    for name, use in (("with_checkpoint", True), ("without_checkpoint", False)):
        start_s, scanned, _ = _time_start(folder, use)
        result[f"first_hit_{name}_ms"] = round(start_s * 1e3, 1)
        result[f"scanned_{name}"] = scanned
    result["index"] = compare_index_with_dict(index)
    if as_json:
        show.print_json(result)
    else:
        show.print_pairs("index beside dict", result.pop("index"))
        show.print_pairs("store bench", result)
    return 0
