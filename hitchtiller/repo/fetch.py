"""Parts by way of the engine: with a deadline, repeated within a budget, in order, within the window.

Greenlets of the loop. Each part is a request like any other: the decision module chooses, repeats and
refuses. Bounds: the window's parts a body; `BackgroundLimit`'s parts in all; what waits for a place waits in
order, until its deadline.
"""

import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial

from greenlet import getcurrent, greenlet

from hitchtiller.engine import Engine
from hitchtiller.exchange import REFUSED, SERVED, Answer, ClientRequest, Exchange
from hitchtiller.repo.admission import BackgroundLimit
from hitchtiller.repo.body import Piece
from hitchtiller.repo.budget import HEDGE_AFTER, HEDGE_LAST, Budget, FileBudget
from hitchtiller.repo.window import Window
from hitchtiller.sched import Scheduler, now_ms

PART = 240_000  # bytes: the most that the platform's objects hold
PAUSE_MS = 100.0  # before a part is asked for again
FULL_MS = 20.0  # how often a client that takes nothing is looked at
ABSENT = "absent"  # the tag of an empty part that says: there is no such file


class Refused(Exception):
    """Turned away; `wait_ms` says for how long."""

    def __init__(self, wait_ms: float) -> None:
        """Keep the advice."""
        super().__init__("refused")
        self.wait_ms = wait_ms


class Failed(Exception):
    """No part came in time, again and again."""


@dataclass(slots=True)
class Source:
    """Where the parts of one file come from, and for whom."""

    key: int
    class_name: str
    group: int
    client: str
    budget: FileBudget = field(default_factory=FileBudget)


def _size(got: Piece | Exception) -> int:
    return len(got.data) if isinstance(got, Piece) else 0


