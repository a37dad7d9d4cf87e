"""Crashes a disk tier between and during its file calls, and checks what the next start serves.

    python -m standins.crashpoints --points 2000

A point is a run of puts, purges, checkpoints and compactions on a simulated folder that stops at one call;
writes that were not durable are kept, torn, reordered or lost at random. The next start, to which the bus
repeats only recent purges, must serve only bytes that were once correct and that no purge forbids, and must
still have every part that an fsync had covered. Several crashes follow each other on one folder. The exit
code is 1 if anything was served wrongly or lost.
"""

import random
from collections import Counter
from dataclasses import dataclass, field

import click
import msgspec

from hitchtiller.store import recover
from hitchtiller.store.compact import Compactor
from hitchtiller.store.disk import Disk, DiskOptions
from hitchtiller.store.format import Part
from hitchtiller.store.index import unpack_place
from hitchtiller.store.jobs import InlineJobs
from hitchtiller.store.space import TokenBucket
from hitchtiller.store.suspect import Proof
from standins.files import Crash, SimFiles
from standins.truth import make_body

OPTIONS = DiskOptions(budget=400_000, segment_bytes=32_768, queue_bytes=1 << 20)
KEYS, REPLAY_MS = 40, 2_000.0


@dataclass(slots=True)
class Model:
    """The expected state: announced purges and durable parts; times are in ms of a clock of its own."""

    now: float = 1_000_000.0
    version: dict[int, int] = field(default_factory=dict)  # current version by object
    purged_ms: dict[int, float] = field(default_factory=dict)  # by object: time of its last purge
    # By entry of the index: segment and offset of a part that an fsync covers.
    durable: dict[int, tuple[int, int]] = field(default_factory=dict)


class Run:
    """One folder through several starts and crashes of its disk tier."""

    def __init__(self, seed: int) -> None:
        """Start with an empty folder; all randomness comes from the seed."""
        self.rng = random.Random(seed)
        self.files = SimFiles(self.rng)
        self.model = Model()
        self.counts: Counter[str] = Counter()
        self.wrong: list[str] = []
        self.disk: Disk | None = None

    def open(self) -> Disk:
        """Start the tier as a gateway does: read the folder, apply the bus's purges, record the new epoch."""
        found = recover.load(self.files)
        proof = Proof(found.saved_proof, REPLAY_MS, 100.0)
        disk = self.disk = Disk(self.files, InlineJobs(), OPTIONS, found, proof)
        self.counts["gaps"] += proof.begin(self.model.now, self.model.now)
        disk.mark_epoch()
        for key, at in self.model.purged_ms.items():  # the bus repeats recent ones
            if at >= self.model.now - REPLAY_MS:
                disk.purge(key, -1, at)
        return disk

    def live(self, steps: int) -> None:
        """Perform this many random operations, or fewer if the crash comes."""
        disk, model, rng = self.disk or self.open(), self.model, self.rng
        compactor = Compactor(disk, lambda part_hash: part_hash & 3, TokenBucket(1e12, 1e12, 1e12))
        for _ in range(steps):
            model.now += rng.uniform(1.0, 400.0)
            key, random_share = rng.randrange(KEYS), rng.random()
            if random_share < 0.62:
                version = model.version.get(key, 0)
                part = Part(key, 0, key % 4, "files", int(model.now), f"v{version}", disk.proof.epoch)
                disk.put(part, make_body(key, 0, version, rng.randrange(10, 6_000)))
            elif random_share < 0.77:
                model.version[key] = model.version.get(key, 0) + 1
                model.purged_ms[key] = model.now
                disk.purge(key, -1, model.now)
            elif random_share < 0.85:
                disk.sync()
            elif random_share < 0.9:
                disk.proof.follow(model.now)
                disk.mark_followed()
            elif random_share < 0.94:
                disk.write_checkpoint()
            else:
                while compactor.step(model.now, False):
                    pass
            self._record_durable(disk)

    def _record_durable(self, disk: Disk) -> None:
        """Record the parts that an fsync of their segment covers, with their segment and offset."""
        self.model.durable.clear()
        for part_hash, place in disk.index.items():
            id, at, length = unpack_place(place)
            segment = disk.space.segments.get(id)
            if segment and at + length <= segment.durable:
                self.model.durable[part_hash] = (id, at)

    def crash(self) -> None:
        """Crash the machine, and continue with a folder as the next start could find it."""
        if self.disk:  # parts that an interrupted compaction step had dropped are evicted, not lost
            index = self.disk.index
            self.model.durable = {
                part_hash: place for part_hash, place in self.model.durable.items() if index.get(part_hash)
            }
        self.files = self.files.crash()
        self.files.crash_at = 0
        self.disk = None
        self.model.now += self.rng.choice((10.0, 500.0, 5_000.0))

    def judge(self) -> None:
        """Start the tier, and check everything that it could serve."""
        disk, model = self.open(), self.model
        indexed_places = {part_hash: unpack_place(place)[:2] for part_hash, place in disk.index.items()}
        for part_hash, place in model.durable.items():
            # A compaction may have moved the part; it only has to be present.
            if part_hash not in indexed_places:
                self.wrong.append(f"lost: a part that an fsync covered at {place}")
        for key in range(KEYS):
            disk.get(key, 0, lambda part, body, key=key: self._check_part(key, part, body))  # type: ignore[misc]
        self.counts["crashes"] += 1
        self.counts["parts"] += len(disk.index)

    def _check_part(self, key: int, part: Part | None, body: bytes) -> None:
        disk, model = self.disk, self.model
        if part is None or disk is None:
            self.counts["unreadable"] += 1
            return
        version = int(part.tag[1:])
        if body != make_body(key, 0, version, len(body)) or part.key != key:
            self.wrong.append(f"torn: object {key}")
        allowed = disk.purges.allows(part.key, part.group, part.since_ms)
        proven = disk.proof.proven(part.epoch, part.since_ms, model.now)
        self.counts["proven" if allowed and proven else "suspect or dead"] += 1
        if allowed and proven and version < model.version.get(key, 0):
            self.wrong.append(f"old: object {key}, version {version} of {model.version[key]}")


def point(seed: int, crashes: int = 4) -> Run:
    """Run one seed: `crashes` starts on one folder, each ended by a crash at a random call."""
    run = Run(seed)
    for _ in range(crashes):
        run.files.crash_at = run.files.calls + run.rng.randrange(1, 400)
        try:
            run.live(120)
        except Crash:
            run.counts["in a call"] += 1
        run.crash()
        run.judge()
    return run


@click.command()
@click.option("--points", default=2000, show_default=True, type=click.IntRange(1, 10_000_000))
@click.option("--seed", default=1, show_default=True)
def main(points: int, seed: int) -> None:
    """Crash a disk tier at simulated points."""
    counts: Counter[str] = Counter()
    wrong: list[str] = []
    while counts["crashes"] < points:
        run = point(seed)
        counts.update(run.counts)
        wrong += [f"seed {seed}: {line}" for line in run.wrong]
        seed += 1
        click.echo(f"\r{counts['crashes']} of {points}, wrong {len(wrong)}", nl=False, err=True)
    click.echo(err=True)
    click.echo(msgspec.json.format(msgspec.json.encode({**counts, "wrong": wrong[:20]})).decode())
    raise SystemExit(bool(wrong))


if __name__ == "__main__":
    main()
