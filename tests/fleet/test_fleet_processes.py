"""Several processes of the program with network faults between them, judged by the views of those that run.

Each test starts its fleet, waits for events (a state in a view, an answered request), and ends with the same
checks: each request gets one answer, no process has ended by itself, and no log holds a traceback. Membership
periods are short.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable

import pytest

from standins.fabric import Faults
from standins.fleet import Fleet, run_scenario

ALIVE, DEAD, LEFT = {"ALIVE"}, {"DEAD"}, {"LEFT"}


def run_fleet(
    size: int,
    seed: int,
    scenario: Callable[[Fleet], Awaitable[None]],
    without_membership: tuple[int, ...] = (),
) -> Fleet:
    """Run a scenario on a new fleet, with the fleet's checks at the end."""
    return run_scenario(Fleet(size, seed, old=without_membership), scenario)


def test_half_the_fleet_killed_at_once() -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.gather(*(fleet.stop_process(n) for n in (0, 2, 4)))
        await fleet.until({n: DEAD for n in (0, 2, 4)} | {n: ALIVE for n in (1, 3, 5)})
        await fleet.launch(2)
        await fleet.until({2: ALIVE, 0: DEAD})

    run_fleet(6, 1, scenario)


def test_a_partition_in_two_and_its_end() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.fabric.faults = Faults(cut=lambda a, b: (a < 2) != (b < 2))
        await fleet.until({0: DEAD, 1: DEAD}, among=[2, 3, 4])
        await fleet.until({2: DEAD, 3: DEAD, 4: DEAD}, among=[0, 1])
        await fleet.ask_all()
        standing = (await fleet.running[0].call("members"))[-2]
        assert standing == "standing|CUT"
        fleet.fabric.faults = Faults()
        await fleet.until({n: ALIVE for n in range(5)})

    run_fleet(5, 2, scenario)


def test_a_partition_in_three() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.fabric.faults = Faults(cut=lambda a, b: a // 2 != b // 2)
        for side in ([0, 1], [2, 3], [4, 5]):
            others = set(range(6)) - set(side)
            await fleet.until({n: DEAD for n in others} | {n: ALIVE for n in side}, among=side)
        fleet.fabric.faults = Faults()
        await fleet.until({n: ALIVE for n in range(6)})

    run_fleet(6, 3, scenario)


def test_a_gateway_cut_off_only_from_its_peers_serves_on() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.fabric.faults = Faults(cut=lambda a, b: 0 in (a, b))
        await fleet.until({0: DEAD}, among=[1, 2, 3])
        await fleet.until({n: DEAD for n in (1, 2, 3)}, among=[0])
        await fleet.ask_all()  # gateway 0 still serves
        fleet.fabric.faults = Faults()
        await fleet.until({n: ALIVE for n in range(4)})

    run_fleet(4, 4, scenario)


def test_a_one_way_cut_makes_no_member_dead() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.fabric.faults = Faults(cut=lambda a, b: (a, b) == (1, 0))
        passed = len(fleet.fabric.history)
        while len(fleet.fabric.history) < passed + 400:  # some 25 periods of four gateways
            await asyncio.sleep(0.05)
        assert fleet.declared_dead() == set()

    run_fleet(4, 5, scenario)


@pytest.mark.parametrize(
    "faults",
    [
        Faults(loss_share=0.3),
        Faults(repeat=0.5, delay_ms=(0.0, 200.0)),
        Faults(alter=0.3),
    ],
    ids=["lost", "repeated and late", "altered"],
)
def test_a_bad_network_makes_no_live_member_dead_and_a_death_is_still_detected(faults: Faults) -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.fabric.faults = faults
        passed = len(fleet.fabric.history)
        while len(fleet.fabric.history) < passed + 400:
            await asyncio.sleep(0.05)
        assert fleet.declared_dead() == set()
        await fleet.stop_process(3)
        await fleet.until({3: DEAD})
        assert fleet.declared_dead() == {3}

    run_fleet(4, 6, scenario)


def test_a_stopped_process_resumes_and_is_alive_again() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.send_signal(1, signal.SIGSTOP)
        await fleet.until({1: DEAD}, among=[0, 2, 3])
        fleet.send_signal(1, signal.SIGCONT)
        await fleet.until({n: ALIVE for n in range(4)})
        assert fleet.declared_dead() == {1}  # it accuses no other member for the time in which it did not run

    run_fleet(4, 7, scenario)


def test_a_planned_stop_is_announced_and_a_rolling_restart_ends_with_all_alive() -> None:
    async def scenario(fleet: Fleet) -> None:
        for number in range(4):
            assert await fleet.stop_process(number, signal.SIGTERM) == 0
            await fleet.until({number: LEFT | DEAD})
            await fleet.launch(number)
            await fleet.until({number: ALIVE})
        await fleet.until({n: ALIVE for n in range(4)})

    run_fleet(4, 8, scenario)


def test_a_gateway_started_while_cut_off_joins_when_the_cut_ends() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.stop_process(2)
        await fleet.until({2: DEAD})
        fleet.fabric.faults = Faults(cut=lambda a, b: 2 in (a, b))
        await fleet.launch(2)
        await fleet.ask_all()
        fleet.fabric.faults = Faults()
        await fleet.until({n: ALIVE for n in range(4)})

    run_fleet(4, 9, scenario)


def test_gateways_without_membership_or_of_another_fleet_do_no_harm() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.stop_process(2)
        await fleet.until({2: DEAD}, among=[0, 1])
        await fleet.launch(2, fleet="another")
        before = (await fleet.running[0].call("members"))[3]
        assert "|DEAD|" in before
        figures = await fleet.running[0].call("show-stat")
        assert any("members_words_dropped" in line for line in figures)
        assert (await fleet.running[0].members())[2] == "DEAD"
        assert (await fleet.running[0].members())[3] in {"UNHEARD", "SUSPECT", "DEAD"}

    run_fleet(4, 10, scenario, without_membership=(3,))


def test_operators_can_make_a_gateway_forget_a_member() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.stop_process(1)
        await fleet.until({1: DEAD})
        assert "forgotten" in (await fleet.running[0].call("forget-member 1"))[0]
        assert "is no other member" in (await fleet.running[0].call("forget-member 99"))[0]

    run_fleet(3, 11, scenario)
