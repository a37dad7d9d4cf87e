"""A gateway's share of fleet-wide limits, such that the shares never exceed a limit, whatever the views are.

Two kinds of values are kept apart. A *limit* (for cold caches, for parents, for fills from the origin) bounds
the sum over all gateways, whatever each believes. A gateway's share of it is the bound divided by the
configured number of gateways and never grows with the view: on each side of a network partition the gateways
believe the others dead, and if they took over the others' shares, the sum would exceed the bound. Growing
shares on the majority's side only would be safe only if the minority gave up its shares first, and with the
leases needed for that, the death of half the fleet leaves the rest no more than shares that never grow (see
docs/membership.md). A *preference* (homes, the order of requests to servers, this gateway's part of the
traffic) follows the view at once, since no limit breaks where two views differ.

Unequal traffic is considered where weights are configured: a gateway of a busier zone has a larger share, in
multiples of 1 / SHARE_UNITS, and the shares of all configured gateways never sum to more than the whole,
however they are rounded.
"""

from collections.abc import Collection, Sequence
from math import floor

SHARE_UNITS = 10_000


def limit_share(bound: float, size: int) -> float:
    """Return one gateway's share of a limit: the bound over the configured number of gateways."""
    return bound / max(1, size)


def weighted_share(bound: float, weights: Sequence[float], own_number: int) -> float:
    """Return this gateway's share of a limit by configured weights; all shares sum to at most the bound."""
    total = sum(weights)
    return (
        bound * floor(SHARE_UNITS * weights[own_number] / total) / SHARE_UNITS
        if total > 0.0
        else limit_share(bound, len(weights))
    )


def capped_share(bound: float, wanted: float, size: int, serving: int) -> float:
    """Return what one gateway may use of a limit of which a whole fleet would use `wanted`.

    The wanted part is divided by the number of members believed to serve, so that the rest of the fleet takes
    over what dead members don't use, and is capped at the share by the configured number. So `size` gateways
    use at most the bound whatever each believes, even if each believes itself alone; and as long as at least
    the share wanted / bound of the fleet is left, the wanted part is used in full. `cold_rate` in `decide.py`
    does the same.
    """
    return min(wanted / max(1, min(serving, size)), limit_share(bound, size))


def preferred_share(serving: Collection[int], own_number: int) -> float:
    """Return this gateway's share of a preference: one part over the members in service and itself."""
    return 1.0 / max(1, len(set(serving) | {own_number}))
