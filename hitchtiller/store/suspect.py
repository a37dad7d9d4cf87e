"""Which kept copies are proven and which are suspect: eras, the watermark, gaps and clocks that step.

A gateway that was away does not know which purges it missed, and bus numbers begin anew at every start. So
the store keeps a watermark (up to when it had followed the bus, durably) and an era, a number that each
record carries. After a gap the era is raised: copies of older eras are suspect until a cache has confirmed
their tag under a bound on age that ends after the gap. The new era is durable before anything is served or
the watermark moves on, so a crash in between finds the same gap again.

    proven --gap, clock step--> suspect --confirmed, since after the gap--> proven (kept anew in the era in
    force)
                                suspect --another tag--> gone
"""

from dataclasses import dataclass

LAG_MS = 2_000.0  # from a purge until the bus has it: seen were 31 to 310 ms
STEP_MS = 1_000.0  # by which the wall clock may leave the steady one before it counts as a step
FUTURE_MS = 2_000.0  # by which a copy's time may lie ahead: the origin's clock is not ours


@dataclass(frozen=True, slots=True)
class SavedProof:
    """What was durable when the process ended."""

    epoch: int = 0
    followed_ms: float = 0.0  # 0: never followed
    gap_end_ms: float = 0.0  # copies of older eras must be confirmed from after this


class Proof:
    """Decides which copies are proven; it is told of the bus and of both clocks."""

    def __init__(self, kept: SavedProof, replay_ms: float, lag_ms: float = LAG_MS) -> None:
        """Start from what was kept; a start is told the purges of the last `replay_ms` again."""
        self.epoch, self.followed_ms, self.gap_end_ms = kept.epoch, kept.followed_ms, kept.gap_end_ms
        self.replay_ms, self.lag_ms = replay_ms, lag_ms
        self.begun = False  # nothing is proven before the bus has told all there was
        self.begun_ms = 0.0  # purges from `replay_ms` before this on are known
        self.offset_ms: float | None = None  # wall clock less steady clock
        self.steps = 0

    def begin(self, now_ms: float, steady_ms: float) -> bool:
        """Hear that the bus has told all there was.

        True if a gap raised the era, which must be made durable.
        """
        self.offset_ms = now_ms - steady_ms
        self.begun, self.begun_ms = True, now_ms
        gap = not self.followed_ms or now_ms < self.followed_ms or now_ms - self.replay_ms > self.followed_ms
        if gap or not self.epoch:
            self._raise(now_ms)
        return gap or self.epoch == 1

    def adopt(self, kept: SavedProof, now_ms: float) -> bool:
        """Take over what a folder kept, read only now; True if the era has to be made durable there.

        The bus has been followed since `begun_ms`, so only what lies before that can have been missed. Of two
        eras the later holds: copies of the other are asked about once, which is rare and safe.
        """
        if kept == SavedProof():  # nothing was ever kept there, so nothing is in doubt
            return True
        gap = (
            not kept.followed_ms
            or kept.followed_ms > now_ms
            or kept.followed_ms < self.begun_ms - self.replay_ms
        )
        self.epoch = max(self.epoch, kept.epoch)
        self.gap_end_ms = max(self.gap_end_ms if self.epoch > kept.epoch else 0.0, kept.gap_end_ms)
        self.followed_ms = (
            max(self.followed_ms, kept.followed_ms) if self.begun and not gap else kept.followed_ms
        )
        if self.begun and gap:
            self._raise(now_ms)
        return self.epoch != kept.epoch

    def _raise(self, now_ms: float) -> None:
        self.epoch += 1
        self.gap_end_ms = now_ms

    def stepped(self, now_ms: float, steady_ms: float) -> bool:
        """Compare the two clocks; True if the wall clock stepped since the last look and the era was raised.

        Small drifts are followed. Ask before any copy's age is judged.
        """
        if not self.begun or self.offset_ms is None:
            return False
        offset = now_ms - steady_ms
        stepped = abs(offset - self.offset_ms) > STEP_MS
        self.offset_ms = offset
        if stepped:
            self.steps += 1
            self._raise(now_ms)
            self.followed_ms = min(self.followed_ms, now_ms - self.lag_ms)
        return stepped

    def follow(self, now_ms: float) -> None:
        """Hear that the bus has nothing more to tell.

        The watermark stays behind by what a purge may take to it.
        """
        if self.begun:
            self.followed_ms = max(self.followed_ms, now_ms - self.lag_ms)

    def proven(self, epoch: int, since_ms: float, now_ms: float) -> bool:
        """Tell whether a copy of this era may be served without asking, as far as missed purges go."""
        return self.begun and epoch == self.epoch and since_ms <= now_ms + FUTURE_MS

    def confirms(self, since_ms: float, now_ms: float) -> bool:
        """Tell whether a confirmation with this time is from after the gap."""
        return self.begun and self.gap_end_ms <= since_ms <= now_ms + FUTURE_MS

    def cap_ms(self, now_ms: float) -> float:
        """Give the oldest that a confirming copy may be; at least 1."""
        return max(1.0, now_ms - self.gap_end_ms)
