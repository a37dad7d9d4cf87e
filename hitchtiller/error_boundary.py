"""Calls whose failure must not keep the caller from going on."""

from collections.abc import Callable

from hitchtiller.log import logger


class ErrorBoundary:
    """Makes calls and logs their exceptions: the first one of each step, until the step succeeds again."""

    def __init__(self) -> None:
        """Start without a failing step."""
        self.failing_steps: set[str] = set()

    def call(self, step: str, function: Callable[..., object], *args: object) -> bool:
        """Make a call; return whether it ended without an exception. `step` names it in the log."""
        try:
            function(*args)
        except Exception:  # noqa: BLE001  what follows has to happen all the same
            if step not in self.failing_steps:
                self.failing_steps.add(step)
                logger.exception("{} failed; going on", step)
            return False
        self.failing_steps.discard(step)
        return True
