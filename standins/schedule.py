"""Schedules of faults: HCL files that list the faults of a fleet and their times, and random schedules.

    seed = 7
    size = 4
    step "01" {
      do    = "cut"
      after = 6          # membership periods since the previous step
      side  = "0,1"      # the gateways that are cut from all others
    }

A step that can't be applied (such as a kill of a gateway that does not run) is skipped and recorded. So every
subset of a schedule's steps is a schedule too, which reducing a failing schedule needs.
"""

from random import Random
from typing import Annotated, Literal, get_args

from msgspec import Meta, Struct
from msgspec.structs import asdict, replace

from hitchtiller.operator.read import InvalidFileError, Problem, Setting, read_model

StepKind = Literal[
    "kill", "start", "stop", "go", "end", "upgrade", "cut", "oneway", "lose", "late", "alter", "heal", "wire",
    "cold", "drain", "back", "purge",
]  # fmt: skip
Fault = Literal["", "refuse", "reset", "silent", "half", "slow"]
Target = Literal["", "bus", "s-00000000", "s-00000001", "s-00000002", "s-00000003", "s-00000004", "all"]
DO: tuple[StepKind, ...] = get_args(StepKind)
FAULTS: tuple[Fault, ...] = get_args(Fault)[1:]
TARGETS: tuple[Target, ...] = get_args(Target)[1:]
GATEWAY_STEPS = ("kill", "start", "stop", "go", "end", "upgrade", "wire")
SHARE_STEPS = ("lose", "late", "alter")
CACHE_STEPS = ("cold", "drain", "back")
CACHE_COUNT = 3


class Step(Struct, frozen=True, forbid_unknown_fields=True):
    """One fault, or its end."""

    do: Annotated[StepKind, Meta(description="one of " + ", ".join(DO))]
    after: Annotated[float, Meta(ge=0, le=1000, description="periods from 0 to 1000")] = 0.0
    number: Annotated[int, Meta(ge=-1, le=999, description="a gateway's or a cache's number")] = -1
    side: Annotated[str, Meta(description='gateways cut from all others, such as "0,1"')] = ""
    share: Annotated[float, Meta(ge=0, le=1, description="a share from 0 to 1")] = 0.0
    way: Annotated[Fault, Meta(description="one of " + ", ".join(FAULTS))] = ""
    target: Annotated[Target, Meta(description="one of " + ", ".join(TARGETS))] = ""


class Schedule(Struct, frozen=True, forbid_unknown_fields=True):
    """The faults of one fleet, by step name, and the load on it."""

    seed: Annotated[int, Meta(ge=0, description="a whole number from 0")]
    size: Annotated[int, Meta(ge=2, le=40, description="gateways, from 2 to 40")] = 4
    period_ms: Annotated[float, Meta(ge=50, le=5000, description="a time from 50 to 5000")] = 200.0
    load: Annotated[float, Meta(ge=0.1, le=200, description="requests a second and gateway")] = 15.0
    step: dict[str, Step] = {}

    @property
    def steps(self) -> list[Step]:
        """Return the steps in the order of their names."""
        return [self.step[name] for name in sorted(self.step)]


def side(step: Step) -> set[int]:
    """Return the gateways of a step's side."""
    return {int(word) for word in step.side.split(",") if word.strip().isdecimal()}


def read_schedule(text: str, name: str) -> Schedule:
    """Read and check a schedule; raise InvalidFileError with each problem, its line and what to write."""
    schedule = read_model(Schedule, text, name, lambda values, settings: _check(values, settings, name))
    return schedule


def _check(values: dict[str, object], settings: tuple[Setting, ...], name: str) -> list[Problem]:
    problems = []
    size = int(str(values.get("size", 4)))
    for block in settings:
        if block.name != "step" or block.children is None:
            continue
        values_by_name = {each.name: each.value for each in block.children}
        lines = {each.name: each.line for each in block.children}
        do, number = values_by_name.get("do"), values_by_name.get("number", -1)
        number_limit = size if do in GATEWAY_STEPS else CACHE_COUNT if do in CACHE_STEPS else None
        if number_limit is not None and not 0 <= int(number) < number_limit:
            what = f"{do!r} with number = {number}"
            text = f"write a number from 0 to {number_limit - 1}"
            problems.append(Problem(name, lines.get("number", block.line), what, text))
        side_numbers = str(values_by_name.get("side", "")).split(",")
        if do in ("cut", "oneway") and not all(p.strip().isdecimal() and int(p) < size for p in side_numbers):
            text = f'write numbers from 0 to {size - 1}, such as side = "0,1"'
            problems.append(Problem(name, lines.get("side", block.line), f"{do!r} without a side", text))
        if do == "wire" and not (values_by_name.get("way") and values_by_name.get("target")):
            text = 'write way = "silent" and target = "bus"'
            problems.append(Problem(name, block.line, "'wire' without a way and a target", text))
    return problems


def write_schedule(schedule: Schedule) -> str:
    """Return a schedule as the text of a file that reads back as the same schedule."""
    lines = [f"{key} = {value}" for key, value in asdict(schedule).items() if key != "step"]
    defaults = asdict(Step("heal"))
    for place, step in enumerate(schedule.steps, 1):
        lines += ["", f'step "{place:03d}" {{', f'  do = "{step.do}"']
        for key, value in asdict(step).items():
            if key != "do" and value != defaults[key]:
                lines.append(f"  {key} = " + (f'"{value}"' if isinstance(value, str) else f"{value}"))
        lines.append("}")
    return "\n".join(lines) + "\n"


def with_steps(schedule: Schedule, steps: list[Step]) -> Schedule:
    """Return the schedule with other steps, for the same fleet and load."""
    return replace(schedule, step={f"{place:03d}": step for place, step in enumerate(steps, 1)})


def random_schedule(seed: int, size: int = 4, count: int = 12) -> Schedule:
    """Return a random schedule with faults of every kind; the same seed gives the same one."""
    rng, steps = Random(f"schedule {seed}"), list[Step]()
    for _ in range(count):
        do = rng.choice(DO)
        step = Step(do, round(rng.uniform(1.0, 12.0), 1))
        if do in GATEWAY_STEPS:
            step = replace(step, number=rng.randrange(size))
        if do in CACHE_STEPS:
            step = replace(step, number=rng.randrange(CACHE_COUNT))
        if do in ("cut", "oneway"):
            cut = rng.sample(range(size), rng.randint(1, size - 1))
            step = replace(step, side=",".join(map(str, sorted(cut))))
        if do in SHARE_STEPS:
            step = replace(step, share=round(rng.uniform(0.1, 0.5), 2))
        if do == "wire":
            step = replace(step, way=rng.choice(FAULTS), target=rng.choice(TARGETS))
        steps.append(step)
    return with_steps(Schedule(seed, size), steps)


__all__ = [
    "InvalidFileError",
    "Schedule",
    "Step",
    "random_schedule",
    "read_schedule",
    "side",
    "with_steps",
    "write_schedule",
]
