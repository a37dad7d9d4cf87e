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
from hitchtiller.repo.body import Part
from hitchtiller.repo.budget import HEDGE_DELAY_FACTOR, HEDGE_LAST_PARTS, Budget, FileRepeatBudget
from hitchtiller.repo.window import Window
from hitchtiller.sched import Scheduler, now_ms

PART = 240_000  # bytes: the most that the platform's objects hold
PAUSE_MS = 100.0  # before a part is asked for again
FULL_MS = 20.0  # how often a client that takes nothing is looked at
ABSENT = "absent"  # the tag of an empty part that says: there is no such file


class FetchRefusedError(Exception):
    """Turned away; `wait_ms` says for how long."""

    def __init__(self, wait_ms: float) -> None:
        """Keep the advice."""
        super().__init__("refused")
        self.wait_ms = wait_ms


class FetchFailedError(Exception):
    """No part came in time, again and again."""


@dataclass(slots=True)
class FileRequest:
    """Where the parts of one file come from, and for whom."""

    key: int
    class_name: str
    group: int
    client: str
    budget: FileRepeatBudget = field(default_factory=FileRepeatBudget)


def _size(got: Part | Exception) -> int:
    return len(got.data) if isinstance(got, Part) else 0


class Fetcher:
    """Asks the engine for parts."""

    def __init__(
        self, sched: Scheduler, engine: Engine, give_way: BackgroundLimit, budget: Budget, seed: int
    ) -> None:
        """Share limits and budget among all bodies."""
        self.sched, self.engine, self.give_way, self.budget = sched, engine, give_way, budget
        self.rng = random.Random(seed)
        self.queue: deque[greenlet] = deque()  # who waits for a place
        self.asked = self.parts_received = 0
        engine.on_final_answer = self._foreground

    def _foreground(self, exchange: Exchange, answer: Answer) -> None:
        """Learn from other classes' answers whether the foreground keeps up."""
        if exchange.request.background:
            return
        now, cls = now_ms(), self.engine.router.settings.classes[exchange.request.class_name]
        in_time = answer.kind == SERVED and now - exchange.taken_ms <= cls.aim_ms
        self.give_way.record_foreground(in_time, now)

    def look(self) -> None:
        """Let the limit follow the foreground; called a few times a second."""
        self.give_way.adjust(self.sched.lag_ms, now_ms())
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
                raise FetchRefusedError(self.engine.router.settings.max_retry_after_ms)
        self.give_way.open += 1

    def _tired(self, task: greenlet) -> None:
        if task in self.queue:
            self.queue.remove(task)
            self.sched.wake(task, False)

    def fetch(self, file_request: FileRequest, number: int) -> Part:
        """Get one part, parking this greenlet; Refused or Failed where it does not come."""
        cls = self.engine.router.settings.classes[file_request.class_name]
        begun = now_ms()
        until = begun + cls.deadline_ms
        self._enter(until)
        self.asked += 1
        try:
            answer = self._ask(file_request, number, until)
        finally:
            self.give_way.open -= 1
            self._next()
        if answer.kind == SERVED:
            self.parts_received += 1
            self.budget.record_wait(now_ms() - begun)
            return Part(answer.body, answer.tag, answer.since_ms)
        if answer.kind == REFUSED:
            raise FetchRefusedError(answer.wait_ms)
        raise FetchFailedError

    def _ask(self, file_request: FileRequest, number: int, until: float) -> Answer:
        me, got = getcurrent(), list[Answer]()
        parked = False

        def deliver(answer: Answer) -> None:
            got.append(answer)
            if parked:
                self.sched.wake(me)

        name = f"{file_request.key:016x}"
        ask = ClientRequest(
            f"{self.rng.getrandbits(64):016x}", file_request.class_name, name, file_request.key, until,
            part=number, group=file_request.group, size_kb=PART / 1000.0, background=True,
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

    def fetch_with_repeats(
        self, file_request: FileRequest, number: int, fits: Callable[[Part], bool] = lambda part: True
    ) -> Part:
        """Get one part, repeating within the budget what fails or does not fit.

        The last answer goes up as it is.
        """
        self.budget.record_request(file_request.budget)
        while True:
            wait, error, part = PAUSE_MS, Exception(), None
            try:
                part = self.fetch(file_request, number)
                if fits(part):
                    return part
            except FetchRefusedError as refused:
                wait, error = max(PAUSE_MS, refused.wait_ms), refused
            except FetchFailedError as failed:
                error = failed
            if not self.budget.try_repeat(file_request.budget, file_request.client, now_ms()):
                if part is None:
                    raise error
                return part
            self.sched.sleep(wait)

    def fetch_in_order(
        self,
        file_request: FileRequest,
        numbers: Iterator[int],
        count_unsent_bytes: Callable[[], int],
        fits: Callable[[Part], bool],
        total: int = -1,
    ) -> Iterator[tuple[int, Part]]:
        """Give parts in the order of their numbers, several under way; closing the iterator ends them.

        `waiting` tells how many bytes wait for the client: while there are many, nothing more is asked for.
        With a known `total` of parts, the last ones are asked for a second time where they are late.
        """
        window, me = Window(), getcurrent()
        ready: dict[int, Part | Exception] = {}
        out: dict[int, int] = {}  # requests under way for a part
        order: deque[int] = deque()
        more, closed, parked, starved = True, False, False, False

        def run(number: int) -> None:
            nonlocal parked
            got: Part | Exception
            try:
                got = self.fetch_with_repeats(file_request, number, fits)
            except (FetchRefusedError, FetchFailedError) as error:
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
            if self.budget.try_hedge(
                number, total, now - begun, file_request.budget, file_request.client, now
            ):
                out[number] += 1
                self.sched.spawn(run, number)

        try:
            while True:
                while more and window.can_request(count_unsent_bytes() + sum(map(_size, ready.values()))):
                    number = next(numbers, None)
                    if number is None:
                        more = False
                        break
                    window.record_request()
                    order.append(number)
                    out[number] = 1
                    self.sched.spawn(run, number)
                    if total >= 0 and number >= total - HEDGE_LAST_PARTS and self.budget.typical_wait_ms:
                        wait = 1.0 + HEDGE_DELAY_FACTOR * self.budget.typical_wait_ms
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
                    window.record_failure()
                    raise got
                window.record_arrival(count_unsent_bytes(), len(ready), starved)
                starved = False
                yield number, got
        finally:
            closed = True
