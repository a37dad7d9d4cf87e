"""`hitchtiller store replay`: replays traces against the admission policies, with and without a scan.

A trace is drawn from a seed: Zipf popularity over objects of log-normal sizes, popularity ranks that drift,
and a scan that inserts requests for objects requested once between the others. The result is the byte hit
share of the base requests: the bytes found in the cache divided by the bytes requested. The requests of the
scan count in neither, but the sketch-based policies see them too.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import numpy as np

from hitchtiller.cli import show
from hitchtiller.store.admission import POLICIES

SCAN_KEY_BASE = 1 << 40


def generate_trace(
    seed: int, requests: int, objects: int, zipf: float, drift: float, scan: float
) -> tuple[list[int], list[int], list[bool]]:
    """Draw a trace: the keys, the sizes, and which requests belong to the scan.

    The other requests are the same for every value of `scan`.
    """
    trace_rng, scan_rng = np.random.default_rng([seed, 1]), np.random.default_rng([seed, 2])
    weights = 1.0 / np.arange(1, objects + 1) ** zipf
    ranks = np.searchsorted(np.cumsum(weights) / weights.sum(), trace_rng.random(requests))
    keys_by_rank = trace_rng.permutation(objects)
    sizes = np.clip(trace_rng.lognormal(np.log(30_000.0), 1.0, objects), 200, 240_000).astype(np.int64)
    shifted_ranks = (ranks + (np.arange(requests) * drift * objects / requests).astype(np.int64)) % objects
    keys = keys_by_rank[np.minimum(shifted_ranks, objects - 1)]
    if not scan:
        return keys.tolist(), sizes[keys].tolist(), [False] * requests
    scan_count = int(requests * scan / (1.0 - scan))
    scan_positions = np.sort(scan_rng.integers(0, requests, scan_count))
    scan_keys = np.arange(scan_count) + SCAN_KEY_BASE
    all_keys = np.insert(keys, scan_positions, scan_keys)
    scan_sizes = np.clip(scan_rng.lognormal(np.log(30_000.0), 1.0, scan_count), 200, 240_000)
    all_sizes = np.insert(sizes[keys], scan_positions, scan_sizes)
    is_scan = np.insert(np.zeros(requests, bool), scan_positions, np.ones(scan_count, bool))
    return all_keys.tolist(), all_sizes.tolist(), is_scan.tolist()


def replay_trace(policy: str, capacity_bytes: int, trace: tuple[list[int], list[int], list[bool]]) -> float:
    """Replay a trace against a policy with this capacity; return the byte hit share of the base requests."""
    cache = POLICIES[policy](capacity_bytes)
    hit_bytes = total_bytes = 0
    warm_up_count = len(trace[0]) // 5  # these requests fill the cache and are not counted
    for position, (key, size, from_scan) in enumerate(zip(*trace, strict=True)):
        fingerprint = (key * 0x9E3779B97F4A7C15 + 1) & 0xFFFFFFFFFFFFFFFF
        counted = position >= warm_up_count and not from_scan
        total_bytes += size if counted else 0
        if fingerprint in cache:
            cache.hit(fingerprint)
            hit_bytes += size if counted else 0
        else:
            cache.miss(fingerprint)
            cache.offer(fingerprint, size)
    return hit_bytes / max(1, total_bytes)


def read_trace(path: Path) -> tuple[list[int], list[int], list[bool]]:
    """Read a trace from lines of KEY SIZE; ValueError names the first invalid line."""
    keys, sizes = list[int](), list[int]()
    for line_number, line in enumerate(path.read_text().splitlines(), 1):
        fields = line.split()
        if not fields or fields[0].startswith("#"):
            continue
        if len(fields) != 2 or not fields[1].isdecimal():
            raise ValueError(
                f"{path}:{line_number}: {line[:40]!r} is not KEY SIZE; write a name and a size in bytes"
            )
        keys.append(hash_name(fields[0]))
        sizes.append(int(fields[1]))
    return keys, sizes, [False] * len(keys)


def hash_name(name: str) -> int:
    """Return a hash of a key's text that is the same in every run."""
    import xxhash

    return xxhash.xxh3_64_intdigest(name)


def replay_all(options: dict[str, Any], on_play: Any) -> Iterator[dict[str, Any]]:
    """Replay the traces of all seeds against each policy; yield a row for each policy."""
    for policy in POLICIES:
        shares: dict[str, list[float]] = {"calm": [], "scan": []}
        for seed in range(1, options["seeds"] + 1):
            for name, scan in (("calm", 0.0), ("scan", options["scan"])):
                trace = generate_trace(
                    seed, options["requests"], options["objects"], options["zipf"], options["drift"], scan
                )
                sizes = generate_trace(seed, options["objects"], options["objects"], 0.0, 0.0, 0.0)[1]
                capacity_bytes = int(options["room"] * sum(sizes))
                shares[name].append(replay_trace(policy, capacity_bytes, trace))
                on_play()
        calm, with_scan = (float(np.mean(shares[name])) for name in ("calm", "scan"))
        worst_loss = max(a - b for a, b in zip(shares["calm"], shares["scan"], strict=True))
        yield {
            "policy": policy,
            "calm": round(calm, 4),
            "with_scan": round(with_scan, 4),
            "points_lost": round(100.0 * (calm - with_scan), 2),
            "points_lost_worst_seed": round(100.0 * worst_loss, 2),
        }


def replay(trace: Path | None, as_json: bool, **options: Any) -> int:
    """Print the hit shares of the policies; return 2 for a trace that can't be read."""
    if trace:
        try:
            loaded_trace = read_trace(trace)
        except ValueError as error:
            import sys

            print(f"hitchtiller: {error}", file=sys.stderr)
            return 2
        capacity_bytes = int(options["room"] * sum(dict(zip(*loaded_trace[:2], strict=True)).values()))
        rows = [
            {"policy": name, "share": round(replay_trace(name, capacity_bytes, loaded_trace), 4)}
            for name in POLICIES
        ]
    else:
        with show.progress_bar() as bar:
            task = bar.add_task("replay", total=len(POLICIES) * 2 * options["seeds"])
            rows = list(replay_all(options, lambda: bar.advance(task)))
    if as_json:
        show.print_json({**options, "rows": rows})
    else:
        show.print_table("byte hit share", list(rows[0]), [list(row.values()) for row in rows])
    return 0
