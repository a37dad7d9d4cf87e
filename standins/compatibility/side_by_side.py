"""Checks of gateways of both builds side by side (B1, B2): membership, look-ups and departures."""

import asyncio
import itertools
from typing import Any

from standins.compatibility.builds import Build
from standins.compatibility.checks import Trial, expect
from standins.compatibility.datagram_relay import DatagramRelay
from standins.compatibility.datagrams import ASK, HOLDER, KEPT, MEMBERSHIP
from standins.compatibility.environment import StandInEnvironment
from standins.compatibility.fleet import Fleet, fleet_settings
from standins.compatibility.leases import check_lease_between_builds

SEED = 11
ZONES = ("north", "south", "east")  # one gateway and one cache in each
NUMBERS = tuple(range(len(ZONES)))
NOTE_KINDS = {"ask": ASK, "holder": HOLDER, "kept": KEPT}
KEYS_EACH = 8  # objects that are requested at a time
REQUEST_KEY_STRIDE = 100  # between the first objects that two gateways are asked for
FIRST_LOOKUP_KEY, FIRST_LEAVE_KEY = 1_000, 2_000
HOME_AIM_MS = 6_000.0  # a gateway waits for the answer of a home gateway for 8 % of it
LOOKUP_WAIT_MS = 4_500.0  # a home gateway is asked only long before the deadline
NOTE_DELAY_S = 0.1  # from an answer until its note has arrived


def zoned_settings(number: int) -> dict[str, Any]:
    """Return the settings of a gateway in a zone of its own, which fills from caches of the other zones."""
    changed = fleet_settings(number, len(ZONES))
    changed |= {"localities": ["hub", *ZONES], "my_zone": ZONES[number]}
    changed["family_info"] |= {
        "hub_of": [0] * (1 + len(ZONES)), "instances_by_zone": [0] + [1] * len(ZONES),
        "feed_kb_per_s": [0.0] + [500_000.0] * len(ZONES), "peers_fill": "any",
    }  # fmt: skip
    changed["classes"][0]["aim_ms"] = HOME_AIM_MS
    return changed


def count_crossings(fleet: Fleet) -> str:
    """Return the number of notes of each kind between the builds; raise MismatchError if there is none."""
    old, new = (fleet.numbers(build) for build in fleet.trial.builds)
    counts = []
    for name, kind in NOTE_KINDS.items():
        to_new, to_old = fleet.relay.count_between(old, new, kind), fleet.relay.count_between(new, old, kind)
        expect(f"{name} notes cross in both directions {to_new, to_old}", True, min(to_new, to_old) > 0)
        counts.append(f"{name} {to_new} to the newer, {to_old} to the older")
    return "; ".join(counts)


async def expect_found_by(fleet: Fleet, holder: int, asker: int, keys: range) -> int:
    """Check that a gateway fills its own cache with objects from another gateway's cache.

    Return how many objects were looked up; the others were filled from the parent or the origin at once.
    """
    environment, source = fleet.environment, f"s-{holder:08x}"
    await environment.request(fleet.running[holder], keys)
    await asyncio.sleep(NOTE_DELAY_S)
    await environment.request(fleet.running[asker], keys, LOOKUP_WAIT_MS)
    looked_up = [key for key in keys if environment.lookups[asker, key]]
    found = [key for key in looked_up if environment.fills[asker, source, key]]
    expect(f"objects of gateway {holder}'s cache that gateway {asker} finds", looked_up, found)
    return len(looked_up)


async def expect_all_find_objects(fleet: Fleet) -> str:
    """Check that objects are found through the directory between all pairs of gateways.

    Return the counts in words.
    """
    pairs = list(itertools.permutations(fleet.running, 2))
    looked_up = 0
    for place, (holder, asker) in enumerate(pairs):
        first = FIRST_LOOKUP_KEY + place * KEYS_EACH
        looked_up += await expect_found_by(fleet, holder, asker, range(first, first + KEYS_EACH))
    expect("most objects were looked up", True, 2 * looked_up > len(pairs) * KEYS_EACH)
    return f"{looked_up} objects found; {count_crossings(fleet)}"


async def request_through_each(fleet: Fleet) -> None:
    """Request objects of its own from each gateway."""
    for number, gateway in fleet.running.items():
        first = REQUEST_KEY_STRIDE * number
        await fleet.environment.request(gateway, range(first, first + KEYS_EACH))


async def leave_in_turn(fleet: Fleet) -> None:
    """Drain and end a gateway of each build; the remaining gateways record it and still serve objects."""
    for number in (1, 0):
        await fleet.end(number)
        await fleet.wait_for_states({number: "LEFT"})
        for gateway in fleet.running.values():
            keys = range(FIRST_LEAVE_KEY, FIRST_LEAVE_KEY + KEYS_EACH)
            await fleet.environment.request(gateway, keys)


def expect_no_trouble(fleet: Fleet) -> str:
    """Check that no membership message was dropped and no log reports trouble; return the messages' count."""
    expect("gateways that were looked at", set(NUMBERS), set(fleet.dropped))
    expect("membership messages dropped", dict.fromkeys(NUMBERS, 0), fleet.dropped)
    expect("lines of trouble", [], fleet.trouble)
    return f"{fleet.relay.count_between(NUMBERS, NUMBERS, MEMBERSHIP)} membership messages"


async def run_fleet_checks(fleet: Fleet, name: str) -> None:
    """Run the checks of a fleet in their order; each one needs the state that the previous one left."""
    report = fleet.trial.report
    async with report.check(f"{name}, all see each other alive") as details:
        await fleet.start(zoned_settings)
        await fleet.wait_for_states(dict.fromkeys(NUMBERS, "ALIVE"))
        details.append(f"{len(NUMBERS)} gateways")
    async with report.check(f"{name}, requests through each") as details:
        await request_through_each(fleet)
        details.append(f"{KEYS_EACH} answers each")
    async with report.check(f"{name}, look-ups through home gateways") as details:
        details.append(await expect_all_find_objects(fleet))
    async with report.check(f"{name}, drained, then left") as details:
        await leave_in_turn(fleet)
        details.append("the others see 1, then 0 leave and serve on")
    async with report.check(f"{name}, nothing dropped, no trouble in a log") as details:
        details.append(expect_no_trouble(fleet))


async def check_fleet_of_both_builds(trial: Trial, name: str, single: Build, other: Build) -> None:
    """Check that one gateway of a build works beside two of the other."""
    environment = StandInEnvironment(SEED, ZONES, lacks=True, has_leaving=True)
    relay = DatagramRelay(len(ZONES), NUMBERS)
    await environment.start()
    try:
        builds = {number: other if number else single for number in NUMBERS}
        await run_fleet_checks(Fleet(trial, environment, relay, builds), name)
    finally:
        await trial.processes.end_all()
        relay.close()


async def check_one_newer_beside_older(trial: Trial) -> None:
    """Check that one newer gateway works beside two older ones, and lends to an older one."""
    await check_fleet_of_both_builds(trial, "B1 one newer, two older", trial.new, trial.old)
    await check_lease_between_builds(trial, "B1 one newer, one older of 26", trial.new, trial.old)


async def check_one_older_beside_newer(trial: Trial) -> None:
    """Check that one older gateway works beside two newer ones, and lends to a newer one."""
    await check_fleet_of_both_builds(trial, "B2 one older, two newer", trial.old, trial.new)
    await check_lease_between_builds(trial, "B2 one older, one newer of 26", trial.old, trial.new)
