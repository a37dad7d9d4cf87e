"""A gateway's part of what all gateways together may spend, which no pair of views can make too much.

Two kinds, never mixed. A *rule* (cold caches, districts, fills at head office) bounds the sum over all
gateways whatever each believes. Its share is the bound over the configured number and never grows with the
view: on both sides of a cut each thinks the others dead, and if either side took their part, the sum would
pass the bound. Growth was weighed: on a majority's side only it is safe just if the minority gives its own up
first, and with the leases that this takes, half the fleet killed leaves no more to the rest than shares that
never grow (docs/membership.md). A *preference* (homes, who is asked first, how much of the traffic is mine)
follows the view at once, since nothing breaks where two differ.

Unequal traffic counts where it is told: a gateway of a busier zone has the larger part, in units of SHARES,
and the parts of all configured gateways never sum to more than the whole, however each rounds.
"""

from collections.abc import Collection, Sequence
from math import floor

SHARE_UNITS = 10_000


def limit_share(bound: float, size: int) -> float:
    """Give one gateway's part of a bound that is a rule: over the configured number, whatever is believed."""
    return bound / max(1, size)


def weighted_share(bound: float, weights: Sequence[float], own_number: int) -> float:
    """Give my part of a rule's bound by configured weights; the sum over all is at most the bound."""
    total = sum(weights)
    return (
        bound * floor(SHARE_UNITS * weights[own_number] / total) / SHARE_UNITS
        if total > 0.0
        else limit_share(bound, len(weights))
    )


def capped_share(bound: float, wanted: float, size: int, serving: int) -> float:
    """Give what one gateway spends of a bound that is a rule, where a whole fleet would use `wanted` of it.

    The wanted part is divided by those believed to serve, so that the rest takes over what the dead don't
    use; the rule's share by the configured number caps it. So `size` gateways spend at most the bound
    whatever each believes, also where all of them believe to be alone; and of a fleet of which the share
    wanted / bound or more is left, the wanted part is used in full. `cold_rate` in `decide.py` does the same.
    """
    return min(wanted / max(1, min(serving, size)), limit_share(bound, size))


def preferred_share(serving: Collection[int], own_number: int) -> float:
    """Give my part of what is mere preference: over those in service now, myself among them."""
    return 1.0 / max(1, len(set(serving) | {own_number}))
