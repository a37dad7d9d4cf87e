"""Tests of paths, ranges, conditions, generations, bodies, windows, budgets and limits, without I/O."""

import hashlib
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hitchtiller.repo import conditions, ranges
from hitchtiller.repo.admission import MAX_PARTS as MAX_BACKGROUND_PARTS
from hitchtiller.repo.admission import MIN_PARTS, BackgroundLimit, ConnectionLimits
from hitchtiller.repo.body import TAIL_BYTES, Assembly, BrokenBodyError, Part, TagChangedError, VerifiedBodies
from hitchtiller.repo.budget import FileRepeatBudget, RepeatBudget
from hitchtiller.repo.generations import MAX_GENERATIONS, IndexHistory, NamedFile, State
from hitchtiller.repo.paths import InvalidTargetError, object_key, read_target
from hitchtiller.repo.window import MAX_PARTS, MAX_UNSENT_BYTES, Window

PART = 1000


@given(
    st.integers(1, 5000),
    st.lists(st.tuples(st.integers(0, 6000), st.integers(0, 6000)), min_size=1, max_size=4),
)
def test_every_range_covers_the_bytes_of_the_same_slice(size: int, wanted: list[tuple[int, int]]) -> None:
    body = random.Random(size).randbytes(size)
    parts = [body[at : at + PART] for at in range(0, size, PART)]
    header = "bytes=" + ",".join(f"{a}-{a + b}" for a, b in wanted)
    slices = [body[a : a + b + 1] for a, b in wanted if a < size]
    try:
        spans = ranges.read_ranges(header, size)
    except ranges.UnsatisfiableRangeError:
        assert not slices
        return
    if spans is not None:
        got = [b"".join(parts[n][x:y] for n, x, y in ranges.split_into_parts(span, PART)) for span in spans]
        assert got == slices
        assert all(span.content_range(size).startswith(f"bytes {span.first}-") for span in spans)


@given(st.integers(1, 3000), st.integers(0, 4000))
def test_suffix_and_open_ranges(size: int, number: int) -> None:
    body = bytes(size)
    for header, expected in ((f"bytes=-{number}", body[max(0, size - number) :] if number else b""),
                             (f"bytes={number}-", body[number:])):  # fmt: skip
        try:
            (span,) = ranges.read_ranges(header, size) or []
            assert span.size == len(expected) and span.end == size
        except ranges.UnsatisfiableRangeError:
            assert not expected


@given(st.text(max_size=60))
def test_any_range_header_is_parsed_ignored_or_unsatisfiable(text: str) -> None:
    try:
        spans = ranges.read_ranges(text, 1000)
    except ranges.UnsatisfiableRangeError:
        return
    assert spans is None or all(0 <= span.first < span.end <= 1000 for span in spans)


@given(st.binary(max_size=80))
def test_no_target_names_a_path_outside_the_repositories(raw: bytes) -> None:
    try:
        path = read_target(b"/" + raw).path
    except InvalidTargetError as error:
        assert 400 <= error.status < 500
        return
    segments = path.split("/")
    assert ".." not in segments and "." not in segments and "\\" not in path and path.isprintable()


def test_an_absolute_target_is_accepted_only_for_served_hosts() -> None:
    assert read_target(b"http://repo.local/a/b?q", frozenset({"repo.local"})).path == "a/b"
    with pytest.raises(InvalidTargetError) as raised:
        read_target(b"http://repo.local/a", frozenset())
    assert raised.value.status == 421
    assert object_key("r", "a") != object_key("r2", "a") != object_key("r2", "b")


KNOWN = conditions.Validators("d1", 1_700_000_000_500)


