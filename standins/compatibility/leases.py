"""Checks of leases on the origin between gateways of different builds (part of B1 and B2)."""

import asyncio
from typing import Any

from standins.compatibility.builds import Build
from standins.compatibility.checks import Trial, expect
from standins.compatibility.datagram_relay import DatagramRelay
from standins.compatibility.datagrams import GRANT, MEMBERSHIP, REQUEST, RETURN
from standins.compatibility.environment import StandInEnvironment
from standins.compatibility.fleet import Fleet, fleet_settings

SEED = 12
ORIGIN = "s-00000002"  # of an environment with one cache
FLEET_SIZE, LENDER, BORROWER = 26, 0, 24  # the size, and the two numbers that run
LEASE_KEYS = (1, 2)  # each object is filled under a lease of its own
DEADLINE_MS, WAIT_MS = 1_500.0, 1_000.0
RETURN_TIMEOUT_S = 5.0
FIRST_TERM_S = 3.4  # an owner lends nothing for twice the longest deadline and 0.1 s; this is 0.3 s longer


def borrowing_settings(number: int) -> dict[str, Any]:
    """Return the settings of a gateway of a fleet that is too large for fixed shares of the origin."""
    changed = fleet_settings(number, FLEET_SIZE)
    changed["family_info"]["instances_by_zone"] = [0, FLEET_SIZE]
    changed["classes"][0]["deadline_ms"] = DEADLINE_MS
    return changed


async def expect_lease_number(fleet: Fleet, number: int) -> None:
    """Check that so many leases were requested and granted until now, and wait until all are returned."""
    borrower, counts = fleet.running[BORROWER], fleet.relay.counts
    figures = await borrower.figures()
    wanted = {"origin_leases_denied": 0, "origin_leases_granted": number}
    expect("leases", wanted, {name: figures[name] for name in wanted})
    expect("requests carried", number, counts[BORROWER, LENDER, REQUEST])
    expect("grants carried", number, counts[LENDER, BORROWER, GRANT])

    async def is_returned() -> bool:
        return counts[BORROWER, LENDER, RETURN] == number

    await borrower.wait_until("the lease is returned", is_returned, RETURN_TIMEOUT_S)


async def expect_leases_granted_and_returned(fleet: Fleet) -> str:
    """Check that a fill uses a lease, which is returned, and that the permit is then lent again.

    Return the count in words.
    """
    for number, key in enumerate(LEASE_KEYS, start=1):
        await fleet.environment.request(fleet.running[BORROWER], [key], wait_ms=WAIT_MS)
        await expect_lease_number(fleet, number)
    fills = {(0, ORIGIN, key): 1 for key in LEASE_KEYS}
    expect("fills from the origin", fills, dict(fleet.environment.fills))
    return f"{len(LEASE_KEYS)} leases granted and returned"


async def expect_regarded_as_alive(fleet: Fleet, observer: int, subject: int) -> None:
    """Check that a gateway of a large fleet receives another's messages and regards it as alive.

    A gateway repeats the claim on itself a few times only, and 24 of the 26 gateways do not run here. The
    one that started first may therefore remain UNHEARD in the view of the other, which regards it as alive
    until a probe fails.
    """
    state = (await fleet.running[observer].members())[subject]
    is_alive = state in ("ALIVE", "UNHEARD")
    expect(f"{subject} is alive in the view of gateway {observer} ({state})", True, is_alive)
    received = fleet.relay.count_between([subject], [observer], MEMBERSHIP)
    expect(f"membership messages of {subject} reach {observer}", True, received > 0)


async def check_lease_between_builds(trial: Trial, name: str, lender: Build, borrower: Build) -> None:
    """Check that a gateway of one build grants leases on the origin to one of the other."""
    environment = StandInEnvironment(SEED, ("north",), lacks=True)
    relay = DatagramRelay(FLEET_SIZE, (LENDER, BORROWER), LENDER)
    fleet = Fleet(trial, environment, relay, {LENDER: lender, BORROWER: borrower})
    check_name = f"{name}, lease of the {lender.label} for the {borrower.label}"
    try:
        async with trial.report.check(check_name) as details:
            await environment.start(has_parent=False)
            await fleet.start(borrowing_settings)
            await asyncio.sleep(FIRST_TERM_S)
            details.append(await expect_leases_granted_and_returned(fleet))
            await fleet.record_dropped()
            expect("membership messages dropped", {LENDER: 0, BORROWER: 0}, fleet.dropped)
            await expect_regarded_as_alive(fleet, LENDER, BORROWER)
            await expect_regarded_as_alive(fleet, BORROWER, LENDER)
    finally:
        await trial.processes.end_all()
        relay.close()
