"""Several processes with faults towards servers and the bus, restarts during faults, and cold caches.

Each test makes the checks of `test_fleet_processes.py`, and checks what the servers were asked: drains and
cold starts hold over all gateways together, and each effect is executed once.
"""

import asyncio
import random
import signal

from standins.client import StandInClient
from standins.fabric import Faults
from standins.fleet import BUS, Fleet, run_scenario, server_name
from standins.load import Load
from standins.relay import LinkMode

ALIVE, DEAD = {"ALIVE"}, {"DEAD"}
FIRST_SLOW_OBJECT = 1 << 32  # from this number on, fills of objects are slow


async def wait_for_connectivity(fleet: Fleet, number: int, wanted: str, timeout_s: float = 20.0) -> None:
    """Wait until a gateway reports this connectivity state (`standing`)."""
    async with asyncio.timeout(timeout_s):
        while (await fleet.running[number].call("members"))[-2] != f"standing|{wanted}":
            await asyncio.sleep(0.05)


def test_a_gateway_cut_off_only_from_the_bus_stays_a_member_and_serves() -> None:
    async def scenario(fleet: Fleet) -> None:
        load = Load(fleet, 20.0)
        load.start()
        await fleet.wire(LinkMode.SILENT, [0], [BUS])
        ended = len([line for line in fleet.running[0].lines if "end bus" in line])
        while len([line for line in fleet.running[0].lines if "end bus" in line]) < ended + 2:
            await asyncio.sleep(0.05)  # until it has closed the silent connection to the bus twice
        fleet.announce(1, health="Terminating")  # gateway 0 can't receive this
        await load.until(30)
        assert await fleet.running[1].members() == {n: "ALIVE" for n in range(4)}
        assert (await fleet.running[0].call("members"))[-2] == "standing|WHOLE"
        await fleet.wire(LinkMode.PASS, [0], [BUS])
        told = fleet.watch.reached.get((0, server_name(1)), 0)
        await load.until(60)
        await load.stop()
        assert load.served[0] > 50
        assert fleet.watch.reached.get((0, server_name(1)), 0) - told < 30  # it has received the drain since

    run_scenario(Fleet(4, 21), scenario)


def test_an_isolated_gateway_is_not_ready_and_recovers() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.fabric.faults = Faults(cut=lambda a, b: 0 in (a, b))
        await fleet.wire(LinkMode.SILENT, [0])
        await fleet.until({0: DEAD}, among=[1, 2])
        await wait_for_connectivity(fleet, 0, "DEAF")
        assert (await fleet.running[0].call("ready"))[0].startswith("-ERR neither gateways")
        fleet.fabric.faults = Faults()
        await fleet.wire(LinkMode.PASS, [0])
        await fleet.until({n: ALIVE for n in range(3)})
        await wait_for_connectivity(fleet, 0, "WHOLE")
        assert await fleet.running[0].call("ready") == ["+OK ready"]

    run_scenario(Fleet(3, 22), scenario)


def test_a_flapping_member_is_alive_again_each_time_and_no_other_is_declared_dead() -> None:
    async def scenario(fleet: Fleet) -> None:
        load = Load(fleet, 15.0)
        load.start()
        for _ in range(3):
            fleet.fabric.faults = Faults(cut=lambda a, b: 2 in (a, b))
            await fleet.until({2: DEAD}, among=[0, 1, 3])
            fleet.fabric.faults = Faults()
            await fleet.until({n: ALIVE for n in range(4)})
        await load.stop()
        assert fleet.declared_dead(among=[0, 1, 3]) == {2}

    run_scenario(Fleet(4, 23), scenario)


def test_an_upgrade_never_makes_its_member_dead() -> None:
    async def scenario(fleet: Fleet) -> None:
        load = Load(fleet, 15.0)
        load.start()
        for number in range(3):
            await fleet.upgrade(number)
            await fleet.until({n: ALIVE for n in range(3)})
        await load.until(20)
        await load.stop()
        assert fleet.declared_dead() == set()

    run_scenario(Fleet(3, 24), scenario)


