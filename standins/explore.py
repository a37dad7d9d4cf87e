"""Model checking of membership: every interleaving of a small fleet's events up to a given depth.

The events are kills, starts, suspicions, and messages that are lost or repeated. The model uses the program's
own module: views are `View` objects with its merges, refutations and restarts; only the order of the events
is chosen here, and all orders are explored. A message is a whole view at the time when it was sent. It may be
delivered at any later time, repeatedly or never, so loss, delay, repeats and cuts of any shape are all
covered. In each reached state

- the parts of a fleet-wide bound that all running gateways may use, each by its own view
  (`shares.capped_share`), sum to no more than the bound, whatever the views are;
- no member invents a claim for another: no view has an incarnation that its owner never had;
- once all running gateways have exchanged their views, in two rounds, the views are equal and no running
  gateway is considered gone.

`python -m standins.explore --size 3 --depth 7` prints the number of states. Cost: each state takes some
microseconds and is stored as a tuple; the search is breadth first.
"""

import argparse
import time
from collections.abc import Iterator
from dataclasses import dataclass

from hitchtiller.membership.shares import capped_share
from hitchtiller.membership.view import MemberClaim, State, View

BOUND, WANTED_SHARE = 1.0, 0.8  # the fleet's bound, and how much of it a complete fleet would use at most
MAX_STARTS = 2  # the most times that each gateway starts
# A view: incarnation and state by number; () if the gateway does not run.
FrozenView = tuple[tuple[int, int], ...]
Message = tuple[int, FrozenView]  # the sender, and its view
# Views, starts so far, and messages in transit.
FleetState = tuple[tuple[FrozenView, ...], tuple[int, ...], frozenset[Message]]


@dataclass(slots=True)
class SearchResult:
    """The results of a search."""

    states: int = 0
    depth: int = 0
    most: float = 0.0  # the largest sum of the gateways' parts of the bound
    broken: list[str] | None = None  # the last event, the broken invariant and the state


def thaw(number: int, frozen: FrozenView) -> View:
    """Return the `View` object of a frozen view."""
    view = View(number, len(frozen), frozen[number][0])
    view.claims = {n: MemberClaim(incarnation, State(state)) for n, (incarnation, state) in enumerate(frozen)}
    return view


def freeze(view: View) -> FrozenView:
    """Return a view as a hashable value."""
    return tuple((claim.incarnation, int(claim.state)) for _, claim in sorted(view.claims.items()))


def first_incarnation(number: int, start: int) -> int:
    """Return the incarnation with which a gateway starts; refutations count up from there."""
    return 1000 * (start + 1) + number


def merge_message(view: View, frozen: FrozenView) -> None:
    """Merge all claims of a message into a view."""
    for number, (incarnation, state) in enumerate(frozen):
        view.merge(number, MemberClaim(incarnation, State(state)), 0, 0.0)


def next_states(fleet: FleetState, max_messages: int) -> Iterator[tuple[str, FleetState]]:
    """Yield each possible next event, as text, with its state; `max_messages` bounds those in transit."""
    views, start_counts, in_transit = fleet
    size = len(views)
    for i in range(size):
        if not views[i]:
            if start_counts[i] < MAX_STARTS:
                fresh = View(i, size, first_incarnation(i, start_counts[i]))
                begun = tuple(n + (k == i) for k, n in enumerate(start_counts))
                yield f"start {i}", (_with(views, i, freeze(fresh)), begun, in_transit)
            continue
        yield f"kill {i}", (_with(views, i, ()), start_counts, in_transit)
        message = (i, views[i])
        if message not in in_transit and len(in_transit) < max_messages:
            yield f"send {i}", (views, start_counts, in_transit | {message})
        for j in range(size):
            state = views[i][j][1]
            if j != i and state < State.DEAD:  # a probe failed or a suspicion expired, rightly or not
                view = thaw(i, views[i])
                view.merge(j, MemberClaim(views[i][j][0], State(state + 1)), i, 0.0)
                yield f"{i} doubts {j}", (_with(views, i, freeze(view)), start_counts, in_transit)
    for sender, frozen in in_transit:
        yield f"lose {sender}'s", (views, start_counts, in_transit - {(sender, frozen)})
        for i in range(size):
            if views[i] and i != sender:  # the message stays in transit, as it may be repeated
                view = thaw(i, views[i])
                merge_message(view, frozen)
                after = freeze(view)
                if after != views[i]:
                    yield f"{sender}'s reaches {i}", (_with(views, i, after), start_counts, in_transit)


