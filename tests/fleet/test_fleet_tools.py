"""Schedule files, their player and shrinker, and the `members` command over several gateways."""

import asyncio
import threading
from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from hitchtiller.cli.main import main
from hitchtiller.cli.members import exit_code, find_disagreements, read_answer
from standins.fabric import Faults
from standins.fleet import Fleet
from standins.play import SchedulePlayer, play, shrink
from standins.schedule import (
    DO,
    InvalidFileError,
    Schedule,
    Step,
    random_schedule,
    read_schedule,
    with_steps,
    write_schedule,
)


@given(st.integers(0, 10_000), st.integers(2, 7), st.integers(0, 30))
def test_a_random_schedule_is_valid_and_survives_a_round_trip(seed: int, size: int, count: int) -> None:
    schedule = random_schedule(seed, size, count)
    assert read_schedule(write_schedule(schedule), "drawn.hcl") == schedule
    assert len(schedule.steps) == count


def test_random_schedules_contain_every_kind_of_step() -> None:
    assert {step.do for seed in range(40) for step in random_schedule(seed).steps} == set(DO)


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
def test_an_invalid_schedule_is_rejected_with_its_line(text: str, line: int, wanted: str) -> None:
    with pytest.raises(InvalidFileError) as error:
        read_schedule(text, "bad.hcl")
    assert f"bad.hcl:{line}:" in str(error.value) and wanted in str(error.value)


def test_a_failing_schedule_is_shrunk_to_the_steps_it_needs() -> None:
    schedule = random_schedule(3, 4, 24)
    needed_steps = [schedule.steps[5], schedule.steps[17]]

    def fails(one: Schedule) -> bool:
        places = [one.steps.index(step) for step in needed_steps if step in one.steps]
        return len(places) == 2 and places == sorted(places)

    smaller, plays = shrink(schedule, fails, most=200)
    assert smaller.steps == needed_steps and plays < 60


class KillingPlayer(SchedulePlayer):
    """Kills a process without telling the fleet, so that it counts as ended by itself."""

    async def take(self, step: Step) -> bool:
        child = self.fleet.running[0].child
        assert child
        child.kill()
        await child.wait()
        return True


def test_a_process_that_ends_by_itself_fails_the_schedule() -> None:
    found = asyncio.run(KillingPlayer(with_steps(random_schedule(1, 2, 0), [Step("heal")])).play())
    assert any("n0 ended by itself" in text for text in found.broken)


def test_a_missing_schedule_file_is_bad_input() -> None:
    found = CliRunner().invoke(main, ["fleet", "play", "/nowhere.hcl"])
    assert found.exit_code == 2 and "/nowhere.hcl" in found.output


@pytest.mark.parametrize("seed", [2, 7])
def test_schedules_that_failed_before_pass(seed: int, tmp_path: Path) -> None:
    """Found by the soak run: a refutation was never sent again after all messages with it were lost."""
    found = play(random_schedule(seed))
    assert found.broken == [], found.history
    assert found.counts["served"] > 100


MEMBERS_ANSWER = "members\n0|ALIVE|17|-|0\n1|{}|18|2.5|0\nstanding|WHOLE\n."


def test_differing_views_are_marked() -> None:
    equal_views = [
        read_answer("a:1", MEMBERS_ANSWER.format("ALIVE")),
        read_answer("b:1", MEMBERS_ANSWER.format("ALIVE")),
    ]
    assert find_disagreements(equal_views) == set() and exit_code(equal_views) == 0
    different_views = [*equal_views, read_answer("c:1", MEMBERS_ANSWER.format("DEAD"))]
    assert find_disagreements(different_views) == {1} and exit_code(different_views) == 1
    silent = [read_answer("d:1", "-ERR unknown call")]
    assert exit_code(silent) == 2 and "is membership on" in silent[0].problem
    assert exit_code([*equal_views, *silent]) == 1


def test_the_members_command_asks_several_processes() -> None:
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

    async def scenario(call_members: Callable[..., tuple[int, str]]) -> None:
        loop = asyncio.get_running_loop()
        try:
            await fleet.start()
            await fleet.until({n: {"ALIVE"} for n in range(3)})
            exit_code, text = await loop.run_in_executor(None, call_members)
            assert exit_code == 0 and "0 of which views differ" in text
            fleet.fabric.faults = Faults(cut=lambda a, b: 0 in (a, b))
            await fleet.until({0: {"DEAD"}}, among=[1, 2])
            exit_code, text = await loop.run_in_executor(None, call_members, "--json")
            assert exit_code == 1 and '"differ":[0' in text
        finally:
            await fleet.finish()

    asyncio.run(scenario(call))
