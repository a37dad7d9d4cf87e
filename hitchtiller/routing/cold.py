"""How much one gateway may send to a server that started lately, so that all together don't push it over.

A cold server falls when all gateways send it more, in the time that the settings name, than N calls of mean
work: its fall multiple times what it can do then. No gateway counts the others' calls, so each keeps to a
part that adds up: SAFETY of N, the one call included that each may have in advance of its rate. Where the
gateways are more than half of that, so that not each can have a call and its like again, only some use the
server, picked by hash:

- Numbers that run over just those gateways (parents, and a deployment of one zone) are dealt one to one:
  exactly as many use it as there is room for.
- Which of the fleet's numbers stand in one zone is told nowhere, and a zone's gateways may be numbered in any
  way. Each then draws by a hash of its own number. How many do is left to chance, so fewer are expected: so
  many that three deviations more stay within N + 2 root(N) + 2 calls, which is what the acceptance puts down
  to chance.

Bounds. Nothing is kept but the settings' figures. A process that has started anew has one call in advance
again; that all users start anew within one window adds a half of what they may send, and stays under N.
"""

import math

from hitchtiller.interface import Settings
from hitchtiller.records import Node, combine_hashes, hash64

SAFETY = 0.55  # of N, for weights that are rough, links that are slow, and processes that start anew
LOAD = 0.8  # of what it can do: beyond that it falls behind, and what it holds is late
TURN = 7919  # a prime: deals numbers out one to one
DEVIATIONS = 3.0  # of a chance number of users, that still fit
WHOLE = float(1 << 64)


class ColdGuard:
    """The part of one gateway, for caches of its zone and for parents."""

    def __init__(self, settings: Settings) -> None:
        """Start from the settings alone; where zones' gateways are not told, all count as of this one."""
        s = settings
        told = s.gateways_in_zone[s.zones.index(s.my_zone)] if s.gateways_in_zone else s.group_size
        self.parent_kind, self.origin_kind = s.parent_kind, s.origin_kind
        self.fall_ms, self.group, self.mine, self.in_zone = s.fall_ms, s.group_size, s.my_number, max(1, told)
        self.figures = {  # share at the start, time of the climb, fall multiple, gateways that may use it
            False: (s.cold_share, s.cold_ms, s.fall_multiple, self.in_zone),
            True: (s.parent_cold_share, s.parent_cold_ms, s.parent_fall_multiple, s.group_size),
        }

    def rate_of(self, node: Node, now_ms: float, mean_ms: float, serving_share: float) -> float:
        """Give `rate` for a listed server by its start, or by a refusal: its process was gone."""
        start = max(node.member.started_ms, node.refused_ms)
        if node.member.kind == self.origin_kind or not start:
            return math.inf
        parent = node.member.kind == self.parent_kind
        return self.rate(parent, now_ms - start, node.safe_capacity, node.salt, mean_ms, serving_share)

    def admits(self, node: Node, now_ms: float, mean_ms: float, serving_share: float) -> bool:
        """Tell whether what was sent to a cold server is paid off, so that it may get one more call."""
        if not node.member.started_ms and not node.refused_ms:
            return True
        rate, passed = self.rate_of(node, now_ms, mean_ms, serving_share), now_ms - node.debt_at_ms
        node.debt_at_ms = now_ms
        node.debt_ms = 0.0 if rate == math.inf else max(0.0, node.debt_ms - rate * passed)
        return rate > 0.0 and node.debt_ms <= 0.0

    def rate(
        self,
        parent: bool,
        age_ms: float,
        safe_capacity: float,
        salt: int,
        mean_ms: float,
        serving_share: float,
    ) -> float:
        """Give the work a ms that this gateway may add to what it has sent; infinite once the server is warm.

        `safe_capacity` is the server's link in transfers, `mean_ms` the work of a call of the costliest
        class, `serving_share` the share of the gateways in service.
        """
        share, ramp, multiple, pool = self.figures[parent]
        if age_ms >= ramp:
            return math.inf
        able = safe_capacity * (share + (1.0 - share) * max(0.0, age_ms) / ramp)
        budget = multiple * able * self.fall_ms / mean_ms  # N
        users = max(1.0, math.floor(SAFETY * budget / 2.0))
        if pool <= users:
            users, wanted = pool, max(1.0, pool * serving_share)
        elif pool == self.group:
            if (self.mine * TURN + salt) % pool >= users:
                return 0.0
            wanted = users
        else:
            if combine_hashes(hash64(self.mine), salt) / WHOLE >= min(users, expected(budget)) / pool:
                return 0.0
            wanted = users
        part = SAFETY * multiple * able / users
        return min(LOAD * able / wanted, max(part - mean_ms / self.fall_ms, part / 2.0))


def expected(budget: float) -> float:
    """Give how many users to expect by chance, where each may have two calls of a budget of so many."""
    most = (budget + 2.0 * math.sqrt(budget) + 2.0) / 2.0
    root = (math.sqrt(DEVIATIONS**2 + 4.0 * most) - DEVIATIONS) / 2.0
    return root * root
