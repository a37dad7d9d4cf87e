"""Paths, ranges, conditions, generations, bodies, windows and budgets, decided without I/O."""

import hashlib
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hitchtiller.repo import conditions, ranges
from hitchtiller.repo.admission import CEILING, FLOOR, BackgroundLimit, ConnectionLimits
from hitchtiller.repo.body import HOLD, Assembly, Broken, Piece, Proofs, Restart
from hitchtiller.repo.budget import Budget, FileBudget
from hitchtiller.repo.generations import KEPT, Line, NamedFile, State
from hitchtiller.repo.paths import BadTarget, object_key, read_target
from hitchtiller.repo.window import HIGH, MOST, Window

PART = 1000


@given(
    st.integers(1, 5000),
    st.lists(st.tuples(st.integers(0, 6000), st.integers(0, 6000)), min_size=1, max_size=4),
)
def test_every_range_gives_the_bytes_of_the_slice(size: int, wanted: list[tuple[int, int]]) -> None:
    body = random.Random(size).randbytes(size)
    parts = [body[at : at + PART] for at in range(0, size, PART)]
    header = "bytes=" + ",".join(f"{a}-{a + b}" for a, b in wanted)
    slices = [body[a : a + b + 1] for a, b in wanted if a < size]
    try:
        spans = ranges.read_ranges(header, size)
    except ranges.Unsatisfiable:
        assert not slices
        return
    if spans is not None:
        got = [b"".join(parts[n][x:y] for n, x, y in ranges.parts_of(span, PART)) for span in spans]
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
        except ranges.Unsatisfiable:
            assert not expected


@given(st.text(max_size=60))
def test_no_range_header_breaks_the_reader(text: str) -> None:
    try:
        spans = ranges.read_ranges(text, 1000)
    except ranges.Unsatisfiable:
        return
    assert spans is None or all(0 <= span.first < span.end <= 1000 for span in spans)


@given(st.binary(max_size=80))
def test_no_target_names_anything_outside(raw: bytes) -> None:
    try:
        path = read_target(b"/" + raw).path
    except BadTarget as error:
        assert 400 <= error.status < 500
        return
    segments = path.split("/")
    assert ".." not in segments and "." not in segments and "\\" not in path and path.isprintable()


def test_an_absolute_form_is_taken_for_our_own_hosts_only() -> None:
    assert read_target(b"http://repo.local/a/b?q", frozenset({"repo.local"})).path == "a/b"
    with pytest.raises(BadTarget) as told:
        read_target(b"http://repo.local/a", frozenset())
    assert told.value.status == 421
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
def test_conditions_in_the_order_of_the_standard(headers: dict[str, str], method: str, expected: int) -> None:
    assert conditions.status(method, headers, KNOWN) == expected


def test_if_range_needs_the_very_same_bytes() -> None:
    for value, applies in (
        ('"d1"', True),
        ('W/"d1"', False),
        ('"d2"', False),
        (KNOWN.last_modified, True),
        ("x", False),
    ):
        assert conditions.range_applies({"if-range": value}, KNOWN) is applies
    assert conditions.range_applies({}, KNOWN)


def test_a_body_goes_on_only_with_bytes_of_the_same_tag_though_the_digest_is_the_same() -> None:
    """A body broke off that had begun with another release's bytes, and went on with the right ones."""
    known = conditions.Validators("d1", 0, "t1")
    assert known.etag == '"d1.t1"' and conditions.range_applies({"if-range": '"d1.t1"'}, known)
    assert not conditions.range_applies({"if-range": '"d1.t2"'}, known)
    assert conditions.status("GET", {"if-none-match": '"d1.t2"'}, known) == 304


# Generations


def named(**files: str) -> dict[str, NamedFile]:
    return {name: NamedFile(name, digest) for name, digest in files.items()}


def served(line: Line, digest: str, files: dict[str, NamedFile], at: float, client: str = "c") -> None:
    line.saw(digest, files, at, b"")
    for path in files:
        line.found(digest, path)
    generation = line.serve(client, at)
    assert generation and generation.digest == digest


