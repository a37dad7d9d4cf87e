"""The figures of the tiers that operators read with `show-stat`, below `store.`."""

from functools import partial
from typing import TYPE_CHECKING

from hitchtiller.ops.stats import Stats

if TYPE_CHECKING:
    from hitchtiller.store.tier import Tier

TIER_COUNTERS = ("misses", "confirmed", "refuted", "slow_link", "unheard_copies")
JOIN_COUNTERS = ("joined", "promoted", "impatient", "spared")
DISK_GAUGES = ("segments", "parts", "bytes", "dead_bytes", "queued_bytes", "state")
DISK_COUNTERS = ("puts", "dropped", "reads", "glanced", "torn", "checkpoints")


def publish_figures(tier: "Tier", stats: Stats) -> None:
    """Register the figures of a tier; those of the disk are 0 while no folder is open."""
    for name in tier.hits:
        stats.counters[f"store.hits.{name}"] = partial(tier.hits.__getitem__, name)
    for name in TIER_COUNTERS:
        stats.counters[f"store.{name}"] = partial(getattr, tier, name)
    for name in JOIN_COUNTERS:
        stats.counters[f"store.join.{name}"] = partial(getattr, tier.joins, name)
    stats.gauges["store.memory_bytes"] = lambda: tier.memory.used
    stats.gauges["store.era"] = lambda: tier.proof.epoch
    for name in DISK_GAUGES:
        stats.gauges[f"store.disk.{name}"] = partial(_disk_gauge, tier, name)
    for name in DISK_COUNTERS:
        stats.counters[f"store.disk.{name}"] = partial(_disk_counter, tier, name)


def _disk_gauge(tier: "Tier", name: str) -> int:
    return tier.disk.figures()[name] if tier.disk else 0


def _disk_counter(tier: "Tier", name: str) -> int:
    return int(getattr(tier.disk.counts, name)) if tier.disk else 0