def test_an_upgrade_during_a_partition() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.fabric.faults = Faults(cut=lambda a, b: (a < 2) != (b < 2))
        await fleet.until({0: DEAD, 1: DEAD}, among=[2, 3])
        await fleet.upgrade(0)
        fleet.fabric.faults = Faults()
        await fleet.until({n: ALIVE for n in range(4)})

    run_scenario(Fleet(4, 25), scenario)


def test_both_sides_of_a_partition_together_respect_a_cold_caches_limit() -> None:
    async def scenario(fleet: Fleet) -> None:
        load = Load(fleet, 50.0)
        load.start()
        fleet.fabric.faults = Faults(cut=lambda a, b: (a < 3) != (b < 3))
        await fleet.until({n: DEAD for n in (3, 4, 5)}, among=[0, 1, 2])
        await fleet.until({n: DEAD for n in (0, 1, 2)}, among=[3, 4, 5])
        await fleet.restart_cache(0)
        await load.until(150)
        fleet.fabric.faults = Faults()
        await fleet.until({n: ALIVE for n in range(6)})
        await load.stop()

    fleet = run_scenario(Fleet(6, 26, weight=4.0, flow_kb_per_s=300.0), scenario)
    assert 0.05 < fleet.watch.cold.most <= 1.0, "the cold cache was used, and not overloaded"


def test_a_cache_that_refuses_a_single_gateway() -> None:
    async def scenario(fleet: Fleet) -> None:
        load = Load(fleet, 20.0)
        load.start()
        await fleet.wire(LinkMode.REFUSE, [1], [server_name(0)])
        await load.until(40)
        await fleet.wire(LinkMode.PASS, [1], [server_name(0)])
        await fleet.wire(LinkMode.RESET, [2], [server_name(1)])
        await load.until(40)
        await fleet.wire(LinkMode.PASS, [2], [server_name(1)])
        fleet.send_signal(0, signal.SIGSTOP)
        await fleet.until({0: DEAD}, among=[1, 2])
        fleet.send_signal(0, signal.SIGCONT)
        await fleet.until({n: ALIVE for n in range(3)})
        await load.until(20)
        await load.stop()
        assert min(load.served.values()) > 80

    run_scenario(Fleet(3, 27), scenario)


def test_a_slow_source_costs_neither_connections_nor_answers() -> None:
    """Guards against closing a connection because of a slow fill.

    Each connection with a fill of 0.8 s on it was closed and the fill was requested again, which kept the
    source congested.
    """

    async def delay_fills(fields: dict[str, str]) -> None:
        if "up" in fields and int(fields["name"], 16) >= FIRST_SLOW_OBJECT:
            await asyncio.sleep(1.2)

    async def scenario(fleet: Fleet) -> None:
        for cache in fleet.caches:
            cache.hook = delay_fills
        clients = []
        for process in fleet.running.values():
            client = StandInClient(fleet.truth, fleet.verdicts, random.Random(process.number))
            await client.connect(process.port)
            clients.append(client)
        requests = [
            t.read("files", FIRST_SLOW_OBJECT + n, wait_ms=4_500.0) for n in range(4) for t in clients
        ]
        answers = await asyncio.gather(*requests)
        assert [got and got.code for got in answers] == [0] * len(answers)
        for client in clients:
            client.close()
        ended = [line for p in fleet.running.values() for line in p.lines if "code=stuck" in line]
        assert ended == []

    run_scenario(Fleet(3, 28), scenario)


async def wait_for_line(fleet: Fleet, number: int, text: str, timeout_s: float = 20.0) -> None:
    """Wait for a line of a gateway's log."""
    async with asyncio.timeout(timeout_s):
        while not any(text in line for line in fleet.running[number].lines):
            await asyncio.sleep(0.02)