def test_an_index_is_served_only_once_what_is_new_in_it_is_there() -> None:
    line = Line(1000.0)
    served(line, "g1", named(a="1"), 10.0)
    second = line.saw("g2", named(a="1", b="2"), 20.0, b"")
    assert second.wanted == {"b"} and line.to_look(20.0) is second
    assert line.serve("c", 20.0).digest == "g1" and line.updates_withheld == 1  # type: ignore[union-attr]
    line.missing("g2", 20.0)
    assert line.to_look(100.0) is None and line.to_look(600.0) is second
    line.found("g2", "b")
    assert line.serve("c", 30.0).digest == "g2" and line.known["g1"].state is State.RETIRED  # type: ignore[union-attr]


def test_a_client_gets_files_of_its_own_generation_alone() -> None:
    line = Line(1000.0)
    served(line, "g1", named(a="1", b="1"), 10.0, "old")
    served(line, "g2", named(a="2", c="2"), 20.0, "new")
    assert line.permitted("old", "a", 30.0) == NamedFile("a", "1")
    assert line.permitted("new", "a", 30.0) == NamedFile("a", "2") == line.permitted("stranger", "a", 30.0)
    assert not line.permitted("new", "b", 30.0), "its index does not name it"
    assert not line.permitted("old", "a", 1021.0) and line.outdated("old", 1021.0)
    assert line.permitted("new", "a", 1021.0)


def test_a_roll_back_makes_older_digests_good_again() -> None:
    line = Line(0.0)
    served(line, "g1", named(a="1"), 10.0)
    served(line, "g2", named(a="2"), 20.0)
    assert line.saw("g1", {}, 30.0, b"").state is State.RETIRED
    generation = line.serve("c", 30.0)
    assert generation and generation.digest == "g1" and line.rolled_back == 1
    assert line.permitted("c", "a", 31.0) == NamedFile("a", "1")


def test_a_cache_that_lags_changes_nothing() -> None:
    line = Line(0.0)
    served(line, "g2", named(a="2"), 20.0)
    line.saw("g1", named(a="1"), 10.0, b"")
    generation = line.serve("c", 30.0)
    assert generation and generation.digest == "g2"


def test_generations_and_clients_are_bounded() -> None:
    line = Line(0.0)
    for number in range(50):
        served(line, f"g{number}", named(a=str(number)), float(number), f"c{number}")
        assert len(line.known) <= KEPT
    assert line.known.keys() >= {"g49"}


# Bodies


def pieces(body: bytes, tag: str = "t") -> list[Piece]:
    parts = [body[at : at + PART] for at in range(0, len(body) + 1, PART)]
    return [Piece(part, tag, 5) for part in parts]


@given(st.integers(0, 60_000), st.booleans(), st.randoms(use_true_random=False))
def test_a_body_leaves_in_order_whatever_order_its_parts_come_in(
    size: int, told: bool, rng: random.Random
) -> None:
    body = random.Random(size).randbytes(size)
    assembly = Assembly(PART, hashlib.sha256(body).hexdigest(), size if told else -1)
    order = list(enumerate(pieces(body)))
    rng.shuffle(order)
    out = b""
    for number, piece in order:
        out += b"".join(assembly.take(number, piece))
        assert body.startswith(out) and (assembly.done or len(out) <= max(0, size - 1))
    assert out == body and assembly.done and assembly.size == size


def test_the_end_is_held_until_the_digest_holds() -> None:
    body = bytes(40_500)
    assembly = Assembly(PART, "0" * 64)
    out = b"".join(b"".join(assembly.take(n, piece)) for n, piece in enumerate(pieces(body)[:-1]))
    assert len(out) == 40_000 - HOLD
    with pytest.raises(Broken, match="wrong-digest"):
        assembly.take(40, pieces(body)[-1])


def test_parts_of_two_tags_are_never_put_together() -> None:
    assembly = Assembly(PART)
    assembly.take(0, Piece(bytes(PART), "t1", 5))
    with pytest.raises(Restart) as told:
        assembly.take(1, Piece(bytes(PART), "t2", 5))
    assert told.value.tag == "t2"
    for number in range(1, 30):
        assembly.take(number, Piece(bytes(PART), "t1", 5))
    assert assembly.sent
    with pytest.raises(Broken, match="two-releases"):
        assembly.take(30, Piece(b"", "t2", 5))


