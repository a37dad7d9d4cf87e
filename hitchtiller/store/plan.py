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

UNCHANGED_COST_SHARE = 0.05  # cost of an answer without a body, as a share of the transfer of its copy
# longest wait for another request's answer: share of the remaining time, and in all
MAX_JOIN_SHARE, MAX_JOIN_MS = 0.4, 1_000.0


class CopyState(Enum):
    """What a stored copy may be used for."""

    FRESH = "fresh"  # may be served
    STALE = "stale"  # past its fresh time, within its grace: served only if nothing better is available
    SUSPECT = "suspect"  # may be served after a server has confirmed it
    UNHEARD = "unheard"  # the same: a purge of it may count as told, as the event bus is not heard
    DEAD = "dead"  # may never be served again


@dataclass(frozen=True, slots=True)
class CopyRules:
    """The caching rules of a deployment's classes, with the known purges and the proof of freshness."""

    classes: dict[str, api.ClassSettings]
    purges: Purges
    proof: Proof

    def is_cacheable(self, class_name: str) -> bool:
        """Return whether answers of a class may be stored at all."""
        settings = self.classes.get(class_name)
        return (
            settings is not None
            and not (settings.write or settings.stream)
            and settings.effect == "repeatable"
        )

    def copy_state(self, part: Part, now_ms: float) -> CopyState:
        """Return the state of a copy at a time; its age counts from the origin's `since`."""
        settings = self.classes.get(part.class_name)
        if settings is None or not self.purges.allows(part.key, part.group, part.since_ms):
            return CopyState.DEAD
        age_ms = now_ms - part.since_ms
        if settings.fresh_ms and age_ms > settings.fresh_ms + settings.grace_ms:
            return CopyState.DEAD
        if not self.proof.proven(part.epoch, part.since_ms, now_ms):
            return CopyState.SUSPECT
        return CopyState.STALE if settings.fresh_ms and age_ms > settings.fresh_ms else CopyState.FRESH

    def matches(self, part: Part, request: ClientRequest) -> bool:
        """Return whether a copy is of the requested part and of the same class."""
        return (part.key, part.part, part.class_name) == (request.key, request.part, request.class_name)

    def part_to_store(self, request: ClientRequest, result: AttemptResult, now_ms: float) -> Part | None:
        """Return the part to store for an answer; None if it may not be stored.

        A purge received while the answer was on its way is known by now, and its time is compared with the
        copy's own.
        """
        if (
            not self.is_cacheable(request.class_name)
            or request.dedupe
            or request.body
            or result.unchanged
            or not result.since_ms
        ):
            return None
        if (
            len(result.body) > MAX_BODY_BYTES
            or len(result.tag.encode()) > MAX_TEXT_BYTES
            or request.group > 0xFFFF
        ):
            return None
        part = Part(
            request.key,
            request.part,
            request.group,
            request.class_name,
            result.since_ms,
            result.tag,
            self.proof.epoch,
        )
        return part if self.copy_state(part, now_ms) is CopyState.FRESH else None

    def may_confirm(self, request: ClientRequest) -> bool:
        """Return whether a request may carry this gateway's tag: only if it carries no tag of the client."""
        return not request.client_tag

    def max_join_wait_ms(self, request: ClientRequest, now_ms: float) -> float:
        """Return how long a request may wait for another's answer before it continues by itself."""
        settings = self.classes[request.class_name]
        return max(0.0, min(MAX_JOIN_MS, settings.aim_ms, MAX_JOIN_SHARE * (request.deadline_ms - now_ms)))

    def answer_deadline_ms(self, request: ClientRequest, now_ms: float, transfer_ms: float) -> float:
        """Return the time by which an answer from a copy should be complete.

        After the class's aim, a cache may be quicker.
        """
        settings = self.classes[request.class_name]
        return min(request.deadline_ms, now_ms + settings.aim_ms + settings.aim_stretch * transfer_ms)

    def cap_ms(self, now_ms: float, cap_ms: float) -> float:
        """Return the age limit of a copy that is to confirm a suspect, within the usual limit (0: none)."""
        own_limit_ms = self.proof.cap_ms(now_ms)
        return min(own_limit_ms, cap_ms) if cap_ms else own_limit_ms
