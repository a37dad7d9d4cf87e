"""Limits what each gateway sends to a recently started server, so that together they do not overload it.

A cold server becomes overloaded and fails when all gateways together send it more than N calls of mean work
within the time that the settings state, where N is the fall multiple times what the server can do then. No
gateway can count the calls of the others, so each keeps to its own part. The parts add up to SAFETY_FACTOR
of N, including the one call that each gateway may send in advance of its rate. If the gateways outnumber half
of that, so that there are not two calls for each of them, only some use the server, selected by hash:

- If the gateways that may use the server are the whole fleet (for parents, and in a deployment of one zone),
  a permutation of their numbers selects exactly as many as there is room for.
- Otherwise, no setting states which of the fleet's numbers are in one zone, and a zone's gateways may have
  any numbers. Each gateway then decides by a hash of its own number. The number of users is random, so a
  lower number is expected: three standard deviations above it still fit within N + 2 sqrt(N) + 2 calls,
  the excess that the acceptance test attributes to chance.

Bounds. The only state is what the settings give. A restarted process has one call in advance again; if all
users restart within one window, this adds half of what they may send, and the total stays under N.
"""

import math

from hitchtiller.interface import Settings
from hitchtiller.records import Node, combine_hashes, hash64

SAFETY_FACTOR = 0.55  # of N, for rough weights, slow links and restarted processes
MAX_LOAD_SHARE = 0.8  # of what a server can do: above it the server falls behind and its answers are late
NUMBER_MULTIPLIER = 7919  # a prime, by which multiplication modulo the fleet's size permutes gateway numbers
STANDARD_DEVIATIONS = 3.0  # by which the random number of users may exceed the expected one and still fit
HASH_RANGE = float(1 << 64)


class ColdGuard:
    """Limits the work that one gateway sends to cold caches of its zone and to cold parents."""

    def __init__(self, settings: Settings) -> None:
        """Read the limits; unless the settings state the gateways by zone, all count as in this zone."""
        s = settings
        zone_gateways = s.gateways_in_zone[s.zones.index(s.my_zone)] if s.gateways_in_zone else s.group_size
        self.parent_kind, self.origin_kind = s.parent_kind, s.origin_kind
        self.fall_ms, self.fleet_size, self.own_number, self.gateways_in_zone = (
            s.fall_ms,
            s.group_size,
            s.my_number,
            max(1, zone_gateways),
        )
        self.limits = {  # share at the start, ramp, fall multiple, gateways that may use it
            False: (s.cold_share, s.cold_ms, s.fall_multiple, self.gateways_in_zone),
            True: (s.parent_cold_share, s.parent_cold_ms, s.parent_fall_multiple, s.group_size),
        }

    def work_rate_for(self, node: Node, now_ms: float, mean_ms: float, serving_share: float) -> float:
        """Return `work_rate` for a listed server, since its start or since it refused a connection.

        A refused connection shows that the server's process was gone.
        """
        cold_since_ms = max(node.member.started_ms, node.refused_ms)
        if node.member.kind == self.origin_kind or not cold_since_ms:
            return math.inf
        is_parent = node.member.kind == self.parent_kind
        return self.work_rate(
            is_parent, now_ms - cold_since_ms, node.safe_capacity, node.salt, mean_ms, serving_share
        )

    def admits(self, node: Node, now_ms: float, mean_ms: float, serving_share: float) -> bool:
        """Return whether a cold server may get one more call: the work sent to it before is paid off."""
        if not node.member.started_ms and not node.refused_ms:
            return True
        rate, elapsed_ms = self.work_rate_for(node, now_ms, mean_ms, serving_share), now_ms - node.debt_at_ms
        node.debt_at_ms = now_ms
        node.debt_ms = 0.0 if rate == math.inf else max(0.0, node.debt_ms - rate * elapsed_ms)
        return rate > 0.0 and node.debt_ms <= 0.0

    def work_rate(
        self,
        is_parent: bool,
        age_ms: float,
        safe_capacity: float,
        salt: int,
        mean_ms: float,
        serving_share: float,
    ) -> float:
        """Return the work per ms that this gateway may send after the first call; infinite for a warm server.

        `safe_capacity` is the server's link in transfers, `mean_ms` the work of a call of the costliest
        class, `serving_share` the share of the gateways in service.
        """
        start_share, ramp_ms, multiple, gateways = self.limits[is_parent]
        if age_ms >= ramp_ms:
            return math.inf
        capacity = safe_capacity * (start_share + (1.0 - start_share) * max(0.0, age_ms) / ramp_ms)
        budget = multiple * capacity * self.fall_ms / mean_ms  # N
        users = max(1.0, math.floor(SAFETY_FACTOR * budget / 2.0))
        if gateways <= users:
            users, senders = gateways, max(1.0, gateways * serving_share)
        elif gateways == self.fleet_size:
            if (self.own_number * NUMBER_MULTIPLIER + salt) % gateways >= users:
                return 0.0
            senders = users
        else:
            if (
                combine_hashes(hash64(self.own_number), salt) / HASH_RANGE
                >= min(users, expected_users(budget)) / gateways
            ):
                return 0.0
            senders = users
        own_rate = SAFETY_FACTOR * multiple * capacity / users
        return min(
            MAX_LOAD_SHARE * capacity / senders, max(own_rate - mean_ms / self.fall_ms, own_rate / 2.0)
        )


def expected_users(budget: float) -> float:
    """Return how many randomly selected users to expect, for a budget in calls of which each may have two."""
    max_users = (budget + 2.0 * math.sqrt(budget) + 2.0) / 2.0
    root = (math.sqrt(STANDARD_DEVIATIONS**2 + 4.0 * max_users) - STANDARD_DEVIATIONS) / 2.0
    return root * root
