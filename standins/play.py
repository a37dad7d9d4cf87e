"""Plays a schedule of faults on real processes, checks the run, and reduces a failing schedule.

After the last step all faults end, gateways that do not run are started, and within MAX_CONVERGENCE_PERIODS
all gateways must hold one view, with all alive. Then these are checked: a running gateway gives every request
one answer, bodies and their ages are right, effects run once, drains and cold starts hold over all gateways
together, no process ended by itself, no log has a traceback, and the views have converged. The history of the
run is kept as rows with their times since its start.
"""

import asyncio
import signal
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.fabric import Faults
from standins.fleet import BUS, Fleet
from standins.load import Load
from standins.relay import LinkMode
from standins.schedule import Schedule, Step, side, with_steps
from standins.truth import now_ms

MAX_CONVERGENCE_PERIODS = 150  # periods from the end of all faults in which the views must converge
PURGE_SETTLE_MS = (
    1_500.0  # from a purge until a bus may be cut: a purge counts as announced once the buses have it
)
PURGE_DELAY_MS = 100.0  # ms until the buses announce a purge


def cut_both_ways(cut_side: set[int]) -> Callable[[int, int], bool]:
    """Return a filter that cuts all datagrams between one side and all others."""
    return lambda a, b: (a in cut_side) != (b in cut_side)


def cut_from(cut_side: set[int]) -> Callable[[int, int], bool]:
    """Return a filter that cuts the datagrams from one side to the others, but not those to it."""
    return lambda a, b: a in cut_side and b not in cut_side


@dataclass(slots=True)
class Outcome:
    """The results of a schedule."""

    schedule: Schedule
    broken: list[str] = field(default_factory=list)
    history: list[tuple[float, str]] = field(default_factory=list)  # ms since the start, event
    counts: dict[str, int] = field(default_factory=dict)
    converged_ms: float = 0.0  # from the end of all faults until all views agreed
    cold: float = 0.0  # the largest used share of a cold cache's bound


