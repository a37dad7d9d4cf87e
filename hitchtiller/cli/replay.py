"""`hitchtiller store replay`: traces against the admission policies, with and without a scan.

A trace is drawn from a seed: Zipf popularity over objects of log-normal sizes, ranks that drift, and a scan
that puts objects wanted once between the others. The figure is the share of bytes asked for by the base
requests (those of the scan are left out of both sides) that were kept. The sketch-based policies see the
scan's requests too.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import numpy as np

from hitchtiller.cli import show
from hitchtiller.store.admission import POLICIES

ONCE = 1 << 40


def draw(
    seed: int, requests: int, objects: int, zipf: float, drift: float, scan: float
) -> tuple[list[int], list[int], list[bool]]:
    """Draw a trace: keys, sizes, and which belong to the scan; the others don't depend on `scan`."""
    base, other = np.random.default_rng([seed, 1]), np.random.default_rng([seed, 2])
    weights = 1.0 / np.arange(1, objects + 1) ** zipf
    ranks = np.searchsorted(np.cumsum(weights) / weights.sum(), base.random(requests))
    names = base.permutation(objects)
    sizes = np.clip(base.lognormal(np.log(30_000.0), 1.0, objects), 200, 240_000).astype(np.int64)
    moved = (ranks + (np.arange(requests) * drift * objects / requests).astype(np.int64)) % objects
    keys = names[np.minimum(moved, objects - 1)]
    if not scan:
        return keys.tolist(), sizes[keys].tolist(), [False] * requests
    extra = int(requests * scan / (1.0 - scan))
    places = np.sort(other.integers(0, requests, extra))
    once = np.arange(extra) + ONCE
    all_keys = np.insert(keys, places, once)
    once_sizes = np.clip(other.lognormal(np.log(30_000.0), 1.0, extra), 200, 240_000)
    all_sizes = np.insert(sizes[keys], places, once_sizes)
    flags = np.insert(np.zeros(requests, bool), places, np.ones(extra, bool))
    return all_keys.tolist(), all_sizes.tolist(), flags.tolist()


def play(policy: str, room: int, trace: tuple[list[int], list[int], list[bool]]) -> float:
    """Play a trace against a policy of so many bytes; gives the byte hit share of the base requests."""
    kept = POLICIES[policy](room)
    hit = total = 0
    warm = len(trace[0]) // 5  # an empty cache is not what is compared
    for place, (key, size, once) in enumerate(zip(*trace, strict=True)):
        mark = (key * 0x9E3779B97F4A7C15 + 1) & 0xFFFFFFFFFFFFFFFF
        counted = place >= warm and not once
        total += size if counted else 0
        if mark in kept:
            kept.hit(mark)
            hit += size if counted else 0
        else:
            kept.miss(mark)
            kept.offer(mark, size)
    return hit / max(1, total)


def read_trace(path: Path) -> tuple[list[int], list[int], list[bool]]:
    """Read lines of KEY SIZE; ValueError names the first line that is none."""
    keys, sizes = list[int](), list[int]()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        if len(words) != 2 or not words[1].isdecimal():
            raise ValueError(
                f"{path}:{number}: {line[:40]!r} is not KEY SIZE; write a name and a size in bytes"
            )
        keys.append(hash_name(words[0]))
        sizes.append(int(words[1]))
    return keys, sizes, [False] * len(keys)


def hash_name(name: str) -> int:
    """Hash a key's text, the same in every run."""
    import xxhash

    return xxhash.xxh3_64_intdigest(name)


def rows(options: dict[str, Any], tick: Any) -> Iterator[dict[str, Any]]:
    """Play all policies on all seeds."""
    for policy in POLICIES:
        shares: dict[str, list[float]] = {"calm": [], "scan": []}
        for seed in range(1, options["seeds"] + 1):
            for name, scan in (("calm", 0.0), ("scan", options["scan"])):
                trace = draw(
                    seed, options["requests"], options["objects"], options["zipf"], options["drift"], scan
                )
                sizes = draw(seed, options["objects"], options["objects"], 0.0, 0.0, 0.0)[1]
                room = int(options["room"] * sum(sizes))
                shares[name].append(play(policy, room, trace))
                tick()
        calm, scanned = (float(np.mean(shares[name])) for name in ("calm", "scan"))
        worst = max(a - b for a, b in zip(shares["calm"], shares["scan"], strict=True))
        yield {
            "policy": policy,
            "calm": round(calm, 4),
            "with_scan": round(scanned, 4),
            "points_lost": round(100.0 * (calm - scanned), 2),
            "points_lost_worst_seed": round(100.0 * worst, 2),
        }


def replay(trace: Path | None, as_json: bool, **options: Any) -> int:
    """Print the table; 2 for a trace that can't be read."""
    if trace:
        try:
            lines = read_trace(trace)
        except ValueError as error:
            import sys

            print(f"hitchtiller: {error}", file=sys.stderr)
            return 2
        room = int(options["room"] * sum(dict(zip(*lines[:2], strict=True)).values()))
        found = [{"policy": name, "share": round(play(name, room, lines), 4)} for name in POLICIES]
    else:
        with show.progress() as bar:
            task = bar.add_task("replay", total=len(POLICIES) * 2 * options["seeds"])
            found = list(rows(options, lambda: bar.advance(task)))
    if as_json:
        show.as_json({**options, "rows": found})
    else:
        show.table("byte hit share", list(found[0]), [list(row.values()) for row in found])
    return 0
