"""Fetches the parts of repository files through the engine.

Each part is an ordinary client request with a deadline: the decision module chooses servers, retries and
refuses. On top of that, a part whose request ended without a usable answer is requested again within the
repeat budget, and parts are delivered in order while several are in flight. Runs in greenlets of the event
loop. Bounds: for each body, the parts in its window; in total, the parts that `BackgroundLimit` allows.
Requests above that limit wait in order of arrival, until their deadline.
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
from hitchtiller.repo.budget import HEDGE_DELAY_FACTOR, HEDGE_LAST_PARTS, FileRepeatBudget, RepeatBudget
from hitchtiller.repo.window import Window
from hitchtiller.sched import Scheduler, now_ms

MAX_PART_BYTES = 240_000  # bytes: the largest size of an object of the platform
REPEAT_DELAY_MS = 100.0  # delay before a part is requested again
CLIENT_POLL_MS = 20.0  # how often the unsent bytes of a client that reads nothing are checked
ABSENT_TAG = "absent"  # tag of an empty part by which a cache reports that the file does not exist


class FetchRefusedError(Exception):
    """The part was refused; `wait_ms` is the time to wait before another request."""

    def __init__(self, wait_ms: float) -> None:
        """Keep the time to wait."""
        super().__init__("refused")
        self.wait_ms = wait_ms


class FetchFailedError(Exception):
    """The part did not arrive within its deadline, or its request failed."""


@dataclass(slots=True)
class FileRequest:
    """What is needed to request the parts of one file: its object, class, group, client and budget."""

    key: int
    class_name: str
    group: int
    client: str
    budget: FileRepeatBudget = field(default_factory=FileRepeatBudget)


def _received_bytes(result: Part | Exception) -> int:
    return len(result.data) if isinstance(result, Part) else 0


class Fetcher:
    """Requests parts from the engine."""

    def __init__(
        self, sched: Scheduler, engine: Engine, give_way: BackgroundLimit, budget: RepeatBudget, seed: int
    ) -> None:
        """Share the limit on background parts and the repeat budget among all bodies."""
        self.sched, self.engine, self.background_limit, self.budget = sched, engine, give_way, budget
        self.rng = random.Random(seed)
        self.waiters: deque[greenlet] = deque()  # greenlets waiting for a slot under the background limit
        self.parts_requested = self.parts_received = 0
        engine.on_final_answer = self._on_final_answer

    def _on_final_answer(self, exchange: Exchange, answer: Answer) -> None:
        """Record for the background limit whether a foreground request was answered within its aim."""
        if exchange.request.background:
            return
        now, class_settings = now_ms(), self.engine.router.settings.classes[exchange.request.class_name]
        in_time = answer.kind == SERVED and now - exchange.accepted_ms <= class_settings.aim_ms
        self.background_limit.record_foreground(in_time, now)

    def adjust_limit(self) -> None:
        """Adjust the background limit to the foreground traffic; called a few times a second."""
        self.background_limit.adjust(self.sched.lag_ms, now_ms())
        self._wake_next()

    def _wake_next(self) -> None:
        while self.waiters and (
            not self.background_limit.is_enabled
            or self.background_limit.parts_in_flight < int(self.background_limit.limit)
        ):
            self.sched.wake(self.waiters.popleft(), True)
            return

    def _acquire_slot(self, deadline_ms: float) -> None:
        own_greenlet = getcurrent()
        while not self.background_limit.admits():
            self.waiters.append(own_greenlet)
            timer = self.sched.later(
                max(1.0, deadline_ms - now_ms()), lambda: self._on_slot_timeout(own_greenlet)
            )
            was_admitted = self.sched.park()
            timer.cancel()
            if not was_admitted:
                raise FetchRefusedError(self.engine.router.settings.max_retry_after_ms)
        self.background_limit.parts_in_flight += 1

    def _on_slot_timeout(self, waiter: greenlet) -> None:
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            self.sched.wake(waiter, False)

    def fetch(self, file_request: FileRequest, number: int) -> Part:
        """Fetch one part, parking this greenlet meanwhile.

        Raises FetchRefusedError or FetchFailedError if the part does not arrive.
        """
        class_settings = self.engine.router.settings.classes[file_request.class_name]
        started_ms = now_ms()
        deadline_ms = started_ms + class_settings.deadline_ms
        self._acquire_slot(deadline_ms)
        self.parts_requested += 1
        try:
            answer = self._request_part(file_request, number, deadline_ms)
        finally:
            self.background_limit.parts_in_flight -= 1
            self._wake_next()
        if answer.kind == SERVED:
            self.parts_received += 1
            self.budget.record_wait(now_ms() - started_ms)
            return Part(answer.body, answer.tag, answer.since_ms)
        if answer.kind == REFUSED:
            raise FetchRefusedError(answer.wait_ms)
        raise FetchFailedError

    def _request_part(self, file_request: FileRequest, number: int, deadline_ms: float) -> Answer:
        own_greenlet, answers = getcurrent(), list[Answer]()
        is_parked = False

        def deliver(answer: Answer) -> None:
            answers.append(answer)
            if is_parked:
                self.sched.wake(own_greenlet)

        object_name = f"{file_request.key:016x}"
        request = ClientRequest(
            f"{self.rng.getrandbits(64):016x}", file_request.class_name, object_name, file_request.key,
            deadline_ms, part=number, group=file_request.group, size_kb=MAX_PART_BYTES / 1000.0,
            background=True,
        )  # fmt: skip
        exchange = self.engine.accept(request, deliver)
        if not answers:
            is_parked = True
            try:
                self.sched.park()
            except BaseException:
                self.engine.client_left(exchange)
                raise
        return answers[0]

    def fetch_with_repeats(
        self,
        file_request: FileRequest,
        number: int,
        is_acceptable: Callable[[Part], bool] = lambda part: True,
    ) -> Part:
        """Fetch one part, repeating the request within the budget if it fails or the part is not acceptable.

        Once the budget is spent, the last part is returned even if it is not acceptable, or the last error is
        raised.
        """
        self.budget.record_request(file_request.budget)
        while True:
            delay_ms, error, part = REPEAT_DELAY_MS, Exception(), None
            try:
                part = self.fetch(file_request, number)
                if is_acceptable(part):
                    return part
            except FetchRefusedError as refused:
                delay_ms, error = max(REPEAT_DELAY_MS, refused.wait_ms), refused
            except FetchFailedError as failed:
                error = failed
            if not self.budget.try_repeat(file_request.budget, file_request.client, now_ms()):
                if part is None:
                    raise error
                return part
            self.sched.sleep(delay_ms)

    def fetch_in_order(
        self,
        file_request: FileRequest,
        numbers: Iterator[int],
        count_unsent_bytes: Callable[[], int],
        is_acceptable: Callable[[Part], bool],
        part_count: int = -1,
    ) -> Iterator[tuple[int, Part]]:
        """Yield parts in the order of `numbers` while several are in flight.

        `count_unsent_bytes` returns how many bytes wait for the client: while there are many, no further part
        is requested. If `part_count` is known, the file's last parts are requested a second time when they
        are late. Closing the iterator discards the parts that are still in flight.
        """
        window, own_greenlet = Window(), getcurrent()
        arrived: dict[int, Part | Exception] = {}
        pending_requests: dict[int, int] = {}  # requests in flight for each part number
        requested: deque[int] = deque()
        has_more, is_closed, is_parked, was_starved = True, False, False, False

        def run(number: int) -> None:
            nonlocal is_parked
            result: Part | Exception
            try:
                result = self.fetch_with_repeats(file_request, number, is_acceptable)
            except (FetchRefusedError, FetchFailedError) as error:
                result = error
            pending_requests[number] -= 1
            if is_closed or number in arrived or number not in requested:
                return
            if isinstance(result, Exception) and pending_requests[number]:
                return  # the other request for this part may still succeed
            arrived[number] = result
            if is_parked:
                is_parked = False
                self.sched.wake(own_greenlet)

        def hedge_if_late(number: int, started_ms: float) -> None:
            if is_closed or number in arrived or number not in requested:
                return
            now = now_ms()
            if self.budget.try_hedge(
                number, part_count, now - started_ms, file_request.budget, file_request.client, now
            ):
                pending_requests[number] += 1
                self.sched.spawn(run, number)

        try:
            while True:
                while has_more and window.can_request(
                    count_unsent_bytes() + sum(map(_received_bytes, arrived.values()))
                ):
                    number = next(numbers, None)
                    if number is None:
                        has_more = False
                        break
                    window.record_request()
                    requested.append(number)
                    pending_requests[number] = 1
                    self.sched.spawn(run, number)
                    if (
                        part_count >= 0
                        and number >= part_count - HEDGE_LAST_PARTS
                        and self.budget.typical_wait_ms
                    ):
                        delay_ms = 1.0 + HEDGE_DELAY_FACTOR * self.budget.typical_wait_ms
                        self.sched.later(delay_ms, partial(hedge_if_late, number, now_ms()))
                if not requested:
                    if not has_more:
                        return
                    self.sched.sleep(CLIENT_POLL_MS)  # the client reads nothing
                    continue
                if requested[0] not in arrived:
                    is_parked = was_starved = True
                    self.sched.park()
                    continue
                number = requested.popleft()
                result = arrived.pop(number)
                if isinstance(result, Exception):
                    window.record_failure()
                    raise result
                window.record_arrival(count_unsent_bytes(), len(arrived), was_starved)
                was_starved = False
                yield number, result
        finally:
            is_closed = True
