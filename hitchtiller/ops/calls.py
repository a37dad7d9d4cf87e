"""The calls that operators have, by name."""

from collections.abc import Callable

from hitchtiller.front.server import Front
from hitchtiller.ops.control import CallError
from hitchtiller.ops.holdouts import HoldOuts
from hitchtiller.ops.stats import Stats


class Calls:
    """Reads a line as a call with its words and carries it out; each call may be made any number of times."""

    def __init__(self, front: Front, holdouts: HoldOuts, stats: Stats) -> None:
        """Join the parts that calls go to."""
        self.front, self.stats = front, stats
        self.plain: dict[str, Callable[[], str]] = {
            "ready": self.ready,
            "show-stat": self.show_stats,
            "drain": self.drain,
            "resume": self.resume,
        }
        self.named: dict[str, Callable[[str], str]] = {
            "disable-server": holdouts.disable,
            "enable-server": holdouts.enable,
        }

    def __call__(self, line: str) -> str:
        """Carry a call out; CallError for what is none."""
        name, *words = line.split() or [""]
        if name in self.plain:
            if words:
                raise CallError(f"{name} takes no word")
            return self.plain[name]()
        if name in self.named:
            if len(words) != 1:
                raise CallError(f"{name} takes one word: whom it is about")
            return self.named[name](words[0])
        raise CallError(f"unknown call; there are {' '.join([*self.plain, *self.named])}")

    def ready(self) -> str:
        """Tell whether this process is ready to serve."""
        if reason := self.front.unready():
            raise CallError(reason)
        return "ready"

    def show_stats(self) -> str:
        """Give all figures, then a line with a full stop."""
        return "\n".join(["figures", *self.stats.lines(), "."])

    def drain(self) -> str:
        """Empty the gateway; one that is stopping empties itself."""
        self.front.leave.drain()
        return self.front.state

    def resume(self) -> str:
        """Take clients again."""
        if not self.front.leave.resume():
            raise CallError(self.front.state)
        return self.front.state
