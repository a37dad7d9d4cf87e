"""The memory tier alone, for the platform's gateway: no disk, no threads, no operators' file.

Used by `python -m hitchtiller --memory-tier`. Its imports take 1.1 MB, and its copies a tenth of the memory
limit but at most 16 MB (limits.py), because two versions that run side by side, with their copies, have to
fit into the limit together. Where the limit is too small for that, this module is not imported.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from hitchtiller.limits import memory_tier_mb
from hitchtiller.log import logger
from hitchtiller.store.memory import Memory
from hitchtiller.store.pace import Pace
from hitchtiller.store.suspect import Proof, SavedProof
from hitchtiller.store.tier import Tier

if TYPE_CHECKING:
    from hitchtiller.__main__ import Gateway


def join(gateway: "Gateway") -> Callable[[], None]:
    """Add the memory tier to a gateway; suspect copies are not confirmed by a server."""
    config = gateway.config
    size_mb = memory_tier_mb(config.memory_mb)
    proof = Proof(SavedProof(), config.settings.purge_done_ms)
    pace = Pace(config.flow_bytes_per_s, config.link_bytes_per_s)
    tier = Tier(gateway.engine, Memory(int(size_mb * 1e6)), proof, pace, confirm=False)
    gateway.bus.on_caught_up = tier.on_caught_up
    logger.info("memory tier of {:.1f} MB", size_mb)
    return lambda: None
