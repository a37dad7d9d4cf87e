"""The memory tier alone, for the platform's gateway: no disk, no threads, no operators' file.

`python -m hitchtiller --memory-tier`. Bound: 1.1 MB of imports, and of copies a tenth of the memory limit,
MOST_MB at the most: two versions that live side by side have to fit the limit together, copies included.
Where the limit is too small for that, this module is not imported.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from hitchtiller.log import logger
from hitchtiller.store.memory import Memory
from hitchtiller.store.pace import Pace
from hitchtiller.store.suspect import Proof, SavedProof
from hitchtiller.store.tier import Tier

if TYPE_CHECKING:
    from hitchtiller.__main__ import Gateway

SHARE, MOST_MB = 0.1, 16.0


def room_mb(memory_mb: float) -> float:
    """Give the megabytes of copies for a memory limit."""
    return min(MOST_MB, SHARE * memory_mb)


def join(gateway: "Gateway") -> Callable[[], None]:
    """Join the memory tier to a gateway; suspects are forgotten, not asked about."""
    config = gateway.config
    size = room_mb(config.memory_mb)
    proof = Proof(SavedProof(), config.settings.purge_done_ms)
    pace = Pace(config.flow_bytes_per_s, config.link_bytes_per_s)
    tier = Tier(gateway.engine, Memory(int(size * 1e6)), proof, pace, confirm=False)
    gateway.bus.on_caught_up = tier.on_caught_up
    logger.info("memory tier of {:.1f} MB", size)
    return lambda: None