def test_reports_alone_make_a_gateway_eject_a_silent_cache() -> None:
    async def scenario(fleet: Fleet) -> None:
        asking = [0, 1, 2]
        load = Load(fleet, 30.0, numbers=asking)
        load.start()
        await load.until(10, among=asking)
        await fleet.wire(LinkMode.SILENT, [0, 1, 2, 3], [server_name(1)])
        before = fleet.watch.reached.get((3, server_name(1)), 0)
        await wait_for_line(fleet, 3, f"server {server_name(1)} left out on the word of others")
        assert (
            fleet.watch.reached.get((3, server_name(1)), 0) == before == 0
        ), "it sent the cache no request itself"
        assert not any(f"left out {server_name(1)}, 2" in line for line in fleet.running[3].lines)
        await fleet.wire(LinkMode.PASS, [0, 1, 2, 3])
        await load.stop()

    run_scenario(Fleet(4, 29), scenario)


def test_a_single_gateway_cut_off_from_a_cache_makes_no_other_eject_it() -> None:
    async def scenario(fleet: Fleet) -> None:
        load = Load(fleet, 30.0)
        load.start()
        await load.until(10)
        await fleet.wire(LinkMode.SILENT, [0], [server_name(1)])
        await wait_for_line(fleet, 0, f"left out {server_name(1)}")
        await load.until(60)  # some 2 s, in which its reports spread
        assert not any("on the word of others" in line for p in fleet.running.values() for line in p.lines)
        await fleet.wire(LinkMode.PASS, [0])
        await load.stop()

    run_scenario(Fleet(4, 30), scenario)


def test_a_planned_leave_hands_directory_entries_over() -> None:
    async def scenario(fleet: Fleet) -> None:
        load = Load(fleet, 40.0, objects=60)
        load.start()
        await load.until(80)
        leaving_process = fleet.running[0]
        assert await fleet.stop_process(0, signal.SIGTERM) == 0
        assert any("directory entries over" in line for line in leaving_process.lines)
        await fleet.until({0: {"LEFT"}})
        await fleet.launch(0)
        await wait_for_line(fleet, 1, "directory entries over")  # entries of which 0 is the home again
        await load.stop()

    fleet = Fleet(3, 32)
    for setup in fleet.setups.values():
        setup["family_info"]["peers_fill"] = "location"
    run_scenario(fleet, scenario)


def test_a_resumed_process_sends_nothing_before_it_has_read_pending_bus_events() -> None:
    """A resumed gateway sent to a cache 5.6 s after its drain was announced (schedule 2, 1 of 5 runs)."""

    async def scenario(fleet: Fleet) -> None:
        load = Load(fleet, 60.0)
        load.start()
        await load.until(20)
        fleet.send_signal(0, signal.SIGSTOP)
        # so that its requests come before the bus event, which is possible
        await fleet.wire(LinkMode.SILENT, [0], [BUS])
        fleet.announce(0, health="Terminating")
        fleet.watch.told(0, fleet.buses[0].hosts[0])
        await fleet.until({0: DEAD}, among=[1, 2])
        fleet.send_signal(0, signal.SIGCONT)
        await load.until(20, among=[0])
        await fleet.wire(LinkMode.PASS, [0], [BUS])
        await load.until(40)
        await load.stop()
        assert load.served[0] > 40

    run_scenario(Fleet(3, 33), scenario)


def test_random_datagrams_are_dropped_and_counted() -> None:
    async def scenario(fleet: Fleet) -> None:
        load = Load(fleet, 20.0)
        load.start()
        for _ in range(40):
            for (_sender, to), sock in fleet.fabric.socks.items():
                junk = fleet.rng.randbytes(fleet.rng.randint(1, 300))
                sock.sendto(fleet.rng.choice((junk, b"\xa7" + junk)), fleet.fabric.home[to])
            await asyncio.sleep(0.01)
        await load.until(20)
        await load.stop()
        for process in fleet.running.values():
            lines = [line for line in await process.call("show-stat") if "members_words_dropped" in line]
            assert int(lines[0].partition(":")[2].partition("|")[0]) > 20
        assert await fleet.running[0].members() == {n: "ALIVE" for n in range(3)}
        assert fleet.declared_dead() == set()

    run_scenario(Fleet(3, 34), scenario)