class SchedulePlayer:
    """Plays one schedule on a fleet of its own; `on_event` is called with each event."""

    def __init__(self, schedule: Schedule, on_event: Callable[[str], None] = lambda text: None) -> None:
        """Prepare; nothing is started yet."""
        self.schedule, self.on_event = schedule, on_event
        self.fleet = Fleet(schedule.size, schedule.seed, schedule.period_ms, weight=4.0, flow_kb_per_s=300.0)
        self.outcome, self.started_ms = Outcome(schedule), now_ms()
        self.stopped: set[int] = set()
        self.purged_ms = 0.0

    async def play(self) -> Outcome:
        """Play the whole schedule and return its results."""
        fleet, load = self.fleet, Load(self.fleet, self.schedule.load)
        try:
            await fleet.start()
            await fleet.until({n: {"ALIVE"} for n in range(fleet.size)})
            load.start()
            for step in self.schedule.steps:
                await asyncio.sleep(step.after * fleet.period_ms / 1000.0)
                is_applied = await self.take(step)
                self.record(f"{step.do} {step.number if step.number >= 0 else step.side} {step.target}"
                          + ("" if is_applied else ", passed over"))  # fmt: skip
            await self.end()
            await load.until(5)
            await load.stop()
        except AssertionError as error:
            self.outcome.broken.append(str(error)[:500])
        except OSError as error:  # TimeoutError is one too
            self.outcome.broken.append(f"a gateway does not answer or does not start: {error!r}")
        finally:
            load.is_running = False
            await fleet.finish()
        found = self.outcome
        found.broken += fleet.faults + fleet.verdicts.wrong + fleet.watch.broken
        found.broken += [f"effect {key} ran twice" for key in fleet.truth.repeated_effects]
        found.counts, found.cold = dict(fleet.verdicts.counts), fleet.watch.cold.most
        return found

    def record(self, text: str) -> None:
        """Add a row to the history."""
        self.outcome.history.append((round(now_ms() - self.started_ms, 1), text.strip()))
        self.on_event(text.strip())

    async def end(self) -> None:
        """End all faults, start the gateways that do not run, and wait until all views agree."""
        fleet = self.fleet
        fleet.fabric.faults = Faults()
        await fleet.wire(LinkMode.PASS, list(range(fleet.size)))
        for number in sorted(self.stopped):
            fleet.send_signal(number, signal.SIGCONT)
        self.stopped.clear()
        for number in range(fleet.size):
            if number not in fleet.running:
                await fleet.launch(number)
        self.record("all faults ended")
        patience_s = MAX_CONVERGENCE_PERIODS * fleet.period_ms / 1000.0
        self.outcome.converged_ms = 1000.0 * await fleet.until(
            {n: {"ALIVE"} for n in range(fleet.size)}, patience_s=patience_s
        )
        self.record("one view")

    async def take(self, step: Step) -> bool:
        """Apply one step; return False if it can't be applied now."""
        fleet, number = self.fleet, step.number
        is_running = number in fleet.running and number not in self.stopped
        match step.do:
            case "kill" | "end" if is_running:
                await fleet.stop_process(number, signal.SIGKILL if step.do == "kill" else signal.SIGTERM)
            case "start" if number not in fleet.running:
                await fleet.launch(number)
            case "stop" if is_running:
                fleet.send_signal(number, signal.SIGSTOP)
                self.stopped.add(number)
            case "go" if number in self.stopped:
                fleet.send_signal(number, signal.SIGCONT)
                self.stopped.discard(number)
            case "upgrade" if is_running and self.receives_bus(number):
                await fleet.upgrade(number)
            case "cut":
                fleet.fabric.faults.cut = cut_both_ways(side(step))
            case "oneway":
                fleet.fabric.faults.cut = cut_from(side(step))
            case "lose":
                fleet.fabric.faults.loss_share = step.share
            case "late":
                fleet.fabric.faults.repeat = step.share
                fleet.fabric.faults.delay_ms = (0.0, 1000.0 * step.share)
            case "alter":
                fleet.fabric.faults.alter = step.share
            case "heal":
                fleet.fabric.faults = Faults()
                await fleet.wire(LinkMode.PASS, list(range(fleet.size)))
            case "wire" if step.target == BUS and now_ms() - self.purged_ms < PURGE_SETTLE_MS:
                return False
            case "wire":
                targets: list[str] | None = None if step.target == "all" else [step.target]
                if targets is None and now_ms() - self.purged_ms < PURGE_SETTLE_MS:
                    return False
                await fleet.wire(LinkMode(step.way), [number], targets)
            case "cold":
                await fleet.restart_cache(number)
            case "drain" | "back":
                fleet.announce(number, health="Terminating" if step.do == "drain" else "Ready")
            case "purge" if all(self.receives_bus(n) for n in range(fleet.size)):
                self.purged_ms = now_ms() + PURGE_DELAY_MS
                fleet.truth.purge(None, fleet.rng.randrange(fleet.truth.groups), self.purged_ms)
            case _:
                return False
        return True

    def receives_bus(self, number: int) -> bool:
        """Return whether a gateway runs and receives the events of its bus."""
        return self.fleet.relays[number, BUS].mode is LinkMode.PASS and number not in self.stopped


def play(schedule: Schedule, on_event: Callable[[str], None] = lambda text: None) -> Outcome:
    """Play a schedule and return its results."""
    return asyncio.run(SchedulePlayer(schedule, on_event).play())


def shrink(schedule: Schedule, fails: Callable[[Schedule], bool], most: int = 40) -> tuple[Schedule, int]:
    """Reduce a failing schedule by leaving out halves, quarters and so on of its steps while it still fails.

    Returns the reduced schedule and the number of plays, at most `most`.
    """
    steps, size, plays = schedule.steps, max(1, len(schedule.steps) // 2), 0
    while steps and plays < most:
        for place in range(0, len(steps), size):
            fewer = steps[:place] + steps[place + size :]
            plays += 1
            if fails(with_steps(schedule, fewer)):
                steps = fewer
                break
            if plays >= most:
                break
        else:
            if size == 1:
                break
            size = max(1, size // 2)
        size = max(1, min(size, len(steps) or 1))
    return with_steps(schedule, steps), plays
