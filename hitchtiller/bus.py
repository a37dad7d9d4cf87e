"""Follows the event bus: from the last number it has, again and again."""

import socket

from loguru import logger

from hitchtiller.codec.bus import BadBus, BusReader, Numbered
from hitchtiller.engine import Engine
from hitchtiller.log import ended
from hitchtiller.sched import Closed, Scheduler, Stream

CONNECT_MS = 400.0
SILENT_MS = 2_500.0  # a frame comes each second; without one the link is dead
AGAIN_MS = 100.0


class BusLink:
    """The gateway's subscription."""

    def __init__(
        self, sched: Scheduler, engine: Engine, address: tuple[str, int], names: tuple[tuple[str, ...], ...]
    ) -> None:
        """Follow the bus at an address; `names` are the zones and the kinds of the settings."""
        self.sched, self.engine, self.address, self.names = sched, engine, address, names
        self.last = 0

    def apply(self, event: Numbered) -> None:
        """Apply an event once, whichever way it came."""
        number, news = event
        if news is not None and number > self.last:
            try:
                self.engine.news(news)
            except Exception:  # noqa: BLE001  one event must not end the subscription
                logger.exception("event {} failed", number)
        self.last = max(self.last, number)

    def run(self) -> None:
        """Subscribe for ever."""
        while True:
            stream = Stream(self.sched, socket.socket())
            try:
                stream.connect(self.address, CONNECT_MS)
                stream.write(self.last.to_bytes(8, "big"))
                reader = BusReader(*self.names)
                while True:
                    for event in reader.feed(stream.read(SILENT_MS)):
                        self.apply(event)
            except (Closed, BadBus) as error:
                stream.close(str(error) if isinstance(error, Closed) else "junk")
            ended("bus", f"{self.address[0]}:{self.address[1]}", stream.code, last=self.last)
            self.sched.sleep(AGAIN_MS)
