"""The time that a client has for a frame that has begun, or for its first one."""

FRAME_TIMEOUT_MS = 2_200.0  # for the first whole frame, and for the rest of a partial one
# A partial frame that grows by this much starts its timeout again, but has to be complete after MAX_FRAME_MS.
MIN_GROWTH_BYTES, MAX_FRAME_MS = 32, 6_000.0


class FrameTimeout:
    """When the frame that is due began, and when it last grew enough."""

    def __init__(self, now: float) -> None:
        """Expect the first frame from now on."""
        self.progress_ms: float | None = now  # None while no frame is due
        self.started_ms, self.progress_bytes = now, 0

    def record_whole(self) -> None:
        """Record that the frame is complete; none is due until the next one begins."""
        self.progress_ms = None

    def record_progress(self, arrived_bytes: int, now: float) -> None:
        """Record how much of a frame has arrived; enough growth starts its timeout again.

        Requests that arrived in pieces over more than FRAME_TIMEOUT_MS must not be cut off while they grow.
        """
        if not arrived_bytes:
            return
        if self.progress_ms is None:
            self.started_ms = now
        if self.progress_ms is None or arrived_bytes >= self.progress_bytes + MIN_GROWTH_BYTES:
            self.progress_ms, self.progress_bytes = now, arrived_bytes

    def is_overdue(self, now: float) -> bool:
        """Return whether a frame is due and has taken too long."""
        return self.progress_ms is not None and (
            now - self.progress_ms > FRAME_TIMEOUT_MS or now - self.started_ms > MAX_FRAME_MS
        )
