"""The entry of the stop: what SIGTERM starts, so that the process ends in time whatever fails on the way."""

from collections.abc import Callable

from hitchtiller.error_boundary import ErrorBoundary
from hitchtiller.front.leave import FORCED_END_MS, MAX_DEADLINE_MS, end_loop_after, times_until_kill
from hitchtiller.sched import Scheduler, now_ms

Step = tuple[str, Callable[[], None]]


class ProcessStop:
    """Stops the process by the first of several ways that does not fail; forces its end if none works."""

    def __init__(self, sched: Scheduler, ways: tuple[Step, ...]) -> None:
        """Prepare to stop; `ways` have names for the log, and the preferred one comes first."""
        self.sched, self.ways = sched, ways
        self.errors = ErrorBoundary()
        self.has_begun = False

    def __call__(self) -> None:
        """Stop the process; a further call, as for a second SIGTERM, tries the ways again."""
        if not self.has_begun:
            self.has_begun = True
            self._set_latest_end()
        for name, stop in self.ways:
            if self.errors.call(name, stop):
                return

    def _set_latest_end(self) -> None:
        """Let the loop end before the platform may kill the process, for which no setting is needed."""
        started_ms = now_ms()
        _, exit_ms = times_until_kill(started_ms, MAX_DEADLINE_MS)
        end_loop_after(self.sched, exit_ms + FORCED_END_MS - started_ms)