@pytest.mark.parametrize(
    "headers, method, expected",
    [
        ({}, "GET", 200),
        ({"if-none-match": '"d1"'}, "GET", 304),
        ({"if-none-match": 'W/"d1"'}, "HEAD", 304),
        ({"if-none-match": '"d0", "d1"'}, "GET", 304),
        ({"if-none-match": "*"}, "GET", 304),
        ({"if-none-match": '"d2"'}, "GET", 200),
        ({"if-none-match": "d1"}, "GET", 200),
        ({"if-none-match": '"d2"', "if-modified-since": KNOWN.last_modified}, "GET", 200),
        ({"if-modified-since": KNOWN.last_modified}, "GET", 304),
        ({"if-modified-since": "Mon, 01 Jan 2001 00:00:00 GMT"}, "GET", 200),
        ({"if-modified-since": "yesterday"}, "GET", 200),
        ({"if-match": '"d1"'}, "GET", 200),
        ({"if-match": 'W/"d1"'}, "GET", 412),
        ({"if-match": '"d2"'}, "GET", 412),
        ({"if-match": "*"}, "GET", 200),
        ({"if-unmodified-since": "Mon, 01 Jan 2001 00:00:00 GMT"}, "GET", 412),
        ({"if-unmodified-since": KNOWN.last_modified}, "GET", 200),
    ],
)
def test_conditions_are_evaluated_in_the_order_of_the_rfc(
    headers: dict[str, str], method: str, expected: int
) -> None:
    assert conditions.evaluate_conditions(method, headers, KNOWN) == expected


def test_if_range_requires_exactly_the_same_bytes() -> None:
    for value, applies in (
        ('"d1"', True),
        ('W/"d1"', False),
        ('"d2"', False),
        (KNOWN.last_modified, True),
        ("x", False),
    ):
        assert conditions.range_applies({"if-range": value}, KNOWN) is applies
    assert conditions.range_applies({}, KNOWN)


def test_a_range_continues_a_body_only_with_the_same_cache_tag() -> None:
    """Prevents a download from combining the first bytes of one release with the rest of another."""
    known = conditions.Validators("d1", 0, "t1")
    assert known.etag == '"d1.t1"' and conditions.range_applies({"if-range": '"d1.t1"'}, known)
    assert not conditions.range_applies({"if-range": '"d1.t2"'}, known)
    assert conditions.evaluate_conditions("GET", {"if-none-match": '"d1.t2"'}, known) == 304


# Generations


def named_files(**files: str) -> dict[str, NamedFile]:
    return {name: NamedFile(name, digest) for name, digest in files.items()}


def record_and_serve(
    history: IndexHistory, digest: str, files: dict[str, NamedFile], at: float, client: str = "c"
) -> None:
    history.record_index(digest, files, at, b"")
    for path in files:
        history.mark_found(digest, path)
    generation = history.serve(client, at)
    assert generation and generation.digest == digest


def test_an_index_is_served_only_once_its_new_files_exist() -> None:
    history = IndexHistory(1000.0)
    record_and_serve(history, "g1", named_files(a="1"), 10.0)
    second = history.record_index("g2", named_files(a="1", b="2"), 20.0, b"")
    assert second.pending_paths == {"b"} and history.generation_to_check(20.0) is second
    assert history.serve("c", 20.0).digest == "g1" and history.updates_withheld == 1  # type: ignore[union-attr]
    history.mark_missing("g2", 20.0)
    assert history.generation_to_check(100.0) is None and history.generation_to_check(600.0) is second
    history.mark_found("g2", "b")
    assert history.serve("c", 30.0).digest == "g2" and history.generations["g1"].state is State.RETIRED  # type: ignore[union-attr]


def test_a_client_gets_only_files_of_its_own_generation() -> None:
    history = IndexHistory(1000.0)
    record_and_serve(history, "g1", named_files(a="1", b="1"), 10.0, "old")
    record_and_serve(history, "g2", named_files(a="2", c="2"), 20.0, "new")
    assert history.permitted_file("old", "a", 30.0) == NamedFile("a", "1")
    assert (
        history.permitted_file("new", "a", 30.0)
        == NamedFile("a", "2")
        == history.permitted_file("stranger", "a", 30.0)
    )
    assert not history.permitted_file("new", "b", 30.0), "the client's index does not name the file"
    assert not history.permitted_file("old", "a", 1021.0) and history.is_outdated("old", 1021.0)
    assert history.permitted_file("new", "a", 1021.0)


