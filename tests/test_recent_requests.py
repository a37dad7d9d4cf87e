"""What clients have lately asked under each id."""

from dataclasses import replace
from typing import Any

import pytest

from hitchtiller.exchange import ClientRequest
from hitchtiller.front.recent_requests import LATE_ANSWER_MS, MAX_IDS, RecentRequests

DEADLINE_MS = 1_000.0
FIRST = ClientRequest("a" * 16, "files", "0" * 16, 0, DEADLINE_MS, group=3)


def remembered(*requests: ClientRequest) -> RecentRequests:
    recent = RecentRequests()
    for request in requests:
        recent.remember(request, 0.0)
    return recent


@pytest.mark.parametrize(
    "change",
    [
        {"class_name": "other"}, {"object": "1" * 16}, {"part": 1}, {"group": 4}, {"dedupe": "k"},
        {"client_tag": "t"}, {"body": b"x"},
    ],
)  # fmt: skip
def test_an_id_with_another_question_is_told_apart(change: dict[str, Any]) -> None:
    """Each of these decides what a right answer is: the answer to one question is none to the other."""
    recent = remembered(FIRST)
    assert recent.asks_otherwise(replace(FIRST, **change), 1.0)
    assert recent.asks_otherwise(replace(FIRST, id="A" * 16, **change), 1.0)
    assert not recent.asks_otherwise(replace(FIRST, id="b" * 16, **change), 1.0)


def test_the_same_request_may_come_again_with_another_deadline() -> None:
    """A request that crosses the close of its connection is sent again."""
    assert not remembered(FIRST).asks_otherwise(replace(FIRST, deadline_ms=2_000.0), 1.0)


def test_an_id_is_forgotten_once_nothing_of_its_request_is_under_way() -> None:
    recent, other = remembered(FIRST), replace(FIRST, object="1" * 16)
    assert recent.asks_otherwise(other, DEADLINE_MS + LATE_ANSWER_MS - 1.0)
    assert not recent.asks_otherwise(other, DEADLINE_MS + LATE_ANSWER_MS)
    recent.remember(replace(FIRST, id="b" * 16), DEADLINE_MS + LATE_ANSWER_MS)
    assert list(recent.by_id) == [int("b" * 16, 16)]


def test_the_ids_are_bounded_and_the_oldest_go_first() -> None:
    recent = remembered(*(replace(FIRST, id=f"{number:016x}") for number in range(MAX_IDS + 5)))
    assert len(recent.by_id) == MAX_IDS and 4 not in recent.by_id and 5 in recent.by_id
