"""Keeps the process below its memory limit: gives free pages back, and takes room away from connections.

The account knows what connections hold, but not what the allocator, small objects and tables take beside it.
While the resident memory nears the limit, connections may therefore hold less than their share of the limit.
"""

import math
import time
from collections.abc import Callable

from hitchtiller import heap
from hitchtiller.limits import allowed_bytes, buffer_bytes
from hitchtiller.ops.process_memory import current_bytes
from hitchtiller.sched import Scheduler

CHECK_INTERVAL_MS = 100.0
# Share of their limit that connections hold, from which much may be free in the heap a little later.
TRIM_HELD_SHARE = 0.2
TRIM_AFTER_S, MAX_UNTRIMMED_S = 2.0, 60.0  # after connections held much, and in any case


class MemoryGuard:
    """Sets the limit of the scheduler's account."""

    def __init__(self, sched: Scheduler, memory_mb: float, on_less: Callable[[], None]) -> None:
        """Guard a limit of `memory_mb`; `on_less` is called when connections may hold less than before."""
        self.sched, self.account, self.memory_mb, self.on_less = sched, sched.account, memory_mb, on_less
        self.resident_bytes: Callable[[], int] = current_bytes
        self.shares_memory = False
        self.trimmed_s, self.much_held_s = time.monotonic(), -math.inf
        self.share(False)

    def share(self, two_processes: bool) -> None:
        """Set whether two processes share the limit."""
        self.shares_memory = two_processes
        self.base_bytes = buffer_bytes(self.memory_mb, two_processes)
        self._set_limit(self.base_bytes)

    def run(self) -> None:
        """Check at regular intervals; never returns."""
        while True:
            self.sched.sleep(CHECK_INTERVAL_MS)
            self.check(time.monotonic())

    def check(self, now_s: float) -> None:
        """Trim the heap if that is due, and adapt the limit of the account."""
        if self.account.held_bytes > TRIM_HELD_SHARE * self.account.limit_bytes:
            self.much_held_s = now_s
        if now_s - self.much_held_s < TRIM_AFTER_S or now_s - self.trimmed_s > MAX_UNTRIMMED_S:
            heap.trim()
            self.trimmed_s = now_s
        if not self.shares_memory:  # what of two processes is shared between them is not known
            resident = self.resident_bytes()
            self._set_limit(
                allowed_bytes(self.base_bytes, self.account.held_bytes, resident, self.memory_mb * 1e6)
            )

    def _set_limit(self, limit_bytes: int) -> None:
        is_less = limit_bytes < self.account.limit_bytes
        self.account.limit_bytes = limit_bytes
        if is_less:
            self.on_less()