def test_a_rollback_makes_an_older_generation_valid_again() -> None:
    history = IndexHistory(0.0)
    record_and_serve(history, "g1", named_files(a="1"), 10.0)
    record_and_serve(history, "g2", named_files(a="2"), 20.0)
    assert history.record_index("g1", {}, 30.0, b"").state is State.RETIRED
    generation = history.serve("c", 30.0)
    assert generation and generation.digest == "g1" and history.rollback_count == 1
    assert history.permitted_file("c", "a", 31.0) == NamedFile("a", "1")


def test_an_older_index_from_a_lagging_cache_is_ignored() -> None:
    history = IndexHistory(0.0)
    record_and_serve(history, "g2", named_files(a="2"), 20.0)
    history.record_index("g1", named_files(a="1"), 10.0, b"")
    generation = history.serve("c", 30.0)
    assert generation and generation.digest == "g2"


def test_generations_and_clients_are_bounded() -> None:
    history = IndexHistory(0.0)
    for number in range(50):
        record_and_serve(history, f"g{number}", named_files(a=str(number)), float(number), f"c{number}")
        assert len(history.generations) <= MAX_GENERATIONS
    assert history.generations.keys() >= {"g49"}


# Bodies


def make_parts(body: bytes, tag: str = "t") -> list[Part]:
    parts = [body[at : at + PART] for at in range(0, len(body) + 1, PART)]
    return [Part(part, tag, 5) for part in parts]


@given(st.integers(0, 60_000), st.booleans(), st.randoms(use_true_random=False))
def test_a_body_is_released_in_order_for_any_arrival_order_of_its_parts(
    size: int, is_size_known: bool, rng: random.Random
) -> None:
    body = random.Random(size).randbytes(size)
    assembly = Assembly(PART, hashlib.sha256(body).hexdigest(), size if is_size_known else -1)
    order = list(enumerate(make_parts(body)))
    rng.shuffle(order)
    out = b""
    for number, part in order:
        out += b"".join(assembly.add_part(number, part))
        assert body.startswith(out) and (assembly.is_complete or len(out) <= max(0, size - 1))
    assert out == body and assembly.is_complete and assembly.size == size


def test_the_tail_is_held_back_until_the_digest_is_verified() -> None:
    body = bytes(40_500)
    assembly = Assembly(PART, "0" * 64)
    out = b"".join(b"".join(assembly.add_part(n, part)) for n, part in enumerate(make_parts(body)[:-1]))
    assert len(out) == 40_000 - TAIL_BYTES
    with pytest.raises(BrokenBodyError, match="wrong-digest"):
        assembly.add_part(40, make_parts(body)[-1])


def test_parts_of_two_tags_are_never_combined() -> None:
    assembly = Assembly(PART)
    assembly.add_part(0, Part(bytes(PART), "t1", 5))
    with pytest.raises(TagChangedError) as raised:
        assembly.add_part(1, Part(bytes(PART), "t2", 5))
    assert raised.value.tag == "t2"
    for number in range(1, 30):
        assembly.add_part(number, Part(bytes(PART), "t1", 5))
    assert assembly.sent_bytes
    with pytest.raises(BrokenBodyError, match="two-releases"):
        assembly.add_part(30, Part(b"", "t2", 5))


@pytest.mark.parametrize(
    "size, lengths", [(2500, [1000, 400]), (1500, [1000, 1000]), (100, [101]), (-1, [1001])]
)
def test_a_wrong_size_breaks_the_body(size: int, lengths: list[int]) -> None:
    assembly = Assembly(PART, "", size)
    with pytest.raises(BrokenBodyError):
        for number, length in enumerate(lengths):
            assembly.add_part(number, Part(bytes(length), "t", 5))


def test_verified_bodies_are_bounded_and_drop_the_least_recently_used() -> None:
    verified_bodies = VerifiedBodies(3)
    for number in range(3):
        verified_bodies.put(number, "t", "d", 1)
    assert verified_bodies.get(0, "t")
    verified_bodies.put(9, "t", "d", 1)
    assert (
        verified_bodies.get(0, "t")
        and not verified_bodies.get(1, "t")
        and not verified_bodies.get(0, "other")
    )


