"""Which stored copies are proven fresh and which are suspect: epochs, the watermark, gaps and clock steps.

A gateway that was away does not know which purges it missed, and the numbers of the event bus begin anew at
each of its starts. The store therefore keeps a watermark (the time up to which it had durably followed the
bus) and an epoch, a number that every record carries. After a gap the epoch is raised. Copies of older epochs
are then suspect until a cache confirms their tag under an age limit that excludes the time before the end of
the gap. The new epoch is made durable before a copy is served or the watermark moves on, so a start after a
crash in between finds the same gap again.

    proven --gap, clock step--> suspect --confirmed, since after the gap--> proven (stored again in the
    current epoch)
                                suspect --another tag--> removed
"""

from dataclasses import dataclass

MAX_PURGE_LAG_MS = 2_000.0  # longest delay from a purge to its event on the bus; 31 to 310 ms were observed
MIN_CLOCK_STEP_MS = (
    1_000.0  # smallest change of the wall clock against the monotonic clock that counts as a step
)
MAX_AHEAD_MS = 2_000.0  # that a copy's time may lie ahead of the own clock, as the origin's clock differs


@dataclass(frozen=True, slots=True)
class SavedProof:
    """The state of the proof that was durable when the process ended."""

    epoch: int = 0
    followed_ms: float = 0.0  # 0: never followed the bus
    gap_end_ms: float = 0.0  # confirmations of copies of older epochs must date from after this


class Proof:
    """Decides which copies are proven fresh, from events of the bus and from both clocks."""

    def __init__(self, saved: SavedProof, replay_ms: float, lag_ms: float = MAX_PURGE_LAG_MS) -> None:
        """Start from the saved state; at a start the bus repeats the purges of the last `replay_ms`."""
        self.epoch, self.followed_ms, self.gap_end_ms = saved.epoch, saved.followed_ms, saved.gap_end_ms
        self.replay_ms, self.lag_ms = replay_ms, lag_ms
        self.begun = False  # nothing is proven before the bus has been caught up with
        self.begun_ms = 0.0  # all purges from `replay_ms` before this time on are known
        self.wall_offset_ms: float | None = None  # wall clock minus monotonic clock
        self.clock_steps = 0

    def begin(self, now_ms: float, monotonic_ms: float) -> bool:
        """Handle the first time that every event so far has been received from the bus.

        Return whether the epoch has to be made durable, as when a gap raised it.
        """
        self.wall_offset_ms = now_ms - monotonic_ms
        self.begun, self.begun_ms = True, now_ms
        has_gap = (
            not self.followed_ms or now_ms < self.followed_ms or now_ms - self.replay_ms > self.followed_ms
        )
        if has_gap or not self.epoch:
            self._raise_epoch(now_ms)
        return has_gap or self.epoch == 1

    def adopt(self, saved: SavedProof, now_ms: float) -> bool:
        """Take over the saved state of a folder that was opened after the bus had been caught up with.

        Return whether the epoch must be made durable in the folder. The bus has been followed since
        `begun_ms`, so only purges from before that can have been missed. The later of the two epochs is used;
        copies of the other must be confirmed once, which is rare and safe.
        """
        if saved == SavedProof():  # nothing was ever stored there, so nothing is in doubt
            return True
        has_gap = (
            not saved.followed_ms
            or saved.followed_ms > now_ms
            or saved.followed_ms < self.begun_ms - self.replay_ms
        )
        self.epoch = max(self.epoch, saved.epoch)
        self.gap_end_ms = max(self.gap_end_ms if self.epoch > saved.epoch else 0.0, saved.gap_end_ms)
        self.followed_ms = (
            max(self.followed_ms, saved.followed_ms) if self.begun and not has_gap else saved.followed_ms
        )
        if self.begun and has_gap:
            self._raise_epoch(now_ms)
        return self.epoch != saved.epoch

    def _raise_epoch(self, now_ms: float) -> None:
        self.epoch += 1
        self.gap_end_ms = now_ms

    def check_clock_step(self, now_ms: float, monotonic_ms: float) -> bool:
        """Compare the two clocks; return whether the wall clock stepped since the last call.

        A step raises the epoch; small drifts are followed. Must be called before the age of a copy is judged.
        """
        if not self.begun or self.wall_offset_ms is None:
            return False
        offset_now_ms = now_ms - monotonic_ms
        has_stepped = abs(offset_now_ms - self.wall_offset_ms) > MIN_CLOCK_STEP_MS
        self.wall_offset_ms = offset_now_ms
        if has_stepped:
            self.clock_steps += 1
            self._raise_epoch(now_ms)
            self.followed_ms = min(self.followed_ms, now_ms - self.lag_ms)
        return has_stepped

    def follow(self, now_ms: float) -> None:
        """Move the watermark on: every event so far has been received from the bus.

        The watermark stays behind the current time by the longest delay of a purge on its way to the bus.
        """
        if self.begun:
            self.followed_ms = max(self.followed_ms, now_ms - self.lag_ms)

    def proven(self, epoch: int, since_ms: float, now_ms: float) -> bool:
        """Return whether a copy of this epoch can't have missed a purge, so that it needs no confirmation."""
        return self.begun and epoch == self.epoch and since_ms <= now_ms + MAX_AHEAD_MS

    def confirms(self, since_ms: float, now_ms: float) -> bool:
        """Return whether a confirmation with this time dates from after the gap."""
        return self.begun and self.gap_end_ms <= since_ms <= now_ms + MAX_AHEAD_MS

    def cap_ms(self, now_ms: float) -> float:
        """Return the greatest age that a confirming copy may have; at least 1."""
        return max(1.0, now_ms - self.gap_end_ms)
