"""A new version takes over while the old one serves: who accepts, who is ready, and what each may hold."""

import contextlib
from collections.abc import Callable

from hitchtiller.front.server import Front
from hitchtiller.log import logger
from hitchtiller.ops.sign import READY, ProcessMarker
from hitchtiller.sched import Scheduler

POLL_MS, STARTUP_POLL_MS = 100.0, 20.0  # how often to look, and while not ready yet


class Upgrade:
    """Looks for an older and a younger process of this gateway, and acts on what it sees."""

    def __init__(
        self,
        sched: Scheduler,
        marker: ProcessMarker | None,
        front: Front,
        is_bus_followed: Callable[[bool], bool],
        apply_limits: Callable[[bool, bool], None],
    ) -> None:
        """Take over from an older one, if there is one.

        `share` sets the bounds: for one process or for two, and then for the younger or the older of them.

        `followed` tells whether the bus is followed, or also (with True) that it has told all there was.
        """
        self.sched, self.marker, self.front = sched, marker, front
        self.is_bus_followed, self.apply_limits = is_bus_followed, apply_limits
        self.other_processes: dict[str, str] = {}
        self.is_ready = False
        if marker:
            self.other_processes = marker.live_others()
        if self.older():
            logger.info("takes over from {}", ", ".join(self.older()))
            front.accepting = False  # it would answer no list, and the older one serves
            apply_limits(True, True)

    def older(self) -> list[str]:
        """Name the live processes that started before this one."""
        return [name for name in self.other_processes if self.marker and name < self.marker.name]

    def has_ready_successor(self) -> bool:
        """Tell whether a younger process is ready to serve."""
        older = self.older()
        return any(state == READY for name, state in self.other_processes.items() if name not in older)

    def unready(self) -> str:
        """Tell why this process should not be asked to serve yet; nothing if it may."""
        if not self.is_ready and not self.is_bus_followed(bool(self.older())):
            return "the event bus is not followed yet"
        return ""

    def run(self) -> None:
        """Look again and again."""
        while True:
            self.look()
            self.sched.sleep(POLL_MS if self.is_ready else STARTUP_POLL_MS)

    def stop(self) -> None:
        """Leave; guards against accepting on beside a successor that was ready a moment before SIGTERM."""
        self.look()
        self.front.leave.stop()

    def look(self) -> None:
        """See who lives, and act on a change."""
        before = bool(self.other_processes)
        if self.marker:
            with contextlib.suppress(OSError):  # no descriptor left: what was seen last holds
                self.other_processes = self.marker.live_others()
        if before != bool(self.other_processes):
            self.apply_limits(bool(self.other_processes), bool(self.older()))
        if not self.is_ready and not self.front.unready():
            self.is_ready = True
            if self.marker:
                self.marker.set_state(READY)
            logger.info("ready")
        if self.has_ready_successor():
            self.front.leave.hand_over()
        else:
            self.front.leave.resume_after_hand_over()
            self.front.accepting = self.is_ready or not self.older()