# Windows, budgets and limits


def test_a_window_grows_for_a_reading_client_and_requests_nothing_for_a_stalled_one() -> None:
    window = Window()
    for _ in range(20):
        window.record_request()
        window.record_arrival(0, 0)
    assert window.size == MAX_PARTS and not window.can_request(MAX_UNSENT_BYTES)
    window.record_request()
    window.record_arrival(MAX_UNSENT_BYTES, 0)
    assert window.size == MAX_PARTS // 2
    for _ in range(5):
        window.record_request()
        window.record_failure()
    assert window.size == 1 and window.in_flight == 0 and window.can_request(0)


def test_repeats_in_a_storm_of_failures_stay_within_the_budget() -> None:
    budget = RepeatBudget()
    asked = repeats = 0
    for number in range(2000):
        file_budget = FileRepeatBudget()
        for _ in range(3):
            budget.record_request(file_budget)
            asked += 1
            while budget.try_repeat(file_budget, f"c{number % 50}", float(number)):
                repeats += 1
    assert repeats == budget.repeats_spent <= 50 + 0.1 * asked + 1 and budget.repeats_denied


def test_one_client_cannot_spend_the_repeats_of_others() -> None:
    budget = RepeatBudget()
    spent = sum(budget.try_repeat(FileRepeatBudget(), "greedy", 0.0) for _ in range(100))
    assert spent == 20 and budget.try_repeat(FileRepeatBudget(), "other", 0.0)
    assert budget.try_repeat(FileRepeatBudget(), "greedy", 1000.0)
    many = RepeatBudget(tokens=1e9)
    for number in range(3000):
        many.try_repeat(FileRepeatBudget(), f"c{number}", float(number * 100))
    assert len(many.clients) <= 1001


def test_only_a_files_last_parts_are_hedged() -> None:
    budget, file_budget = RepeatBudget(), FileRepeatBudget(10)
    assert not budget.try_hedge(9, 10, 500.0, file_budget, "c", 0.0), "no wait has been recorded yet"
    budget.record_wait(100.0)
    assert not budget.try_hedge(7, 10, 500.0, file_budget, "c", 0.0) and not budget.try_hedge(
        9, 10, 200.0, file_budget, "c", 0.0
    )
    assert budget.try_hedge(9, 10, 500.0, file_budget, "c", 0.0) and not budget.try_hedge(
        9, -1, 500.0, file_budget, "c", 0.0
    )


def test_the_background_limit_falls_when_the_foreground_is_late_and_recovers() -> None:
    background_limit, now = BackgroundLimit(), 0.0
    for _ in range(400):
        now += 10.0
        background_limit.record_foreground(in_time=False, now_ms=now)
        background_limit.adjust(0.0, now)
    assert background_limit.limit == MIN_PARTS
    background_limit.parts_in_flight = MIN_PARTS
    assert not background_limit.admits() and background_limit.refusal_count == 1
    for _ in range(3000):
        now += 10.0
        background_limit.record_foreground(in_time=True, now_ms=now)
        background_limit.adjust(0.0, now)
    assert background_limit.limit == MAX_BACKGROUND_PARTS and background_limit.admits()
    for _ in range(20):
        now += 200.0
        background_limit.adjust(100.0, now)
    assert background_limit.limit == MIN_PARTS, "the lag of the event loop lowers the limit, too"
    assert BackgroundLimit(is_enabled=False, parts_in_flight=10**6).admits()


def test_connections_are_bounded_in_total_and_by_address() -> None:
    limits = ConnectionLimits(3, 2)
    assert [
        limits.enter("a"), limits.enter("a"), limits.enter("a"), limits.enter("b"), limits.enter("c"),
    ] == ["", "", "too-many-of-one-address", "", "full"]  # fmt: skip
    limits.leave("a")
    assert limits.enter("c") == "" and limits.by_address == {"a": 1, "b": 1, "c": 1}