@pytest.mark.parametrize(
    "size, lengths", [(2500, [1000, 400]), (1500, [1000, 1000]), (100, [101]), (-1, [1001])]
)
def test_a_size_that_does_not_fit_breaks(size: int, lengths: list[int]) -> None:
    assembly = Assembly(PART, "", size)
    with pytest.raises(Broken):
        for number, length in enumerate(lengths):
            assembly.take(number, Piece(bytes(length), "t", 5))


def test_proofs_are_bounded_and_the_longest_unused_goes() -> None:
    proofs = Proofs(3)
    for number in range(3):
        proofs.put(number, "t", "d", 1)
    assert proofs.get(0, "t")
    proofs.put(9, "t", "d", 1)
    assert proofs.get(0, "t") and not proofs.get(1, "t") and not proofs.get(0, "other")


# Windows, budgets, admission


def test_a_window_grows_with_a_client_that_drains_and_asks_nothing_for_one_that_does_not() -> None:
    window = Window()
    for _ in range(20):
        window.asked()
        window.came(0, 0)
    assert window.size == MOST and not window.may_ask(HIGH)
    window.asked()
    window.came(HIGH, 0)
    assert window.size == MOST // 2
    for _ in range(5):
        window.asked()
        window.failed()
    assert window.size == 1 and window.open == 0 and window.may_ask(0)


def test_a_storm_of_failures_is_repeated_within_the_budget() -> None:
    budget = Budget()
    asked = repeats = 0
    for number in range(2000):
        file = FileBudget()
        for _ in range(3):
            budget.asked(file)
            asked += 1
            while budget.repeat(file, f"c{number % 50}", float(number)):
                repeats += 1
    assert repeats == budget.spent <= 50 + 0.1 * asked + 1 and budget.denied


def test_one_client_can_not_spend_what_others_need() -> None:
    budget = Budget()
    spent = sum(budget.repeat(FileBudget(), "greedy", 0.0) for _ in range(100))
    assert spent == 20 and budget.repeat(FileBudget(), "other", 0.0)
    assert budget.repeat(FileBudget(), "greedy", 1000.0)
    many = Budget(tokens=1e9)
    for number in range(3000):
        many.repeat(FileBudget(), f"c{number}", float(number * 100))
    assert len(many.clients) <= 1001


def test_only_a_files_last_parts_are_hedged() -> None:
    budget, file = Budget(), FileBudget(10)
    assert not budget.hedge(9, 10, 500.0, file, "c", 0.0), "nothing is usual yet"
    budget.came(100.0)
    assert not budget.hedge(7, 10, 500.0, file, "c", 0.0) and not budget.hedge(9, 10, 200.0, file, "c", 0.0)
    assert budget.hedge(9, 10, 500.0, file, "c", 0.0) and not budget.hedge(9, -1, 500.0, file, "c", 0.0)


def test_background_gives_way_when_the_foreground_falls_behind_and_comes_back() -> None:
    way, now = BackgroundLimit(), 0.0
    for _ in range(400):
        now += 10.0
        way.foreground(in_time=False, now_ms=now)
        way.look(0.0, now)
    assert way.limit == FLOOR
    way.open = FLOOR
    assert not way.admits() and way.refused == 1
    for _ in range(3000):
        now += 10.0
        way.foreground(in_time=True, now_ms=now)
        way.look(0.0, now)
    assert way.limit == CEILING and way.admits()
    for _ in range(20):
        now += 200.0
        way.look(100.0, now)
    assert way.limit == FLOOR, "the loop's lag counts too"
    assert BackgroundLimit(on=False, open=10**6).admits()


def test_doors_are_bounded_in_all_and_by_address() -> None:
    doors = ConnectionLimits(3, 2)
    assert [doors.enter("a"), doors.enter("a"), doors.enter("a"), doors.enter("b"), doors.enter("c")] == [
        "", "", "too-many-of-one-address", "", "full",
    ]  # fmt: skip
    doors.leave("a")
    assert doors.enter("c") == "" and doors.by_address == {"a": 1, "b": 1, "c": 1}
