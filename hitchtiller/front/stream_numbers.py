"""The stream numbers that a connection has used, in bounded memory."""

MAX_SKIPPED_STREAMS = 64  # skipped stream numbers that may still be used


class StreamNumbers:
    """The highest number used so far, and the latest ones below it that were skipped."""

    def __init__(self) -> None:
        """Start without any used number."""
        self.highest, self.skipped = 0, set[int]()

    def claim(self, number: int) -> bool:
        """Mark a number as used; return False if it was used before or is too old to be accepted."""
        if number <= self.highest:
            known = number in self.skipped
            self.skipped.discard(number)
            return known
        self.skipped.update(range(max(self.highest + 1, number - MAX_SKIPPED_STREAMS), number))
        while len(self.skipped) > MAX_SKIPPED_STREAMS:
            self.skipped.remove(min(self.skipped))
        self.highest = number
        return True
