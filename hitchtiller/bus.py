"""The subscription to the event bus, which sends the list of servers, its changes and purges.

`BusLink` sends the number of the last event that it has, reads the events after it and reconnects whenever
the connection ends. Of the past it keeps that number only; each event with a higher one is passed on once.
"""

import math
import socket
from collections.abc import Callable

from hitchtiller.codec.bus import BusError, BusReader, NumberedEvent
from hitchtiller.discovery.heartbeats import HeartbeatCount
from hitchtiller.log import log_connection_end, logger
from hitchtiller.news import Event
from hitchtiller.sched import Scheduler, now_ms
from hitchtiller.stream import Stream, StreamClosed

CONNECT_MS = 400.0
SILENT_MS = 1_800.0  # the bus sends a frame each second; without a complete one the connection is dead
RETRY_DELAY_MS = 100.0
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
        self.stream: Stream | None = None
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

    def move(self, address: tuple[str, int]) -> None:
        """Follow the bus at another address from now on, and close the connection to the old one."""
        if address != self.address:
            self.address = address
            if self.stream:
                self.stream.close("moved")

    def run(self) -> None:
        """Subscribe, and resubscribe whenever the connection ends; never returns."""
        while True:
            address, last = self.address, self.last_number
            try:
                self.stream = stream = Stream(self.sched, socket.socket())
            except OSError as error:  # out of descriptors: a client may free one soon
                log_connection_end("bus", f"{address[0]}:{address[1]}", "no-descriptor", error.strerror or "")
                self.sched.sleep(RETRY_DELAY_MS)
                continue
            try:
                stream.connect(address, CONNECT_MS)
                heartbeats = HeartbeatCount(now_ms())
                stream.write(self.last_number.to_bytes(8, "big"))
                self.has_subscribed = True
                self._read_events(stream, heartbeats)
            except (StreamClosed, BusError) as error:
                stream.close(str(error) if isinstance(error, StreamClosed) else "junk")
            finally:
                stream.close("fault")  # no effect if it was closed with another code before
            log_connection_end("bus", f"{address[0]}:{address[1]}", stream.close_code, last=self.last_number)
            # Reconnects at once after a move, or if the connection delivered events.
            if stream.close_code != "moved" and self.last_number == last:
                self.sched.sleep(RETRY_DELAY_MS)

    def _read_events(self, stream: Stream, heartbeats: HeartbeatCount) -> None:
        reader, last_whole_ms = BusReader(*self.name_lists), now_ms()
        while True:
            # Detects a bus that hangs within an event: only whole frames extend the wait, not single bytes.
            data = stream.read(max(1.0, last_whole_ms + SILENT_MS - now_ms()))
            for numbered in reader.feed(data):
                last_whole_ms = self.last_frame_ms = now_ms()
                self.apply(numbered)
                if numbered[1] is None:
                    self._on_heartbeat(heartbeats)

    def _on_heartbeat(self, heartbeats: HeartbeatCount) -> None:
        """Handle a heartbeat: every event before it has been received."""
        now = now_ms()
        self.is_caught_up = True
        self.known_until_ms = max(self.known_until_ms, heartbeats.record(now))
        if self.on_caught_up:
            self.on_caught_up()
        if heartbeats.needs_renewal(now):
            raise StreamClosed("renewed")
