"""Lines about single requests: what they tell, and that a flood of them is bounded."""

from unittest.mock import patch

from hitchtiller.ops.request_log import BURST_LINES, LINES_PER_S, RequestLog


class Lines:
    """A log with a manual clock, and the lines that it wrote."""

    def __init__(self) -> None:
        self.now_s, self.texts = 0.0, list[str]()
        self.log = RequestLog(lambda: self.now_s)

    def reject(self, count: int = 1) -> None:
        with patch("hitchtiller.ops.request_log.logger.info", self.write):
            for _ in range(count):
                self.log.record_rejection("00ab", "small", "refused", "memory")

    def write(self, text: str, *values: object) -> None:
        self.texts.append(text.format(*values))


def test_a_class_with_a_line_feed_in_its_name_stays_in_its_line() -> None:
    """The rest of the name stood in a line of its own, which looked like another one of the log."""
    lines = Lines()
    with patch("hitchtiller.ops.request_log.logger.info", lines.write):
        lines.log.record_rejection("00ab", "dos\nlíneas", "refused", "memory")
        lines.log.record_rejection("00ab", "una línea", "refused", "memory")
    assert [text.partition("class=")[2] for text in lines.texts] == ["dos\\nl\\xedneas", "una línea"]


def test_a_refusal_is_told_with_its_id_and_reason_and_a_retry_with_what_ended_before_it() -> None:
    lines = Lines()
    lines.reject()
    with patch("hitchtiller.ops.request_log.logger.info", lines.write):
        lines.log.record_retry("00ab", 1, "s-1", "econnreset")
        lines.log.record_rejection("", "", "failed", "too_long")
    assert lines.texts == [
        "request 00ab refused reason=memory class=small",
        "request 00ab attempt=1 server=s-1 after=econnreset",
        "request - failed reason=too_long class=-",
    ]


def test_a_flood_is_bounded_and_the_next_line_tells_how_many_were_left_out() -> None:
    lines = Lines()
    lines.reject(10_000)
    assert len(lines.texts) == BURST_LINES
    lines.now_s += 1.0 / LINES_PER_S
    lines.reject()
    assert lines.texts[-1].endswith(f"left_out={10_000 - int(BURST_LINES)}")
    assert len(lines.texts) == BURST_LINES + 1
