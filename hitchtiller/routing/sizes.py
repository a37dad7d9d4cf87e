"""How long a request's bytes take to send at full pace: told, or learned from the answers that came.

Where sizes are told, sending time is size over pace. Elsewhere it is learned: an answer's time less the wait
for its source is the sending time, stretched by whatever crowd there was, so a shorter one counts at once for
most and a longer one little by little. Parts of one object are of about the same size (a tenth apart on drawn
days, where objects of a class are 1.3 to 2.6 times apart), so the object is remembered, not the part: after
the first part of a huge one its next are known to be huge. What was never seen counts as its class's mean,
with `known` unset; means start at the class's aim, which is safe for the cold guard, and are learned for
every class, also for effects, which keep no copy.

Bounds. TABLE objects; one number each and one a class. Each gateway learns alone: one that has just started
treats all as unknown, and has half of the requests known after two parts of each object that is asked for.
"""

import math

from hitchtiller.interface import Outcome, Request, Settings

TABLE = 4096  # objects remembered: memory or sight of the tail
LEARN = 0.02  # weight of one size in a class's mean
DOWN, UP = 0.6, 0.1  # weight of an answer that came sooner, or later, than the object's
# notes of answers that tell a sending time: not a joined fill's; a fill's only where its wait is told
TIMED = {"all": (1, 2, 3), "hit": (1,), "none": (0,)}
EFFECT = 0.1  # of its aim: first mean of a class that runs at the origin. At 1.0 all were refused in a
LEAST_MS = 1.0  # crowd, so that none was ever served to learn from


class Sizes:
    """Sending times at full pace, in ms, by object and by class."""

    def __init__(self, settings: Settings) -> None:
        """Start with means that are safe until learned."""
        self.flow = settings.flow_kb_per_s or math.inf
        self.most = {name: cls.deadline_ms for name, cls in settings.classes.items()}
        self.mean = {n: cls.aim_ms * (EFFECT if cls.write else 1.0) for n, cls in settings.classes.items()}
        self.timed = TIMED.get(settings.notes, TIMED["none"])
        self.seen: dict[tuple[str, int], float] = {}

    def estimate(self, ask: Request) -> tuple[float, bool]:
        """Give a request's sending time, and whether it is known of its object or only of its class."""
        if ask.size_kb > 0.0 and (work := 1000.0 * ask.size_kb / self.flow):
            self._mean(ask.class_name, work)
            return work, True
        work = self.seen.get((ask.class_name, ask.key), 0.0)
        return work or self.mean[ask.class_name], work > 0.0

    def learn(self, ask: Request, end: Outcome, kept: bool, stretch: float = 1.0) -> None:
        """Take a served answer's time; `kept` where its class's objects are asked for again."""
        if ask.size_kb > 0.0 or not end.whole or end.note not in self.timed:
            return
        work = max(LEAST_MS, (end.latency_ms - end.waited_ms) / stretch)
        self._mean(ask.class_name, work)
        if kept:
            name = (ask.class_name, ask.key)
            old = self.seen.pop(name, work)
            self.seen[name] = old + (DOWN if work < old else UP) * (work - old)
            if len(self.seen) > TABLE:
                del self.seen[next(iter(self.seen))]

    def _mean(self, name: str, work: float) -> None:
        self.mean[name] += LEARN * (min(work, self.most[name]) - self.mean[name])
