"""What a request gets from the tiers, and which answers are kept: decided from facts, without I/O.

Guards the rules: writes and keyed classes are never kept; no copy past fresh time, or one that a purge
forbids, is served; suspects are asked about. Stops short of server choice: a request that is not answered
here goes to the decision module.
"""

from dataclasses import dataclass
from enum import Enum

from hitchtiller import interface as api
from hitchtiller.exchange import AttemptResult, ClientRequest
from hitchtiller.store.format import MOST_BODY, MOST_TEXT, Part
from hitchtiller.store.purges import Purges
from hitchtiller.store.suspect import Proof

KNOWN_SHARE = 0.05  # of a transfer, that telling a client its copy holds costs
JOIN_SHARE, JOIN_MS = 0.4, 1_000.0  # of a request's time, and in all, that it waits for another's answer


class State(Enum):
    """What a kept copy is worth to a request."""

    FRESH = "fresh"  # may be served
    STALE = "stale"  # past its fresh time, within its grace: only where nothing better comes
    SUSPECT = "suspect"  # may be served once confirmed
    DEAD = "dead"  # may never be served again


@dataclass(frozen=True, slots=True)
class Plan:
    """The rules of a deployment's classes, with what is known of purges and proof."""

    classes: dict[str, api.ClassSettings]
    purges: Purges
    proof: Proof

    def keeps(self, class_name: str) -> bool:
        """Tell whether a class's answers may be kept at all."""
        cls = self.classes.get(class_name)
        return cls is not None and not (cls.write or cls.stream) and cls.effect == "repeatable"

    def judge(self, part: Part, now_ms: float) -> State:
        """Judge a copy at a time; its age counts from the origin's `since`."""
        cls = self.classes.get(part.class_name)
        if cls is None or not self.purges.allows(part.key, part.group, part.since_ms):
            return State.DEAD
        age = now_ms - part.since_ms
        if cls.fresh_ms and age > cls.fresh_ms + cls.grace_ms:
            return State.DEAD
        if not self.proof.proven(part.epoch, part.since_ms, now_ms):
            return State.SUSPECT
        return State.STALE if cls.fresh_ms and age > cls.fresh_ms else State.FRESH

    def fits(self, part: Part, ask: ClientRequest) -> bool:
        """Tell whether a copy is one of what is asked for, as the class that asks."""
        return (part.key, part.part, part.class_name) == (ask.key, ask.part, ask.class_name)

    def keep(self, ask: ClientRequest, ending: AttemptResult, now_ms: float) -> Part | None:
        """Give the part to keep of an answer; None if it may not be kept.

        A purge told while the answer was under way is known by now, and its time is compared with the copy's
        own.
        """
        if (
            not self.keeps(ask.class_name)
            or ask.dedupe
            or ask.body
            or ending.unchanged
            or not ending.since_ms
        ):
            return None
        if len(ending.body) > MOST_BODY or len(ending.tag.encode()) > MOST_TEXT or ask.group > 0xFFFF:
            return None
        part = Part(
            ask.key, ask.part, ask.group, ask.class_name, ending.since_ms, ending.tag, self.proof.epoch
        )
        return part if self.judge(part, now_ms) is State.FRESH else None

    def may_confirm(self, ask: ClientRequest) -> bool:
        """Tell whether our own tag may go with a request: not where the client's is another matter."""
        return not ask.client_tag

    def patience_ms(self, ask: ClientRequest, now_ms: float) -> float:
        """Give how long a request may wait for another's answer before it goes its own way."""
        cls = self.classes[ask.class_name]
        return max(0.0, min(JOIN_MS, cls.aim_ms, JOIN_SHARE * (ask.deadline_ms - now_ms)))

    def until_ms(self, ask: ClientRequest, now_ms: float, transfer_ms: float) -> float:
        """Give when an answer from our own copies should be over.

        Later than its aim, a cache may be quicker.
        """
        cls = self.classes[ask.class_name]
        return min(ask.deadline_ms, now_ms + cls.aim_ms + cls.aim_stretch * transfer_ms)

    def cap_ms(self, now_ms: float, cap_ms: float) -> float:
        """Bound the age of a copy that is to confirm a suspect, beside the bound that holds anyhow (0.

        None).
        """
        own = self.proof.cap_ms(now_ms)
        return min(own, cap_ms) if cap_ms else own