def _with(views: tuple[FrozenView, ...], number: int, frozen: FrozenView) -> tuple[FrozenView, ...]:
    return (*views[:number], frozen, *views[number + 1 :])


def sum_of_parts(views: tuple[FrozenView, ...]) -> float:
    """Return the sum of the parts that all running gateways may use, each by its own view."""
    size, total = len(views), 0.0
    for frozen in views:
        if frozen:
            serving = sum(state < State.DEAD for _, state in frozen)
            total += capped_share(BOUND, WANTED_SHARE, size, serving)
    return total


def judge(fleet: FleetState) -> str:
    """Return the first invariant that a state breaks as a sentence, or an empty text."""
    views, start_counts, _ = fleet
    if sum_of_parts(views) > BOUND + 1e-9:
        return f"the parts sum to {sum_of_parts(views):.3f} of the bound"
    for i, frozen in enumerate(views):
        for j, (incarnation, _) in enumerate(frozen):
            if incarnation and not any(
                first_incarnation(j, start) <= incarnation < first_incarnation(j, start) + 900
                for start in range(start_counts[j])
            ):
                return f"{i} holds an incarnation {incarnation} of {j} that it never had"
    running = [i for i, frozen in enumerate(views) if frozen]
    merged = {i: thaw(i, views[i]) for i in running}
    for _ in range(2):
        for i in running:
            for j in running:
                merge_message(merged[j], freeze(merged[i]))
    ends = {freeze(view) for view in merged.values()}
    if len(ends) > 1:
        return "views differ after a full exchange"
    gone = [i for i in running for end in ends if end[i][1] >= State.DEAD]
    return f"{gone} run and are held for gone after a full exchange" if gone else ""


def search(size: int, depth: int, max_messages: int = 2) -> SearchResult:
    """Search all paths of up to `depth` events from a complete fleet; stop at the first broken invariant."""
    views = tuple(freeze(View(i, size, first_incarnation(i, 0))) for i in range(size))
    whole = [thaw(i, frozen) for i, frozen in enumerate(views)]
    for view in whole:
        for frozen in views:
            merge_message(view, frozen)
    begin: FleetState = (tuple(map(freeze, whole)), (1,) * size, frozenset())
    found, seen, frontier = SearchResult(), {begin: ""}, [begin]
    while frontier and found.depth < depth:
        found.depth, after = found.depth + 1, []
        for fleet in frontier:
            for named, new in next_states(fleet, max_messages):
                if new in seen:
                    continue
                seen[new] = ""
                after.append(new)
                found.most = max(found.most, sum_of_parts(new[0]))
                if wrong := judge(new):
                    found.states, found.broken = len(seen), [named, wrong, repr(new)]
                    return found
        frontier = after
    found.states = len(seen)
    return found


def main() -> None:
    """Run a search with the options of the command line."""
    parser = argparse.ArgumentParser(description="search all interleavings of a small fleet's events")
    parser.add_argument("--size", type=int, default=3)
    parser.add_argument("--depth", type=int, default=6)
    parser.add_argument("--words", type=int, default=2, help="the most different messages in transit at once")
    args = parser.parse_args()
    begun = time.monotonic()
    found = search(args.size, args.depth, args.words)
    took = time.monotonic() - begun
    print(f"{found.states} states to depth {found.depth}, parts at most {found.most:.3f}, {took:.1f} s")
    if found.broken:
        raise SystemExit("broken: " + "; ".join(found.broken))


if __name__ == "__main__":
    main()
