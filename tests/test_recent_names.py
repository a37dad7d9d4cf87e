"""Names of jobs that were killed, abandoned or answered lately."""

from hitchtiller.back.recent_names import LATE_ANSWER_MS, MAX_NAMES, RecentNames


def test_names_expire_after_the_time_in_which_an_answer_may_come() -> None:
    names = RecentNames()
    names.remember(b"a", 0.0)
    assert names.holds(b"a", LATE_ANSWER_MS - 1.0) and not names.holds(b"a", LATE_ANSWER_MS)
    assert not names.holds(b"a", 500.0, within_ms=400.0)
    names.remember(b"b", LATE_ANSWER_MS + 1.0)
    assert list(names) == [b"b"]


def test_a_name_that_is_remembered_again_counts_from_its_last_event() -> None:
    names = RecentNames()
    for name, at_ms in ((b"a", 0.0), (b"b", 1.0), (b"a", LATE_ANSWER_MS)):
        names.remember(name, at_ms)
    names.remember(b"c", LATE_ANSWER_MS + 2.0)
    assert list(names) == [b"a", b"c"]


def test_the_names_are_bounded_however_fast_they_come() -> None:
    names = RecentNames()
    for number in range(2 * MAX_NAMES):
        names.remember(b"%d" % number, 0.0)
    assert len(names) == MAX_NAMES and not names.holds(b"0", 0.0)
    names.remember_all({b"x%d" % number: 1.0 for number in range(2 * MAX_NAMES)}, 1.0)
    assert len(names) == MAX_NAMES
