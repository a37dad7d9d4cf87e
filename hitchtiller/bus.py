"""Follows the event bus: from the last number it has, again and again."""

import math
import socket
from collections.abc import Callable

from hitchtiller.codec.bus import BadBus, BusReader, NumberedEvent
from hitchtiller.log import ended, logger
from hitchtiller.news import Event
from hitchtiller.sched import Closed, Scheduler, Stream, now_ms

CONNECT_MS = 400.0
SILENT_MS = 1_800.0  # a frame comes each second; without a whole one the link is dead
RETRY_DELAY_MS = 100.0
CATCH_UP_LIMIT_MS = 1_500.0  # a frame comes each second, and a link may have to be opened first
MAX_READY_DELAY_MS = (
    2_000.0  # from the start, until which a bus that is away keeps the gateway from being ready
)


class BusLink:
    """The gateway's subscription."""

    def __init__(
        self,
        sched: Scheduler,
        on_event: Callable[[Event], None],
        address: tuple[str, int],
        name_lists: tuple[tuple[str, ...], ...],
    ) -> None:
        """Follow the bus at an address; `names` are the zones and the kinds of the settings."""
        self.sched, self.on_event, self.address, self.name_lists = sched, on_event, address, name_lists
        self.last = 0
        self.stream: Stream | None = None
        self.has_subscribed = self.told_all = False
        self.started_ms = now_ms()
        self.last_frame_ms = -math.inf  # when its last whole frame came
        self.on_caught_up: Callable[[], None] | None = None  # called when there is nothing more to tell

    def may_lack_events(self) -> bool:
        """Tell whether this process did not run for a while and has not heard the bus since.

        Drains and purges may have been told meanwhile. A bus that is away keeps nothing back for longer than
        BEHIND_MS.
        """
        resumed_ms = self.sched.resumed_ms
        return resumed_ms > self.last_frame_ms and now_ms() - resumed_ms < CATCH_UP_LIMIT_MS

    def followed(self, whole: bool) -> bool:
        """Tell whether the bus is followed; with `whole`, whether it has told all that there was."""
        # guards against staying out of service for a bus that is away: what the file knows is of the start
        return self.told_all or (
            not whole and (self.has_subscribed or now_ms() - self.started_ms > MAX_READY_DELAY_MS)
        )

    def apply(self, numbered: NumberedEvent) -> None:
        """Apply an event once, whichever way it came and however often it is told."""
        number, event = numbered
        if event is not None and number > self.last:
            try:
                self.on_event(event)
            except Exception:  # noqa: BLE001  one event must not end the subscription
                logger.exception("event {} failed", number)
        self.last = max(self.last, number)

    def move(self, address: tuple[str, int]) -> None:
        """Go on at another address at once: the old one tells nothing more."""
        if address != self.address:
            self.address = address
            if self.stream:
                self.stream.close("moved")

    def run(self) -> None:
        """Subscribe for ever."""
        while True:
            address, last = self.address, self.last
            try:
                self.stream = stream = Stream(self.sched, socket.socket())
            except OSError as error:  # no descriptor left: one of a client's may be free in a moment
                ended("bus", f"{address[0]}:{address[1]}", "no-descriptor", error.strerror or "")
                self.sched.sleep(RETRY_DELAY_MS)
                continue
            try:
                stream.connect(address, CONNECT_MS)
                stream.write(self.last.to_bytes(8, "big"))
                self.has_subscribed = True
                self._read_events(stream)
            except (Closed, BadBus) as error:
                stream.close(str(error) if isinstance(error, Closed) else "junk")
            ended("bus", f"{address[0]}:{address[1]}", stream.code, last=self.last)
            if stream.code != "moved" and self.last == last:  # else ask on at once: it was a good link
                self.sched.sleep(RETRY_DELAY_MS)

    def _read_events(self, stream: Stream) -> None:
        reader, last_whole_ms = BusReader(*self.name_lists), now_ms()
        while True:
            # guards against a bus that stops in the middle of an event: single bytes are no sign of life
            data = stream.read(max(1.0, last_whole_ms + SILENT_MS - now_ms()))
            for numbered in reader.feed(data):
                last_whole_ms = self.last_frame_ms = now_ms()
                self.apply(numbered)
                self.told_all = self.told_all or numbered[1] is None
                if numbered[1] is None and self.on_caught_up:
                    self.on_caught_up()
