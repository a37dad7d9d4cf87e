"""The subscription to the event bus, which sends the list of servers, its changes and purges.

`BusLink` sends the number of the last event that it has and reads the events after it, over the connections
that `discovery.subscriptions` decides on: one, or for a short time two. Of the past it keeps that number
only; each event with a higher one is passed on once, whichever connection brings it.
"""

import math
import socket
from collections.abc import Callable

from greenlet import getcurrent, greenlet

from hitchtiller.codec.bus import BusError, BusReader, NumberedEvent
from hitchtiller.discovery.subscriptions import GIVE_UP_MS, Purpose, Subscription, Subscriptions
from hitchtiller.log import log_connection_end, logger
from hitchtiller.news import Event
from hitchtiller.sched import Scheduler, now_ms
from hitchtiller.stream import Stream, StreamClosed

CATCH_UP_LIMIT_MS = 1_500.0  # the bus sends a frame each second, and a connection may have to be opened first
# After this time from the start, an unreachable bus no longer keeps the gateway from being ready.
MAX_READY_DELAY_MS = 2_000.0


class BusLink:
    """The gateway's subscription to the event bus."""

    def __init__(
        self,
        sched: Scheduler,
        on_event: Callable[[Event], None],
        address: tuple[str, int],
        name_lists: tuple[tuple[str, ...], ...],
    ) -> None:
        """Follow the bus at an address; `name_lists` are the zones and the kinds of the settings."""
        self.sched, self.on_event, self.address, self.name_lists = sched, on_event, address, name_lists
        self.last_number = 0
        self.subscriptions = Subscriptions()
        self.streams: dict[int, Stream] = {}  # by number of the subscription
        self.waiting: greenlet | None = None  # the task of `run` while it waits
        self.has_subscribed = self.is_caught_up = False
        self.started_ms = now_ms()
        self.last_frame_ms = -math.inf  # when the last complete frame came
        self.known_until_ms = -math.inf  # all events that were in the bus at this time have been received
        self.on_caught_up: Callable[[], None] | None = None  # called when no older events are left to come

    def may_lack_events(self) -> bool:
        """Return whether this process has stalled and has received no frame of the bus since then.

        It may have missed drains and purges. An unreachable bus holds attempts back for CATCH_UP_LIMIT_MS at
        the most.
        """
        resumed_ms = self.sched.resumed_ms
        return resumed_ms > self.last_frame_ms and now_ms() - resumed_ms < CATCH_UP_LIMIT_MS

    def unheard_ms(self) -> float:
        """Return the time in milliseconds since all events were known; infinite before the first heartbeat.

        Events that came into the bus since then may not have been received yet.
        """
        return now_ms() - self.known_until_ms

    def is_followed(self, whole: bool) -> bool:
        """Return whether the bus is followed; with `whole`, whether it has sent all older events."""
        # An unreachable bus must not keep the gateway out of service. The list in the configuration file only
        # shows the state at the start, so `whole` always waits for the bus.
        return self.is_caught_up or (
            not whole and (self.has_subscribed or now_ms() - self.started_ms > MAX_READY_DELAY_MS)
        )

    def apply(self, numbered: NumberedEvent) -> None:
        """Pass on an event once, whether it comes from the file or the bus and however often it comes."""
        number, event = numbered
        if event is not None and number > self.last_number:
            try:
                self.on_event(event)
            except Exception:  # noqa: BLE001  one event must not end the subscription
                logger.exception("event {} failed", number)
        self.last_number = max(self.last_number, number)

    @property
    def stream(self) -> Stream | None:
        """The connection that was opened first of those that are open."""
        return next(iter(self.streams.values()), None)

    def move(self, address: tuple[str, int]) -> None:
        """Follow the bus at another address from now on, and close the connections to the old one."""
        if address == self.address:
            return
        self.address = address
        for subscription in list(self.subscriptions.open):
            self._close(subscription, "moved")
        self.subscriptions.reset()
        self._plan_again()

    def run(self) -> None:
        """Subscribe, and open and close subscriptions as decided; never returns."""
        while True:
            plan = self.subscriptions.plan(now_ms())
            for subscription in [s for s in self.subscriptions.open if s.number in plan.close]:
                self._close(subscription, "silent")
            if plan.open:
                self._open(plan.open)
            else:
                self._wait(plan.next_ms - now_ms())

    def _wait(self, delay_ms: float) -> None:
        """Wait for a delay or until a new plan is needed."""
        self.waiting = getcurrent()
        timer = self.sched.later(delay_ms, self._plan_again)
        try:
            self.sched.park()
        finally:
            timer.cancel()

    def _plan_again(self) -> None:
        """Let the task of `run` ask what is to be done."""
        if self.waiting:
            task, self.waiting = self.waiting, None
            self.sched.wake(task)

    def _open(self, purpose: Purpose) -> None:
        """Open a subscription in a task of its own."""
        subscription = self.subscriptions.add(purpose, now_ms())
        try:
            stream = Stream(self.sched, socket.socket())
        except OSError as error:  # out of descriptors: a client may free one soon
            self._log_end(self.address, "no-descriptor", error.strerror or "")
            self.subscriptions.on_end(subscription, now_ms())
            return
        self.streams[subscription.number] = stream
        self.sched.spawn(self._follow, subscription, stream)

    def _close(self, subscription: Subscription, code: str) -> None:
        """End a subscription; its task ends with the connection."""
        self.subscriptions.on_end(subscription, now_ms())
        if stream := self.streams.get(subscription.number):
            stream.close(code)

    def _follow(self, subscription: Subscription, stream: Stream) -> None:
        """Read the events of one subscription until its connection ends."""
        address = self.address
        try:
            stream.connect(address, GIVE_UP_MS)
            self.subscriptions.on_connected(subscription, now_ms())
            stream.write(self.last_number.to_bytes(8, "big"))
            self.has_subscribed = True
            self._plan_again()
            self._read_events(subscription, stream)
        except (StreamClosed, BusError) as error:
            stream.close(str(error) if isinstance(error, StreamClosed) else "junk")
        finally:
            stream.close("fault")  # no effect if it was closed with another code before
            self._log_end(address, stream.close_code)
            self.streams.pop(subscription.number, None)
            self.subscriptions.on_end(subscription, now_ms())
            self._plan_again()

    def _log_end(self, address: tuple[str, int], code: str, reason: str = "") -> None:
        host, port = address
        log_connection_end("bus", f"{host}:{port}", code, reason, last=self.last_number)

    def _read_events(self, subscription: Subscription, stream: Stream) -> None:
        reader = BusReader(*self.name_lists)
        while True:
            data = stream.read()
            subscription.last_bytes_ms = now_ms()
            for numbered in reader.feed(data):
                self.last_frame_ms = now_ms()
                for other in self.subscriptions.on_frame(subscription, self.last_frame_ms):
                    self._close(other, "not-needed")
                self.apply(numbered)
                if numbered[1] is None:
                    self._on_heartbeat(subscription)
            self._plan_again()

    def _on_heartbeat(self, subscription: Subscription) -> None:
        """Handle a heartbeat: every event before it has been received."""
        self.is_caught_up = True
        known_until_ms = self.subscriptions.on_heartbeat(subscription, now_ms())
        self.known_until_ms = max(self.known_until_ms, known_until_ms)
        if self.on_caught_up:
            self.on_caught_up()
