"""Admission and eviction: limits in bytes, resistance to scans, shares of owners."""

import random

import pytest
from tiers import part

from hitchtiller.cli.replay import generate_trace, read_trace, replay_trace
from hitchtiller.store.admission import POLICIES, S3Fifo, Shares, TinyLfu
from hitchtiller.store.index import hash_part
from hitchtiller.store.memory import OVERHEAD_BYTES, Memory
from hitchtiller.store.sketch import MAX_COUNT, Sketch


@pytest.mark.parametrize("name", POLICIES)
def test_a_policy_stays_within_its_limit_and_returns_every_evicted_key(name: str) -> None:
    rng, max_bytes = random.Random(5), 10_000
    policy, held = POLICIES[name](max_bytes), dict[int, int]()
    for step in range(20_000):
        key = int(rng.paretovariate(0.6))
        if step == 10_000:
            max_bytes = 4_000
            for evicted in policy.resize(max_bytes):
                del held[evicted]
        if key in policy:
            assert key in held
            policy.hit(key)
        elif rng.random() < 0.05 and held:
            old = rng.choice(list(held))
            policy.drop(old)
            del held[old]
        else:
            size = rng.randrange(1, 3_000)
            policy.miss(key)
            evicted = policy.offer(key, size)
            held[key] = size
            assert len(evicted) == len(set(evicted))
            for old in evicted:
                del held[old]
        assert policy.used == sum(held.values()) <= max_bytes
    assert all(key in policy for key in held)
    assert policy.offer(1 << 50, max_bytes + 1) == [1 << 50]


def test_a_scan_costs_the_chosen_policy_at_most_3_points_and_lru_more() -> None:
    args = {"requests": 30_000, "objects": 4_000, "zipf": 0.95, "drift": 0.0}
    lost = {}
    for name in ("s3fifo", "lru"):
        calm, scan = (
            replay_trace(name, 6_000_000, generate_trace(1, scan=scan, **args)) for scan in (0.0, 0.2)
        )
        lost[name] = 100.0 * (calm - scan)
    assert lost["s3fifo"] <= 3.0 < lost["lru"] + 1.0
    assert lost["s3fifo"] < lost["lru"]


def test_an_entry_evicted_from_the_small_queue_enters_the_main_queue_when_offered_again() -> None:
    policy = S3Fifo(1000)
    for key in range(10):
        policy.offer(key, 100)
    assert policy.offer(10, 100) == [0]
    policy.offer(0, 100)
    assert 0 in policy.main


def test_a_large_entry_does_not_evict_many_small_ones_for_one_request() -> None:
    policy = TinyLfu(10_000, Sketch(1024))
    for key in range(1, 101):
        for _ in range(3):
            policy.miss(key)
        policy.offer(key, 95)
    kept = sum(key in policy for key in range(1, 101))
    policy.miss(999)
    policy.offer(999, 5_000)
    policy.offer(998, 400)
    assert sum(key in policy for key in range(1, 101)) >= kept - 6


def test_one_owner_can_not_evict_anothers_entries() -> None:
    shares = Shares(100_000, {"files": 3.0, "lookups": 1.0}, POLICIES["s3fifo"])
    for key in range(50):
        shares.offer("lookups", key, 400)
    assert shares.used == 20_000
    for key in range(1000, 3000):
        shares.offer("files", key, 1_000)
    assert sum(key in shares for key in range(50)) == 50
    assert shares.owners["files"].used <= 75_000
    for key in range(100, 400):
        shares.offer("lookups", key, 1_000)
    assert shares.owners["lookups"].used <= 25_000 and shares.owners["files"].used > 70_000


def test_a_new_owner_reduces_the_others_space_and_memory_drops_their_copies() -> None:
    memory = Memory(100 * (1000 + OVERHEAD_BYTES))
    for key in range(100):
        memory.put("files", part(key), bytes(1000))
    assert len(memory.copies) == 100
    memory.put("lookups", part(500), bytes(1000))
    assert len(memory.copies) <= 51 and memory.used <= memory.max_bytes
    assert set(memory.copies) == set(memory.shares.owner_of)


def test_a_request_of_a_new_class_removes_the_copies_it_evicts_from_memory_at_once() -> None:
    """The first request of a class left evicted copies behind; the next request for one raised KeyError."""
    memory = Memory(100 * (1000 + OVERHEAD_BYTES))
    for key in range(100):
        memory.put("files", part(key), bytes(1000))
    memory.record_miss("lookups", 500)
    found = [key for key in range(100) if memory.get(key, 0)]
    assert 0 < len(found) <= 50 and memory.used <= memory.max_bytes // 2


@pytest.mark.parametrize("policy", POLICIES)
def test_memory_and_its_policies_agree_after_every_call(policy: str) -> None:
    """New classes divide the space anew between any two calls."""
    rng = random.Random(11)
    for _ in range(20):
        memory = Memory(30_000, {"a": 3.0}, policy)
        for step in range(400):
            owner = rng.choice("abcdef"[: 1 + step // 50])
            held_part = part(rng.randrange(60))
            call = rng.randrange(4)
            if call == 0:
                memory.put(owner, held_part, bytes(rng.randrange(3_000)))
            elif call == 1:
                memory.record_miss(owner, hash_part(held_part.key, 0))
            elif call == 2:
                memory.drop(hash_part(held_part.key, 0))
            else:
                memory.get(held_part.key, 0)
            assert set(memory.copies) == set(memory.shares.owner_of)
            sizes = [len(copy.body) + OVERHEAD_BYTES for copy in memory.copies.values()]
            assert memory.used == sum(sizes) <= memory.max_bytes


def test_the_sketch_counts_ages_and_ignores_keys_seen_once() -> None:
    sketch = Sketch(1 << 12, sample=20_000)
    rng = random.Random(1)
    for _ in range(10):
        sketch.add(7)
    assert 9 <= sketch.count(7) <= MAX_COUNT + 1
    for _ in range(3_000):
        sketch.add(rng.getrandbits(64))
    unseen = [sketch.count(rng.getrandbits(64)) for _ in range(2_000)]
    assert sum(count >= 2 for count in unseen) < 40
    for _ in range(30_000):
        sketch.add(rng.getrandbits(64))
    assert sketch.count(7) <= 8


def test_an_invalid_trace_is_reported_with_its_line(tmp_path: object) -> None:
    file = tmp_path / "trace"  # type: ignore[operator]
    file.write_text("# sizes\nab 10\nab ten\n")
    with pytest.raises(ValueError, match=r"trace:3: 'ab ten' is not KEY SIZE"):
        read_trace(file)
