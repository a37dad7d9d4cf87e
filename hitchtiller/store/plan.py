"""Which copies may serve a request, and which answers are stored. Decided without I/O.

Enforces the rules: answers of classes that write, that stream or that are not repeatable are never stored; no
copy past its fresh time, and none that a purge forbids, is served as fresh; suspect copies are confirmed
first. A request that is not answered here goes to the decision module, which chooses a server.
"""

from dataclasses import dataclass
from enum import Enum

from hitchtiller import interface as api
from hitchtiller.exchange import AttemptResult, ClientRequest
from hitchtiller.store.format import MAX_BODY_BYTES, MAX_TEXT_BYTES, Part
from hitchtiller.store.purges import Purges
from hitchtiller.store.suspect import Proof

KNOWN_SHARE = 0.05  # cost of an answer without a body, as a share of the transfer of its copy
# that a request waits for another's answer at most: a share of its time, and in all
JOIN_SHARE, JOIN_MS = 0.4, 1_000.0


class State(Enum):
    """What a stored copy may be used for."""

    FRESH = "fresh"  # may be served
    STALE = "stale"  # past its fresh time, within its grace: served only if nothing better is available
    SUSPECT = "suspect"  # may be served after a server has confirmed it
    DEAD = "dead"  # may never be served again


@dataclass(frozen=True, slots=True)
class Plan:
    """The caching rules of a deployment's classes, with the known purges and the proof of freshness."""

    classes: dict[str, api.ClassSettings]
    purges: Purges
    proof: Proof

    def keeps(self, class_name: str) -> bool:
        """Return whether answers of a class may be stored at all."""
        cls = self.classes.get(class_name)
        return cls is not None and not (cls.write or cls.stream) and cls.effect == "repeatable"

    def judge(self, part: Part, now_ms: float) -> State:
        """Return the state of a copy at a time; its age counts from the origin's `since`."""
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
        """Return whether a copy is of the requested part and of the same class."""
        return (part.key, part.part, part.class_name) == (ask.key, ask.part, ask.class_name)

    def keep(self, ask: ClientRequest, ending: AttemptResult, now_ms: float) -> Part | None:
        """Return the part to store for an answer; None if it may not be stored.

        A purge received while the answer was on its way is known by now, and its time is compared with the
        copy's own.
        """
        if (
            not self.keeps(ask.class_name)
            or ask.dedupe
            or ask.body
            or ending.unchanged
            or not ending.since_ms
        ):
            return None
        if (
            len(ending.body) > MAX_BODY_BYTES
            or len(ending.tag.encode()) > MAX_TEXT_BYTES
            or ask.group > 0xFFFF
        ):
            return None
        part = Part(
            ask.key, ask.part, ask.group, ask.class_name, ending.since_ms, ending.tag, self.proof.epoch
        )
        return part if self.judge(part, now_ms) is State.FRESH else None

    def may_confirm(self, ask: ClientRequest) -> bool:
        """Return whether a request may carry this gateway's tag: only if it carries no tag of the client."""
        return not ask.client_tag

    def patience_ms(self, ask: ClientRequest, now_ms: float) -> float:
        """Return how long a request may wait for another's answer before it continues by itself."""
        cls = self.classes[ask.class_name]
        return max(0.0, min(JOIN_MS, cls.aim_ms, JOIN_SHARE * (ask.deadline_ms - now_ms)))

    def until_ms(self, ask: ClientRequest, now_ms: float, transfer_ms: float) -> float:
        """Return the time by which an answer from a copy should be complete.

        After the class's aim, a cache may be quicker.
        """
        cls = self.classes[ask.class_name]
        return min(ask.deadline_ms, now_ms + cls.aim_ms + cls.aim_stretch * transfer_ms)

    def cap_ms(self, now_ms: float, cap_ms: float) -> float:
        """Return the age limit of a copy that is to confirm a suspect, within the usual limit (0: none)."""
        own = self.proof.cap_ms(now_ms)
        return min(own, cap_ms) if cap_ms else own
