"""What killed commands had asked: which may follow under their names, and whose answer one may be."""

from hitchtiller.back.killed_questions import KilledQuestions
from hitchtiller.back.recent_names import LATE_ANSWER_MS, MAX_NAMES


def killed(*names: bytes, at_ms: float = 0.0) -> KilledQuestions:
    questions = KilledQuestions()
    for name in names:
        questions.record_kill(name, 1, at_ms, is_receiving=False)
    return questions


def test_only_the_same_question_may_follow_and_other_names_are_free() -> None:
    questions = killed(b"a")
    assert questions.allows(b"a", 1, 1.0, is_receiving=False)
    assert not questions.allows(b"a", 2, 1.0, is_receiving=False)
    assert questions.allows(b"b", 2, 1.0, is_receiving=False)


def test_an_answer_does_not_free_a_name_as_a_second_copy_may_follow() -> None:
    questions = killed(b"a")
    questions.record_answer(b"a")
    assert not questions.may_answer(b"a")
    assert not questions.allows(b"a", 2, 1.0, is_receiving=False)


def test_each_kill_may_be_answered_once() -> None:
    questions = killed(b"a", b"a")
    questions.record_answer(b"a")
    assert questions.may_answer(b"a")
    questions.record_answer(b"a")
    questions.record_answer(b"a")
    assert not questions.may_answer(b"a") and not questions.may_answer(b"b")


def test_a_name_is_free_once_no_answer_can_come_any_more() -> None:
    questions = killed(b"a")
    assert not questions.allows(b"a", 2, LATE_ANSWER_MS, is_receiving=False)
    assert questions.allows(b"a", 2, LATE_ANSWER_MS + 1.0, is_receiving=False)
    assert not len(questions)


def test_a_name_is_not_free_while_an_answer_is_received_that_may_be_its_own() -> None:
    """A slow answer takes longer than any time after which answers are no longer expected."""
    questions = killed(b"a")
    assert not questions.allows(b"a", 2, 5.0 * LATE_ANSWER_MS, is_receiving=True)
    assert questions.allows(b"a", 2, 5.0 * LATE_ANSWER_MS, is_receiving=False)


def test_a_second_kill_of_a_name_counts_from_its_own_time() -> None:
    questions = killed(b"a")
    questions.record_kill(b"a", 1, LATE_ANSWER_MS, is_receiving=False)
    assert not questions.allows(b"a", 2, LATE_ANSWER_MS + 1.0, is_receiving=False)


def test_the_names_are_bounded() -> None:
    questions = KilledQuestions()
    for number in range(2 * MAX_NAMES):
        questions.record_kill(b"%d" % number, 1, 0.0, is_receiving=True)
    assert len(questions) == MAX_NAMES
    assert questions.allows(b"0", 2, 0.0, is_receiving=True)