class Fetcher:
    """Asks the engine for parts."""

    def __init__(
        self, sched: Scheduler, engine: Engine, give_way: BackgroundLimit, budget: Budget, seed: int
    ) -> None:
        """Share limits and budget among all bodies."""
        self.sched, self.engine, self.give_way, self.budget = sched, engine, give_way, budget
        self.rng = random.Random(seed)
        self.queue: deque[greenlet] = deque()  # who waits for a place
        self.asked = self.came = 0
        engine.on_final_answer = self._foreground

    def _foreground(self, exchange: Exchange, answer: Answer) -> None:
        """Learn from other classes' answers whether the foreground keeps up."""
        if exchange.request.background:
            return
        now, cls = now_ms(), self.engine.router.settings.classes[exchange.request.class_name]
        in_time = answer.kind == SERVED and now - exchange.taken_ms <= cls.aim_ms
        self.give_way.foreground(in_time, now)

    def look(self) -> None:
        """Let the limit follow the foreground; called a few times a second."""
        self.give_way.look(self.sched.lag_ms, now_ms())
        self._next()

    def _next(self) -> None:
        while self.queue and (not self.give_way.on or self.give_way.open < int(self.give_way.limit)):
            self.sched.wake(self.queue.popleft(), True)
            return

    def _enter(self, until_ms: float) -> None:
        me = getcurrent()
        while not self.give_way.admits():
            self.queue.append(me)
            timer = self.sched.later(max(1.0, until_ms - now_ms()), lambda: self._tired(me))
            let_in = self.sched.park()
            timer.cancel()
            if not let_in:
                raise Refused(self.engine.router.settings.max_retry_after_ms)
        self.give_way.open += 1

    def _tired(self, task: greenlet) -> None:
        if task in self.queue:
            self.queue.remove(task)
            self.sched.wake(task, False)

    def one(self, source: Source, number: int) -> Piece:
        """Get one part, parking this greenlet; Refused or Failed where it does not come."""
        cls = self.engine.router.settings.classes[source.class_name]
        begun = now_ms()
        until = begun + cls.deadline_ms
        self._enter(until)
        self.asked += 1
        try:
            answer = self._ask(source, number, until)
        finally:
            self.give_way.open -= 1
            self._next()
        if answer.kind == SERVED:
            self.came += 1
            self.budget.came(now_ms() - begun)
            return Piece(answer.body, answer.tag, answer.since_ms)
        if answer.kind == REFUSED:
            raise Refused(answer.wait_ms)
        raise Failed

    def _ask(self, source: Source, number: int, until: float) -> Answer:
        me, got = getcurrent(), list[Answer]()
        parked = False

        def deliver(answer: Answer) -> None:
            got.append(answer)
            if parked:
                self.sched.wake(me)

        name = f"{source.key:016x}"
        ask = ClientRequest(
            f"{self.rng.getrandbits(64):016x}", source.class_name, name, source.key, until,
            part=number, group=source.group, size_kb=PART / 1000.0, background=True,
        )  # fmt: skip
        exchange = self.engine.take(ask, deliver)
        if not got:
            parked = True
            try:
                self.sched.park()
            except BaseException:
                self.engine.leave(exchange)
                raise
        return got[0]

    def again(self, source: Source, number: int, fits: Callable[[Piece], bool] = lambda piece: True) -> Piece:
        """Get one part, repeating within the budget what fails or does not fit.

        The last answer goes up as it is.
        """
        self.budget.asked(source.budget)
        while True:
            wait, error, piece = PAUSE_MS, Exception(), None
            try:
                piece = self.one(source, number)
                if fits(piece):
                    return piece
            except Refused as refused:
                wait, error = max(PAUSE_MS, refused.wait_ms), refused
            except Failed as failed:
                error = failed
            if not self.budget.repeat(source.budget, source.client, now_ms()):
                if piece is None:
                    raise error
                return piece
            self.sched.sleep(wait)

    def ordered(
        self,
        source: Source,
        numbers: Iterator[int],
        waiting: Callable[[], int],
        fits: Callable[[Piece], bool],
        total: int = -1,
    ) -> Iterator[tuple[int, Piece]]:
        """Give parts in the order of their numbers, several under way; closing the iterator ends them.

        `waiting` tells how many bytes wait for the client: while there are many, nothing more is asked for.
        With a known `total` of parts, the last ones are asked for a second time where they are late.
        """
        window, me = Window(), getcurrent()
        ready: dict[int, Piece | Exception] = {}
        out: dict[int, int] = {}  # requests under way for a part
        order: deque[int] = deque()
        more, closed, parked, starved = True, False, False, False

        def run(number: int) -> None:
            nonlocal parked
            got: Piece | Exception
            try:
                got = self.again(source, number, fits)
            except (Refused, Failed) as error:
                got = error
            out[number] -= 1
            if closed or number in ready or number not in order:
                return
            if isinstance(got, Exception) and out[number]:
                return  # its second request may still bring it
            ready[number] = got
            if parked:
                parked = False
                self.sched.wake(me)

        def late(number: int, begun: float) -> None:
            if closed or number in ready or number not in order:
                return
            now = now_ms()
            if self.budget.hedge(number, total, now - begun, source.budget, source.client, now):
                out[number] += 1
                self.sched.spawn(run, number)

        try:
            while True:
                while more and window.may_ask(waiting() + sum(map(_size, ready.values()))):
                    number = next(numbers, None)
                    if number is None:
                        more = False
                        break
                    window.asked()
                    order.append(number)
                    out[number] = 1
                    self.sched.spawn(run, number)
                    if total >= 0 and number >= total - HEDGE_LAST and self.budget.usual_ms:
                        wait = 1.0 + HEDGE_AFTER * self.budget.usual_ms
                        self.sched.later(wait, partial(late, number, now_ms()))
                if not order:
                    if not more:
                        return
                    self.sched.sleep(FULL_MS)  # the client takes nothing
                    continue
                if order[0] not in ready:
                    parked = starved = True
                    self.sched.park()
                    continue
                number = order.popleft()
                got = ready.pop(number)
                if isinstance(got, Exception):
                    window.failed()
                    raise got
                window.came(waiting(), len(ready), starved)
                starved = False
                yield number, got
        finally:
            closed = True
