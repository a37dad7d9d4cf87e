"""Reports about failing servers: which witnesses count, when an own answer voids them, and their bounds."""

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
    MembershipMessage,
    MessageKind,
    pack,
    unpack,
)

FAILING_SERVER = 77


def report(witness: int, age_ms: float = 0.0, count: int = 1) -> Report:
    return Report(FAILING_SERVER, Symptom.SILENT, witness, age_ms, count)


def test_one_witness_repeated_by_forty_gateways_counts_once() -> None:
    local = Evidence(0)
    for n in range(40):
        local.add_reports([report(1, age_ms=10.0 * n)], 1_000.0 + n)
    assert local.witnesses(FAILING_SERVER, 1_100.0) == {1} and local.take_verdicts(1_100.0) == []
    local.add_reports([report(2)], 1_100.0)
    assert local.take_verdicts(1_100.0) == [FAILING_SERVER]
    assert local.take_verdicts(1_100.0) == [], "a verdict is returned once"


def test_an_own_answer_outweighs_earlier_reports() -> None:
    local = Evidence(0)
    local.add_reports([report(1), report(2)], 1_000.0)
    local.record_answer(FAILING_SERVER, 1_001.0)
    assert local.take_verdicts(1_002.0) == []
    local.add_reports([report(1, count=2), report(2, count=2)], 1_500.0)
    assert local.take_verdicts(1_500.0) == [FAILING_SERVER], "failures seen after the answer count"


def test_own_failures_are_reported_but_are_no_witness_for_oneself() -> None:
    local = Evidence(0)
    local.record_failure(FAILING_SERVER, Symptom.REFUSED, 1_000.0)
    local.add_reports([report(1)], 1_000.0)
    assert local.witnesses(FAILING_SERVER, 1_000.0) == {1}
    own_report = next(r for r in local.next_reports(1_200.0, 9) if r.witness == 0)
    assert own_report.symptom is Symptom.REFUSED and own_report.age_ms == 200.0
    remote = Evidence(1)
    remote.add_reports([own_report], 9_000.0)  # by another gateway's clock
    assert remote.witnesses(FAILING_SERVER, 9_000.0) == {0}
    local.add_reports([own_report], 1_300.0)  # its own report comes back
    assert local.witnesses(FAILING_SERVER, 1_300.0) == {1}


def test_expired_reports_change_nothing_and_are_dropped() -> None:
    local = Evidence(0)
    local.add_reports([report(1, age_ms=REPORT_LIFETIME_MS)], 1_000.0)
    assert local.reports == {}
    local.add_reports([report(1), report(2)], 1_000.0)
    assert local.take_verdicts(1_000.0 + REPORT_LIFETIME_MS) == [] and local.reports == {}


def test_stored_reports_and_their_sends_are_bounded() -> None:
    local = Evidence(0)
    for witness in range(1, 200):
        local.add_reports([report(witness)], 1_000.0)
    assert len(local.reports[FAILING_SERVER]) == MAX_WITNESSES
    sent_count = 0
    while batch := local.next_reports(1_000.0, MAX_REPORTS):
        sent_count += len(batch)
    assert sent_count == MAX_WITNESSES * MAX_SENDS


@given(st.lists(st.tuples(st.integers(1, 5), st.integers(1, 4)), max_size=12), st.randoms())
def test_witnesses_depend_on_neither_order_nor_repetition_of_reports(
    sightings: list[tuple[int, int]], rng: Random
) -> None:
    one, other = Evidence(0), Evidence(0)
    batch = [report(witness, count=count) for witness, count in sightings if witness <= MAX_WITNESSES]
    one.add_reports(batch, 1_000.0)
    repeated = batch * 2
    rng.shuffle(repeated)
    other.add_reports(repeated, 1_000.0)
    assert one.witnesses(FAILING_SERVER, 1_001.0) == other.witnesses(FAILING_SERVER, 1_001.0)
    assert one.take_verdicts(1_001.0) == (
        [FAILING_SERVER] if len({r.witness for r in batch}) >= MIN_WITNESSES else []
    )


@given(
    st.lists(
        st.builds(
            Report, st.integers(0, 2**32 - 1), st.sampled_from(Symptom), st.integers(0, 999),
            st.integers(0, 200).map(lambda n: 25.0 * n), st.integers(1, 255),
        ),
        max_size=40,
    )
)  # fmt: skip
def test_reports_fit_a_datagram_and_decode_unchanged(reports: list[Report]) -> None:
    data = pack(MembershipMessage(MessageKind.REPORT, 3, 9, reports=reports), 7)
    assert len(data) <= MAX_DATAGRAM_BYTES
    read = unpack(data, 7)
    assert read and read.reports == reports[:MAX_REPORTS] and read.items == []
    assert unpack(data[:-1], 7) is None
    assert unpack(data, 8) is None


def test_failure_counts_of_replaced_servers_are_dropped() -> None:
    local = Evidence(0)
    for server in range(500):  # caches that were replaced, each seen failing once
        local.record_failure(server, Symptom.SILENT, 1_000.0)
    local.record_failure(FAILING_SERVER, Symptom.SILENT, 1_000.0 + REPORT_LIFETIME_MS)
    local.take_verdicts(1_000.0 + REPORT_LIFETIME_MS)
    assert set(local.failure_counts) == {FAILING_SERVER} and local.failure_counts[FAILING_SERVER] == 2
