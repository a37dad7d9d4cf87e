"""Checkers of the five rules: each is given the events of a run and is independent of the code that decides.

All times are milliseconds of one clock. Each checker collects violations as sentences in `broken`; an empty
list means that its rule held.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field

SLACK_MS = 8.0  # how long after its deadline a final answer still counts as in time


@dataclass(slots=True)
class Answers:
    """Checks that each accepted request gets exactly one final answer, before its client gives up."""

    broken: list[str] = field(default_factory=list)
    deadlines_ms: dict[object, float] = field(default_factory=dict)
    answered_requests: set[object] = field(default_factory=set)

    def taken(self, request: object, deadline_ms: float) -> None:
        """Record an accepted request."""
        self.deadlines_ms[request] = deadline_ms

    def answered(self, request: object, now_ms: float) -> None:
        """Record a final answer of any kind."""
        if request in self.answered_requests:
            self.broken.append(f"{request}: a second answer")
        elif now_ms > self.deadlines_ms[request] + SLACK_MS:
            self.broken.append(f"{request}: answered {now_ms - self.deadlines_ms[request]:.0f} ms late")
        self.answered_requests.add(request)

    def end(self) -> None:
        """Report the requests that have no answer at the end of the run."""
        self.broken += [
            f"{request}: no answer" for request in self.deadlines_ms if request not in self.answered_requests
        ]


@dataclass(slots=True)
class Effects:
    """Checks that no request that may have run is sent again unless its class allows that."""

    broken: list[str] = field(default_factory=list)
    possibly_ran: dict[object, tuple[float, str, int]] = field(default_factory=dict)
    open_attempts: set[object] = field(default_factory=set)

    def sent(
        self, request: object, now_ms: float, effect: str, scope: str, window_ms: float, zone: str, cell: int
    ) -> None:
        """Record an attempt; `scope` says which servers drop a repeat of it by its key."""
        if effect == "repeatable":
            return
        if request in self.open_attempts:
            self.broken.append(f"{request}: two attempts at the same time")
        self.open_attempts.add(request)
        if (first := self.possibly_ran.get(request)) is None:
            return
        since, its_zone, its_cell = first
        same = {"zone": zone == its_zone, "cell": cell == its_cell}.get(scope, True)
        if effect != "by_key" or not same or now_ms >= since + window_ms:
            self.broken.append(f"{request}: sent again {now_ms - since:.0f} ms after it may have run")

    def ended(self, request: object, sent_ms: float, never_ran: bool, zone: str, cell: int) -> None:
        """Record the end of an attempt."""
        self.open_attempts.discard(request)
        if not never_ran:
            self.possibly_ran.setdefault(request, (sent_ms, zone, cell))

    def refused(self, request: object, effect: str, scope: str) -> None:
        """Record a refusal, which tells the client that it can safely try again."""
        if request in self.possibly_ran and not (
            effect == "repeatable" or (effect == "by_key" and scope == "all")
        ):
            self.broken.append(f"{request}: refused though it may have run")


@dataclass(slots=True)
class Drains:
    """Checks that a gateway stops using a server, also as a source, within the grace time after the news.

    The news are that the server is draining or gone.
    """

    grace_ms: float
    broken: list[str] = field(default_factory=list)
    told_at_ms: dict[tuple[int, str], float] = field(default_factory=dict)

    def heard(self, gateway: int, server: str, serving: bool, now_ms: float) -> None:
        """Record the state of a server that a gateway was told."""
        if serving:
            self.told_at_ms.pop((gateway, server), None)
        else:
            self.told_at_ms.setdefault((gateway, server), now_ms)

    def sent(self, gateway: int, server: str, now_ms: float) -> None:
        """Record that a gateway sent a request to a server or named it as a source."""
        since = self.told_at_ms.get((gateway, server))
        if since is not None and now_ms > since + self.grace_ms:
            self.broken.append(f"{server}: gateway {gateway} sent {now_ms - since:.0f} ms after it was told")


@dataclass(slots=True)
class ColdStarts:
    """Checks that all gateways together do not overload a server that has just started.

    The bound is `multiple` times the server's capacity over any `window_ms`; the capacity grows linearly from
    `share` of the full one at the start to the full one after `ramp_ms`.
    """

    multiple: float
    window_ms: float
    share: float
    ramp_ms: float
    broken: list[str] = field(default_factory=list)
    started: dict[str, tuple[float, float]] = field(default_factory=dict)
    sent: dict[str, deque[tuple[float, float, bool]]] = field(default_factory=lambda: defaultdict(deque))
    most: float = 0.0  # the largest used share of the bound

    def start(self, server: str, link: float, now_ms: float) -> None:
        """Record a start; `link` is the number of transfers that the server can carry once it is warm."""
        self.started[server] = (now_ms, link)
        self.sent[server].clear()

    def reach(self, server: str, work_ms: float, now_ms: float, told: bool) -> None:
        """Record work that reaches a server, accepted or not; `told`: its sender knew of the start."""
        if server not in self.started:
            return
        start_ms, link = self.started[server]
        window = self.sent[server]
        window.append((now_ms, work_ms, told))
        while window[0][0] <= now_ms - self.window_ms:
            window.popleft()
        warm_share = min(1.0, (now_ms - start_ms) / self.ramp_ms) if self.ramp_ms else 1.0
        capacity = link * (self.share + (1.0 - self.share) * warm_share)
        if warm_share < 1.0:
            # The latest attempt does not count: alone it can exceed the bound of a small cold server, which
            # is no overload. A window counts if two thirds of its work came from informed senders.
            work = sum(work for _, work, _ in window) - work_ms
            senders_knew = sum(work for _, work, told in window if told) >= 2.0 / 3.0 * (work + work_ms)
            used_share = work / (self.multiple * capacity * self.window_ms)
            self.most = max(self.most, used_share if senders_knew else 0.0)
            if used_share > 1.0 and senders_knew:
                self.broken.append(
                    f"{server}: {used_share:.2f} of its bound {now_ms - start_ms:.0f} ms after its start"
                )


@dataclass(slots=True)
class Purges:
    """Checks that attempts sent later than the grace time after news of a purge return no older copy."""

    grace_ms: float
    broken: list[str] = field(default_factory=list)
    told_at_ms: dict[tuple[int, int], tuple[float, float]] = field(default_factory=dict)

    def heard(self, gateway: int, key: int, made_ms: float, now_ms: float) -> None:
        """Record that a gateway is told now of a purge made at `made_ms`."""
        self.told_at_ms[gateway, key] = (made_ms, now_ms)

    def served(self, gateway: int, key: int, sent_ms: float, copy_ms: float) -> None:
        """Record an answer to an attempt of `sent_ms` from a copy that the origin served at `copy_ms`."""
        made, since = self.told_at_ms.get((gateway, key), (0.0, sent_ms))
        if sent_ms > since + self.grace_ms and copy_ms < made:
            self.broken.append(f"{key}: a copy {made - copy_ms:.0f} ms older than its purge")
