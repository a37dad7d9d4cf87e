"""Ids of requests that may have run."""

from conftest import CLASSES

from hitchtiller.routing.request_ids import MAX_IDS, RequestIds


def test_only_classes_that_may_run_once_are_remembered() -> None:
    ids = RequestIds(CLASSES)
    for number, name in enumerate(CLASSES):
        ids.begin(name, f"{number:016x}")
    assert [name for number, name in enumerate(CLASSES) if ids.may_have_run(f"{number:016X}")] == ["once"]


def test_an_id_is_forgotten_only_once_all_its_attempts_are_proven_not_to_have_run() -> None:
    ids = RequestIds(CLASSES)
    ids.begin("once", "a" * 16)
    ids.begin("once", "A" * 16)
    ids.never_ran("a" * 16)
    assert ids.may_have_run("a" * 16)
    ids.never_ran("a" * 16)
    assert not ids.may_have_run("a" * 16) and not ids.attempts


def test_the_record_of_ids_is_bounded_and_drops_the_oldest() -> None:
    ids = RequestIds(CLASSES)
    for number in range(MAX_IDS + 100):
        ids.begin("once", f"{number:016x}")
    assert len(ids.attempts) == MAX_IDS
    assert not ids.may_have_run(f"{99:016x}") and ids.may_have_run(f"{100:016x}")
