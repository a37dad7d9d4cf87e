"""Repeat budget for parts: for each file, for each client, and for the gateway as a whole.

Prevents a retry storm: when many requests fail at once, repeats stay a small share of the requests. The
attempts that the decision module makes within one request are not counted here; this budget limits how often
a part is requested again after such a request has ended. Memory bound: with more than 1000 clients, the
entries whose token bucket is full again are dropped.
"""

from dataclasses import dataclass, field

REPEAT_SHARE = 0.1  # repeats earned by each requested part
MAX_SAVED_REPEATS = 50.0  # most repeats that can be saved up
MIN_FILE_REPEATS, FILE_REPEAT_SHARE = 3, 0.2  # repeats of one file: a base and a share of its parts
MAX_CLIENT_REPEATS, CLIENT_REPEATS_PER_S = 20.0, 2.0  # token bucket of one client
HEDGE_LAST_PARTS = 2  # only the last parts of a file may be requested a second time
HEDGE_DELAY_FACTOR = 3.0  # a part is late after this many times the typical wait


@dataclass(slots=True)
class FileRepeatBudget:
    """Parts requested and repeats made for one body."""

    parts: int = 0
    repeats: int = 0

    def can_repeat(self) -> bool:
        """Return whether one more part of this body may be repeated."""
        return self.repeats < MIN_FILE_REPEATS + FILE_REPEAT_SHARE * self.parts


@dataclass(slots=True)
class RepeatBudget:
    """Repeat budget of all repositories of a gateway; times in ms."""

    tokens: float = MAX_SAVED_REPEATS
    clients: dict[str, tuple[float, float]] = field(default_factory=dict)  # tokens, time of the last update
    typical_wait_ms: float = 0.0
    repeats_spent: int = 0
    repeats_denied: int = 0
    hedge_count: int = 0

    def record_request(self, file_budget: FileRepeatBudget) -> None:
        """Record the first request for a part, which earns REPEAT_SHARE of a repeat."""
        file_budget.parts += 1
        self.tokens = min(MAX_SAVED_REPEATS, self.tokens + REPEAT_SHARE)

    def record_wait(self, waited_ms: float) -> None:
        """Update the moving average of how long a part takes."""
        self.typical_wait_ms += (
            0.05 * (waited_ms - self.typical_wait_ms) if self.typical_wait_ms else waited_ms
        )

    def try_repeat(self, file_budget: FileRepeatBudget, client: str, now_ms: float) -> bool:
        """Spend one repeat if file, client and gateway all have one left; return whether it was spent."""
        remaining, updated_ms = self.clients.get(client, (MAX_CLIENT_REPEATS, now_ms))
        remaining = min(
            MAX_CLIENT_REPEATS, remaining + CLIENT_REPEATS_PER_S * max(0.0, now_ms - updated_ms) / 1000.0
        )
        if remaining < 1.0 or self.tokens < 1.0 or not file_budget.can_repeat():
            self.repeats_denied += 1
            return False
        self.tokens -= 1.0
        file_budget.repeats += 1
        self.repeats_spent += 1
        self.clients[client] = (remaining - 1.0, now_ms)
        if len(self.clients) > 1000:
            self._drop_full_buckets(now_ms)
        return True

    def _drop_full_buckets(self, now_ms: float) -> None:
        refill_ms = 1000.0 * MAX_CLIENT_REPEATS / CLIENT_REPEATS_PER_S
        self.clients = {name: entry for name, entry in self.clients.items() if now_ms - entry[1] < refill_ms}

    def try_hedge(
        self,
        number: int,
        parts: int,
        waited_ms: float,
        file_budget: FileRepeatBudget,
        client: str,
        now_ms: float,
    ) -> bool:
        """Spend one repeat on a second request for a late part; return whether to send it.

        Only the last parts of a file are requested twice, and only within the same budget.
        """
        if parts < 0 or number < parts - HEDGE_LAST_PARTS or not self.typical_wait_ms:
            return False
        if waited_ms < HEDGE_DELAY_FACTOR * self.typical_wait_ms or not self.try_repeat(
            file_budget, client, now_ms
        ):
            return False
        self.hedge_count += 1
        return True
