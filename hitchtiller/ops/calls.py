"""Operators' calls, by name."""

from collections.abc import Callable

from hitchtiller.front.server import Front
from hitchtiller.ops.control import CallError
from hitchtiller.ops.holdouts import HoldOuts
from hitchtiller.ops.stats import Stats


class OperatorCalls:
    """Parses a line as a call and executes it; every call is idempotent."""

    def __init__(self, front: Front, holdouts: HoldOuts, stats: Stats) -> None:
        """Register the calls without an argument and those with one."""
        self.front, self.stats = front, stats
        self.calls_without_argument: dict[str, Callable[[], str]] = {
            "ready": self.ready,
            "show-stat": self.show_stats,
            "drain": self.drain,
            "resume": self.resume,
        }
        self.calls_with_argument: dict[str, Callable[[str], str]] = {
            "disable-server": holdouts.disable,
            "enable-server": holdouts.enable,
        }

    def __call__(self, line: str) -> str:
        """Execute a call and return its answer; CallError for an unknown call or a wrong argument."""
        name, *arguments = line.split() or [""]
        if name in self.calls_without_argument:
            if arguments:
                raise CallError(f"{name} takes no word")
            return self.calls_without_argument[name]()
        if name in self.calls_with_argument:
            if len(arguments) != 1:
                raise CallError(f"{name} takes one word: whom it is about")
            return self.calls_with_argument[name](arguments[0])
        raise CallError(
            f"unknown call; there are {' '.join([*self.calls_without_argument, *self.calls_with_argument])}"
        )

    def ready(self) -> str:
        """Return "ready" if this process is ready to serve; CallError with the reason if not."""
        if reason := self.front.unready_reason():
            raise CallError(reason)
        return "ready"

    def show_stats(self) -> str:
        """Return all statistics, followed by a line with a full stop."""
        return "\n".join(["figures", *self.stats.lines(), "."])

    def drain(self) -> str:
        """Drain the gateway and return its state; a gateway that is stopping drains anyway."""
        self.front.leave.drain()
        return self.front.state

    def resume(self) -> str:
        """Accept clients again; CallError with the gateway's state if it can't."""
        if not self.front.leave.resume():
            raise CallError(self.front.state)
        return self.front.state
