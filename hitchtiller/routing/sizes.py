"""How long a request's bytes take to send at full pace: stated, or learned from earlier answers.

Where sizes are stated, the sending time is size over pace. Elsewhere it is learned: an answer's time less the
wait for its source is the sending time, stretched by the load at that time. A shorter one therefore replaces
most of the learned time at once, and a longer one changes it little by little. Parts of one object are of
about the same size (a tenth apart on generated days, where objects of a class are 1.3 to 2.6 times apart), so
times are kept by object, not by part: after the first part of a huge object its next parts are known to be
huge. An object that was never seen counts as its class's mean and as not known. Means start at the class's
aim, which is safe for the cold guard, and are learned for every class, including effects, of which no copy is
kept.

Bounds. MAX_OBJECTS objects; one number for each object and one for each class. Each gateway learns alone: one
that has just started treats all objects as unknown, and knows half of the requests after two parts of each
requested object.
"""

import math

from hitchtiller.interface import Outcome, Request, Settings

MAX_OBJECTS = 4096  # more cost memory; fewer forget rarely requested objects
MEAN_WEIGHT = 0.02  # weight of one answer in its class's mean
FASTER_WEIGHT, SLOWER_WEIGHT = 0.6, 0.1  # weight of an answer that took less, or more, than the object's time
# notes of answers that show a sending time: not those of a joined fill, and those of a fill only where
# the wait for its source is stated
TIMED_NOTES = {"all": (1, 2, 3), "hit": (1,), "none": (0,)}
# first mean of a class that runs at the origin, over its aim; at 1.0 all its requests were refused under
# load, so that none was ever served to learn from
EFFECT_AIM_SHARE = 0.1
MIN_WORK_MS = 1.0


class Sizes:
    """Sending times at full pace, in milliseconds, by object and by class."""

    def __init__(self, settings: Settings) -> None:
        """Create a table with means that are safe until learned."""
        self.flow_kb_per_s = settings.flow_kb_per_s or math.inf
        self.max_work_ms = {name: cls.deadline_ms for name, cls in settings.classes.items()}
        self.mean_work_ms = {
            name: cls.aim_ms * (EFFECT_AIM_SHARE if cls.write else 1.0)
            for name, cls in settings.classes.items()
        }
        self.timed_notes = TIMED_NOTES.get(settings.notes, TIMED_NOTES["none"])
        self.work_by_object: dict[tuple[str, int], float] = {}

    def estimate(self, request: Request) -> tuple[float, bool]:
        """Return a request's sending time, and whether it is known of its object, not only of its class."""
        if request.size_kb > 0.0 and (work_ms := 1000.0 * request.size_kb / self.flow_kb_per_s):
            self._update_mean(request.class_name, work_ms)
            return work_ms, True
        work_ms = self.work_by_object.get((request.class_name, request.key), 0.0)
        return work_ms or self.mean_work_ms[request.class_name], work_ms > 0.0

    def learn(self, request: Request, outcome: Outcome, cacheable: bool, stretch: float = 1.0) -> None:
        """Learn from a served answer's time; `cacheable` if objects of its class are requested again."""
        if request.size_kb > 0.0 or not outcome.whole or outcome.note not in self.timed_notes:
            return
        work_ms = max(MIN_WORK_MS, (outcome.latency_ms - outcome.waited_ms) / stretch)
        self._update_mean(request.class_name, work_ms)
        if cacheable:
            object_key = (request.class_name, request.key)
            old_ms = self.work_by_object.pop(object_key, work_ms)
            self.work_by_object[object_key] = old_ms + (
                FASTER_WEIGHT if work_ms < old_ms else SLOWER_WEIGHT
            ) * (work_ms - old_ms)
            if len(self.work_by_object) > MAX_OBJECTS:
                del self.work_by_object[next(iter(self.work_by_object))]

    def _update_mean(self, class_name: str, work_ms: float) -> None:
        self.mean_work_ms[class_name] += MEAN_WEIGHT * (
            min(work_ms, self.max_work_ms[class_name]) - self.mean_work_ms[class_name]
        )
