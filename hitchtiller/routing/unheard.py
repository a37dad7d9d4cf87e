"""Purges that count as told although the event bus was not heard: which copies may still be used.

Whatever the bus has to tell counts as told MAX_TOLD_DELAY_MS later at the latest, whether it arrived or not
(PROTOCOL, figures), and binds the gateway after the grace time of the settings. So a copy may be used while
the time as of which no purge of it can have been missed is less than that ago. Two sources give that time:

- the bus: the time as of which all its events are known;
- an answer of a server: servers drop purged copies within a stated time by themselves, so an answer can only
  miss the purges made in that time before the attempt was sent.

Where that stated time leaves nothing of the time until a purge counts as told, attempts carry an age limit
while the bus is not heard: a copy can't miss a purge that was made before it left the origin.
"""

import math
from dataclasses import dataclass

from hitchtiller import interface as api

MAX_TOLD_DELAY_MS = 7_000.0
MARGIN_MS = 100.0  # for the way of a request and of a heartbeat
MIN_USE_MS = 500.0  # for which an answer has to be usable as a copy, else attempts carry an age limit
# Of the time for which a copy may be used: the part over which the ends of different copies are spread, so
# that they are not all asked for at once.
SPREAD_SHARE = 0.15
HASH_STEPS = 1 << 16


def spread(object_hash: int) -> float:
    """Return the share of its time for which a copy is used, from 1 - SPREAD_SHARE to 1, by a hash."""
    return 1.0 - SPREAD_SHARE * (object_hash % HASH_STEPS) / HASH_STEPS


@dataclass(frozen=True, slots=True)
class UnheardPurges:
    """The bounds of one deployment in milliseconds; all times are of `now_ms`."""

    limit_ms: float  # from an event in the bus until it binds a gateway that has not heard of it
    gone_ms: float  # from a purge until all servers have dropped the older copies

    @classmethod
    def of(cls, settings: api.Settings) -> "UnheardPurges":
        """Return the bounds that follow from the settings."""
        return cls(MAX_TOLD_DELAY_MS + settings.purge_grace_ms - MARGIN_MS, settings.purge_done_ms)

    def heard_until_ms(self, known_ms: float, share: float) -> float:
        """Return until when a copy may be used if all events up to `known_ms` are known."""
        return known_ms + share * self.limit_ms

    def answer_until_ms(self, asked_ms: float, max_age_ms: float, share: float) -> float:
        """Return until when an answer to an attempt with an age limit (0: none) may be used as a copy."""
        missed_ms = min(self.gone_ms, max_age_ms or math.inf)
        return asked_ms + share * max(0.0, self.limit_ms - missed_ms)

    def limit_age(self, max_age_ms: float, unheard_ms: float) -> float:
        """Tighten the age limit (0: none) of an attempt; `unheard_ms` ago is when all events were known.

        Half of the time is left for the use of the copy, so that not each request needs an attempt.
        """
        if self.gone_ms < self.limit_ms - MIN_USE_MS or unheard_ms < self.limit_ms / 2.0:
            return max_age_ms
        return min(max_age_ms or math.inf, self.limit_ms / 2.0)
