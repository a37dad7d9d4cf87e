"""Repeated parts against a budget that a storm can't exceed: of a file, of a client, and of all together.

The engine's own attempts for a part are the decision module's; this bounds how often a part is asked for
again after those have ended. Bound: a client's entry is dropped once its bucket is full again.
"""

from dataclasses import dataclass, field

REPEAT_SHARE = 0.1  # of all parts asked for, that may be repeats
MAX_SAVED_REPEATS = 50.0  # repeats that are saved up at most
MIN_FILE_REPEATS, FILE_REPEAT_SHARE = 3, 0.2  # repeats of one file: some, and a share of its parts
MAX_CLIENT_REPEATS, CLIENT_REPEATS_PER_S = 20.0, 2.0
HEDGE_LAST_PARTS = 2  # parts at a file's end that may be asked for twice
HEDGE_DELAY_FACTOR = 3.0  # times the usual wait


@dataclass(slots=True)
class FileRepeatBudget:
    """One body's repeats."""

    parts: int = 0
    repeats: int = 0

    def can_repeat(self) -> bool:
        """Tell whether one more may be repeated."""
        return self.repeats < MIN_FILE_REPEATS + FILE_REPEAT_SHARE * self.parts


@dataclass(slots=True)
class Budget:
    """All repeats of a gateway's second front; times in ms."""

    tokens: float = MAX_SAVED_REPEATS
    clients: dict[str, tuple[float, float]] = field(default_factory=dict)  # tokens, when
    typical_wait_ms: float = 0.0
    spent: int = 0
    denied: int = 0
    hedge_count: int = 0

    def record_request(self, file: FileRepeatBudget) -> None:
        """Earn from a first request for a part."""
        file.parts += 1
        self.tokens = min(MAX_SAVED_REPEATS, self.tokens + REPEAT_SHARE)

    def record_wait(self, waited_ms: float) -> None:
        """Learn how long a part usually takes."""
        self.typical_wait_ms += (
            0.05 * (waited_ms - self.typical_wait_ms) if self.typical_wait_ms else waited_ms
        )

    def try_repeat(self, file: FileRepeatBudget, client: str, now_ms: float) -> bool:
        """Spend one repeat, if file, client and gateway all have one left."""
        remaining, updated_ms = self.clients.get(client, (MAX_CLIENT_REPEATS, now_ms))
        remaining = min(
            MAX_CLIENT_REPEATS, remaining + CLIENT_REPEATS_PER_S * max(0.0, now_ms - updated_ms) / 1000.0
        )
        if remaining < 1.0 or self.tokens < 1.0 or not file.can_repeat():
            self.denied += 1
            return False
        self.tokens -= 1.0
        file.repeats += 1
        self.spent += 1
        self.clients[client] = (remaining - 1.0, now_ms)
        if len(self.clients) > 1000:
            self._forget(now_ms)
        return True

    def _forget(self, now_ms: float) -> None:
        full_ms = 1000.0 * MAX_CLIENT_REPEATS / CLIENT_REPEATS_PER_S
        self.clients = {name: entry for name, entry in self.clients.items() if now_ms - entry[1] < full_ms}

    def try_hedge(
        self, number: int, parts: int, waited_ms: float, file: FileRepeatBudget, client: str, now_ms: float
    ) -> bool:
        """Tell whether a late part is asked for a second time.

        Only a file's last ones, and from the same budget.
        """
        if parts < 0 or number < parts - HEDGE_LAST_PARTS or not self.typical_wait_ms:
            return False
        if waited_ms < HEDGE_DELAY_FACTOR * self.typical_wait_ms or not self.try_repeat(file, client, now_ms):
            return False
        self.hedge_count += 1
        return True
