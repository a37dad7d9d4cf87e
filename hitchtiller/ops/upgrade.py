"""Hand-over to a new version while the old one serves: who accepts, who is ready, and each one's limits."""

import time
from collections.abc import Callable

from hitchtiller.error_boundary import ErrorBoundary
from hitchtiller.front.server import Front
from hitchtiller.log import logger
from hitchtiller.ops.shared_effects import SharedEffects
from hitchtiller.ops.sign import READY, ProcessMarker
from hitchtiller.sched import Scheduler

MAX_EFFECTS_DELAY_S = 0.5  # a process of an earlier version does not tell of its effects
POLL_MS, STARTUP_POLL_MS = 100.0, 20.0  # STARTUP_POLL_MS applies until the process is ready


class Upgrade:
    """Watches for older and younger processes of this gateway, and coordinates the hand-over with them."""

    def __init__(
        self,
        sched: Scheduler,
        marker: ProcessMarker | None,
        front: Front,
        is_bus_followed: Callable[[bool], bool],
        apply_limits: Callable[[bool, bool], None],
        shared_effects: SharedEffects | None = None,
    ) -> None:
        """Prepare to take over from an older process, if there is one.

        `apply_limits(two, younger)` sets the resource limits for one process or for two, and for two those
        of the younger or the older one.

        `is_bus_followed(True)` returns whether the event bus is followed and has delivered its whole backlog;
        `is_bus_followed(False)` returns whether it is followed at all.
        """
        self.sched, self.marker, self.front = sched, marker, front
        self.is_bus_followed, self.apply_limits = is_bus_followed, apply_limits
        self.shared_effects, self.started_s = shared_effects, time.monotonic()
        self.other_processes: dict[str, str] = {}
        self.is_ready = self.is_ready_published = False
        self.has_set_limits_for_two = False
        self.errors = ErrorBoundary()
        self.errors.call("looking for other processes", self._find_others)
        self.errors.call("sharing effects", self._share_effects)
        if self.older_processes():
            logger.info("takes over from {}", ", ".join(self.older_processes()))
            front.accepting = False  # it has no list of servers yet, and the older process serves
            self._set_limits()

    def older_processes(self) -> list[str]:
        """Return the marker names of the live processes that started before this one."""
        return [name for name in self.other_processes if self.marker and name < self.marker.name]

    def has_ready_successor(self) -> bool:
        """Return whether a younger process is ready to serve."""
        older = self.older_processes()
        return any(state == READY for name, state in self.other_processes.items() if name not in older)

    def unready_reason(self) -> str:
        """Return why this process is not ready to serve yet; "" if it is."""
        if not self.is_ready and not self.is_bus_followed(bool(self.older_processes())):
            return "the event bus is not followed yet"
        if not self.is_ready and not self._knows_effects():
            return "the older process has not told of its effects yet"
        return ""

    def _knows_effects(self) -> bool:
        """Return whether all older processes have told of their effects, or do not do so in time."""
        if self.shared_effects is None or time.monotonic() - self.started_s > MAX_EFFECTS_DELAY_S:
            return True
        return all(map(self.shared_effects.has_told, self.older_processes()))

    def _share_effects(self) -> None:
        if self.shared_effects:
            self.shared_effects.follow(self.other_processes)

    def run(self) -> None:
        """Poll until the program ends."""
        while True:
            self.poll()
            self.sched.sleep(POLL_MS if self.is_ready else STARTUP_POLL_MS)

    def stop(self) -> None:
        """Stop accepting and leave.

        Polls first: a successor may have become ready just before SIGTERM, and both would accept otherwise.
        The stop follows whatever fails in the poll.
        """
        self.errors.call("polling before the stop", self.poll)
        self.front.leave.stop()

    def poll(self) -> None:
        """Check which processes are live, and act on a change; a step that fails does not stop the others."""
        self.errors.call("looking for other processes", self._find_others)
        self.errors.call("sharing effects", self._share_effects)
        self.errors.call("setting limits", self._set_limits)
        self.errors.call("becoming ready", self._become_ready)
        self.errors.call("telling others of being ready", self._publish_ready)
        self.errors.call("handing over", self._hand_over_or_resume)

    def _find_others(self) -> None:
        """Look for other processes; keep the last result if the folder can't be read."""
        if self.marker:
            self.other_processes = self.marker.find_others(self.other_processes)

    def _set_limits(self) -> None:
        """Set the resource limits when the first other process has come or the last one has gone."""
        is_for_two = bool(self.other_processes)
        if is_for_two != self.has_set_limits_for_two:
            self.apply_limits(is_for_two, bool(self.older_processes()))
            self.has_set_limits_for_two = is_for_two

    def _become_ready(self) -> None:
        if not self.is_ready and not self.front.unready_reason():
            self.is_ready = True
            logger.info("ready")

    def _publish_ready(self) -> None:
        """Tell the other processes that this one is ready; tried again if the folder fails."""
        if self.marker and self.is_ready and not self.is_ready_published:
            self.marker.set_state(READY)
            self.is_ready_published = True

    def _hand_over_or_resume(self) -> None:
        if self.has_ready_successor():
            self.front.leave.hand_over()
        else:
            self.front.leave.resume_after_hand_over()
            self.front.accepting = self.is_ready or not self.older_processes()
