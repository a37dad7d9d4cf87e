"""Schedules as files, their player and shrinker, and the look at several gateways' views."""

import asyncio
import threading
from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from hitchtiller.cli.main import main
from hitchtiller.cli.members import code, disagree, read_answer
from standins.fabric import Faults
from standins.fleet import Fleet
from standins.play import SchedulePlayer, play, shrink
from standins.schedule import (
    DO,
    BadFile,
    Schedule,
    Step,
    draw,
    read_schedule,
    with_steps,
    write_schedule,
)


@given(st.integers(0, 10_000), st.integers(2, 7), st.integers(0, 30))
def test_a_drawn_schedule_is_valid_and_reads_back_to_itself(seed: int, size: int, count: int) -> None:
    schedule = draw(seed, size, count)
    assert read_schedule(write_schedule(schedule), "drawn.hcl") == schedule
    assert len(schedule.steps) == count


def test_draws_hold_every_kind_of_step() -> None:
    assert {step.do for seed in range(40) for step in draw(seed).steps} == set(DO)


@pytest.mark.parametrize(
    ("text", "line", "wanted"),
    [
        ('seed = 1\nstep "a" {\n  do = "kil"\n}\n', 3, "kil"),
        ('seed = 1\nsize = 3\nstep "a" {\n  do = "kill"\n  number = 3\n}\n', 5, "from 0 to 2"),
        ('seed = 1\nstep "a" {\n  do = "cut"\n}\n', 2, "side"),
        ('seed = 1\nstep "a" {\n  do = "wire"\n  number = 0\n}\n', 2, "way"),
        ("size = 3\n", 1, "seed"),
    ],
)
def test_a_schedule_that_cannot_be_is_refused_with_its_line(text: str, line: int, wanted: str) -> None:
    with pytest.raises(BadFile) as caught:
        read_schedule(text, "bad.hcl")
    assert f"bad.hcl:{line}:" in str(caught.value) and wanted in str(caught.value)


def test_a_failing_schedule_is_made_smaller_to_what_it_needs() -> None:
    schedule = draw(3, 4, 24)
    needed = [schedule.steps[5], schedule.steps[17]]

    def fails(one: Schedule) -> bool:
        places = [one.steps.index(step) for step in needed if step in one.steps]
        return len(places) == 2 and places == sorted(places)

    smaller, plays = shrink(schedule, fails, most=200)
    assert smaller.steps == needed and plays < 60


class Saboteur(SchedulePlayer):
    """Kills a process without a word to the fleet."""

    async def take(self, step: Step) -> bool:
        child = self.fleet.running[0].child
        assert child
        child.kill()
        await child.wait()
        return True


def test_a_process_that_ends_by_itself_breaks_any_schedule() -> None:
    found = asyncio.run(Saboteur(with_steps(draw(1, 2, 0), [Step("heal")])).play())
    assert any("n0 ended by itself" in text for text in found.broken)


def test_a_schedule_that_is_not_there_is_bad_input() -> None:
    found = CliRunner().invoke(main, ["fleet", "play", "/nowhere.hcl"])
    assert found.exit_code == 2 and "/nowhere.hcl" in found.output


@pytest.mark.parametrize("seed", [2, 7])
def test_schedules_that_once_failed_hold(seed: int, tmp_path: Path) -> None:
    """A refutation whose every word was lost was never told again: found by the soak."""
    found = play(draw(seed))
    assert found.broken == [], found.history
    assert found.counts["served"] > 100


ANSWER = "members\n0|ALIVE|17|-|0\n1|{}|18|2.5|0\nstanding|WHOLE\n."


def test_where_views_differ_is_marked() -> None:
    alike = [read_answer("a:1", ANSWER.format("ALIVE")), read_answer("b:1", ANSWER.format("ALIVE"))]
    assert disagree(alike) == set() and code(alike) == 0
    apart = [*alike, read_answer("c:1", ANSWER.format("DEAD"))]
    assert disagree(apart) == {1} and code(apart) == 1
    silent = [read_answer("d:1", "-ERR unknown call")]
    assert code(silent) == 2 and "is membership on" in silent[0].problem
    assert code([*alike, *silent]) == 1


def test_members_asks_several_processes() -> None:
    fleet, runner = Fleet(3, 31), CliRunner()

    def call(*options: str) -> tuple[int, str]:
        addresses = [f"127.0.0.1:{fleet.running[n].control}" for n in range(3)]
        found: list[tuple[int, str]] = []

        def work() -> None:
            got = runner.invoke(main, ["members", *addresses, *options])
            found.append((got.exit_code, got.output))

        thread = threading.Thread(target=work)
        thread.start()
        thread.join()
        return found[0]

    async def scenario(asked: Callable[..., tuple[int, str]]) -> None:
        loop = asyncio.get_running_loop()
        try:
            await fleet.start()
            await fleet.until({n: {"ALIVE"} for n in range(3)})
            exit_code, text = await loop.run_in_executor(None, asked)
            assert exit_code == 0 and "0 of which views differ" in text
            fleet.fabric.faults = Faults(cut=lambda a, b: 0 in (a, b))
            await fleet.until({0: {"DEAD"}}, among=[1, 2])
            exit_code, text = await loop.run_in_executor(None, asked, "--json")
            assert exit_code == 1 and '"differ":[0' in text
        finally:
            await fleet.finish()

    asyncio.run(scenario(call))
