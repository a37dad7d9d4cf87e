"""Word on servers: who counts as a witness, what an own answer outweighs, and how far word travels."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from hitchtiller.membership.evidence import (
    MAX_SENDS,
    MAX_WITNESSES,
    MIN_WITNESSES,
    REPORT_LIFETIME_MS,
    Evidence,
    Report,
    Symptom,
)
from hitchtiller.membership.words import (
    MAX_DATAGRAM_BYTES,
    MAX_REPORTS,
    Kind,
    MembershipMessage,
    pack,
    unpack,
)

SICK = 77


def said(by: int, age_ms: float = 0.0, count: int = 1) -> Report:
    return Report(SICK, Symptom.SILENT, by, age_ms, count)


def test_one_witness_repeated_by_forty_is_one() -> None:
    mine = Evidence(0)
    for n in range(40):
        mine.add_reports([said(1, age_ms=10.0 * n)], 1_000.0 + n)
    assert mine.witnesses(SICK, 1_100.0) == {1} and mine.take_verdicts(1_100.0) == []
    mine.add_reports([said(2)], 1_100.0)
    assert mine.take_verdicts(1_100.0) == [SICK]
    assert mine.take_verdicts(1_100.0) == [], "a verdict is given once"


def test_my_own_answer_outweighs_what_was_said_before_it() -> None:
    mine = Evidence(0)
    mine.add_reports([said(1), said(2)], 1_000.0)
    mine.record_answer(SICK, 1_001.0)
    assert mine.take_verdicts(1_002.0) == []
    mine.add_reports([said(1, count=2), said(2, count=2)], 1_500.0)
    assert mine.take_verdicts(1_500.0) == [SICK], "what was seen after it counts"


def test_what_i_saw_myself_is_told_and_is_no_witness_for_me() -> None:
    mine = Evidence(0)
    mine.record_failure(SICK, Symptom.REFUSED, 1_000.0)
    mine.add_reports([said(1)], 1_000.0)
    assert mine.witnesses(SICK, 1_000.0) == {1}
    told = next(r for r in mine.next_reports(1_200.0, 9) if r.witness == 0)
    assert told.symptom is Symptom.REFUSED and told.age_ms == 200.0
    echo = Evidence(1)
    echo.add_reports([told], 9_000.0)  # another clock
    assert echo.witnesses(SICK, 9_000.0) == {0}
    mine.add_reports([told], 1_300.0)  # my own word comes back
    assert mine.witnesses(SICK, 1_300.0) == {1}


def test_old_word_changes_nothing_and_is_forgotten() -> None:
    mine = Evidence(0)
    mine.add_reports([said(1, age_ms=REPORT_LIFETIME_MS)], 1_000.0)
    assert mine.reports == {}
    mine.add_reports([said(1), said(2)], 1_000.0)
    assert mine.take_verdicts(1_000.0 + REPORT_LIFETIME_MS) == [] and mine.reports == {}


def test_tables_and_tellings_are_bounded() -> None:
    mine = Evidence(0)
    for by in range(1, 200):
        mine.add_reports([said(by)], 1_000.0)
    assert len(mine.reports[SICK]) == MAX_WITNESSES
    told = 0
    while some := mine.next_reports(1_000.0, MAX_REPORTS):
        told += len(some)
    assert told == MAX_WITNESSES * MAX_SENDS


@given(st.lists(st.tuples(st.integers(1, 5), st.integers(1, 4)), max_size=12), st.randoms())
def test_witnesses_are_the_same_in_any_order_and_however_often_told(
    words: list[tuple[int, int]], rng: Random
) -> None:
    one, other = Evidence(0), Evidence(0)
    few = [said(by, count=count) for by, count in words if by <= MAX_WITNESSES]
    one.add_reports(few, 1_000.0)
    again = few * 2
    rng.shuffle(again)
    other.add_reports(again, 1_000.0)
    assert one.witnesses(SICK, 1_001.0) == other.witnesses(SICK, 1_001.0)
    assert one.take_verdicts(1_001.0) == ([SICK] if len({r.witness for r in few}) >= MIN_WITNESSES else [])


@given(
    st.lists(
        st.builds(
            Report, st.integers(0, 2**32 - 1), st.sampled_from(Symptom), st.integers(0, 999),
            st.integers(0, 200).map(lambda n: 25.0 * n), st.integers(1, 255),
        ),
        max_size=40,
    )
)  # fmt: skip
def test_reports_read_back_and_fit_a_datagram(reports: list[Report]) -> None:
    data = pack(MembershipMessage(Kind.REPORT, 3, 9, reports=reports), 7)
    assert len(data) <= MAX_DATAGRAM_BYTES
    read = unpack(data, 7)
    assert read and read.reports == reports[:MAX_REPORTS] and read.items == []
    assert unpack(data[:-1], 7) is None
    assert unpack(data, 8) is None


def test_counts_of_servers_that_are_gone_do_not_pile_up() -> None:
    mine = Evidence(0)
    for server in range(500):  # caches that were replaced, each seen sick once
        mine.record_failure(server, Symptom.SILENT, 1_000.0)
    mine.record_failure(SICK, Symptom.SILENT, 1_000.0 + REPORT_LIFETIME_MS)
    mine.take_verdicts(1_000.0 + REPORT_LIFETIME_MS)
    assert set(mine.failure_counts) == {SICK} and mine.failure_counts[SICK] == 2
