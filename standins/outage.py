"""What an outage of the event bus costs: attempts of one gateway process, or of a fleet by its decisions.

    python -m standins.outage gateway --seconds 20 --seed 1
    python -m standins.outage fleet --gateways 2300 --seconds 20 --seed 1

`gateway` runs a process with the memory tier among stand-in servers. `fleet` draws requests for each gateway
and lets `UnheardPurges` decide which need an attempt; all copies are there when the outage begins, and an
answer takes no time.
"""

import argparse
import asyncio
import json
import random
import shutil
import sys
import time
from collections import Counter
from typing import Any

from hitchtiller.routing.unheard import UnheardPurges, spread
from hitchtiller.settings import read_settings
from hitchtiller.store.index import hash_part
from standins.rig import Rig, settings

PURGE_GRACE_MS, GONE_MS = 300.0, 6_000.0
OBJECTS = 200  # that clients ask for, with Zipf's popularity
QUIET_S = 3.0  # before the outage and after it
PLATFORM_COMMAND = [sys.executable, "-m", "hitchtiller", "--memory-tier"]


def popularity() -> list[float]:
    """Return the weights of the objects."""
    return [1.0 / rank for rank in range(1, OBJECTS + 1)]


def play_fleet(gateways: int, seconds: float, rate: float, seed: int) -> dict[str, object]:
    """Count the attempts that a fleet makes because of an outage, by the second."""
    rng, weights = random.Random(seed), popularity()
    bounds = UnheardPurges.of(read_settings(setup()))
    attempts: Counter[int] = Counter()
    requests = 0
    for gateway in range(gateways):
        salt, usable_ms = hash_part(gateway, 0), dict[int, float]()
        at_ms = rng.expovariate(rate) * 1000.0
        while at_ms < seconds * 1000.0:
            requests += 1
            (key,) = rng.choices(range(OBJECTS), weights)
            share = spread(hash_part(key ^ salt, 0))
            if at_ms >= usable_ms.get(key, bounds.heard_until_ms(0.0, share)):
                attempts[int(at_ms // 1000.0)] += 1
                usable_ms[key] = bounds.answer_until_ms(at_ms, 0.0, share)
            at_ms += rng.expovariate(rate) * 1000.0
    return {
        "requests": requests,
        "attempts": sum(attempts.values()),
        "attempts_by_second": [attempts[second] for second in range(int(seconds))],
        "requests_a_second": round(gateways * rate),
    }


def setup() -> dict[str, Any]:
    """Return the settings of the rig with the bounds on purges of the platform, as in a configuration."""
    chosen = settings()
    chosen["family_info"] |= {"gone_everywhere_ms": GONE_MS, "purge_grace_ms": PURGE_GRACE_MS}
    return chosen


async def play_gateway(seconds: float, rate: float, seed: int) -> dict[str, object]:
    """Run a gateway through an outage; count the requests, the attempts and what reached the origin."""
    rig, rng, weights = Rig(seed), random.Random(seed), popularity()
    rig.command, rig.replay_ms = PLATFORM_COMMAND, GONE_MS
    rig.config["settings"] = setup()
    counts: dict[str, object] = {}

    async def ask_for(duration_s: float, name: str) -> None:
        before = [sum(s.pulls for s in (*rig.caches, rig.parent)), rig.origin.pulls]
        served = rig.verdicts.counts["served"]
        end_s, requests = time.monotonic() + duration_s, 0
        while time.monotonic() < end_s:
            requests += 1
            (key,) = rng.choices(range(1, OBJECTS + 1), weights)
            await client.read("files", key)
            await asyncio.sleep(rng.expovariate(rate))
        after = [sum(s.pulls for s in (*rig.caches, rig.parent)), rig.origin.pulls]
        counts[name] = {
            "requests": requests,
            "served": rig.verdicts.counts["served"] - served,
            "attempts": after[0] - before[0],
            "at_origin": after[1] - before[1],
        }

    await rig.start()
    try:
        await rig.launch()
        client = await rig.terminal()
        await ask_for(4.0 * QUIET_S, "filling")
        await ask_for(QUIET_S, "before")
        rig.bus.stop()
        await ask_for(seconds, "outage")
        await rig.bus.start()
        await asyncio.sleep(1.0)
        await ask_for(QUIET_S, "after")
        counts["wrong"] = rig.verdicts.wrong
    finally:
        await rig.kill()
        shutil.rmtree(rig.folder, ignore_errors=True)
    return counts


def main() -> int:
    """Play what the command line asks for and print the counts as JSON."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("way", choices=("gateway", "fleet"))
    parser.add_argument("--gateways", type=int, default=2_300)
    parser.add_argument("--seconds", type=float, default=20.0, help="of the outage")
    parser.add_argument("--rate", type=float, default=50.0, help="requests a second at each gateway")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    if options.way == "fleet":
        counts = play_fleet(options.gateways, options.seconds, options.rate, options.seed)
    else:
        counts = asyncio.run(play_gateway(options.seconds, options.rate, options.seed))
    print(json.dumps(counts))
    return 0


if __name__ == "__main__":
    sys.exit(main())
