"""A slow station cache, and one object asked for under two classes: is a copy too old?"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "stand2"))
from lab2 import TROUBLE, Bus, Case, Client, main, now_ms  # noqa: E402

FRESH_MS, SLACK_MS = 20_000.0, 50.0
WORK_MS, SLOWER = 60.0, 4.0


def play(case: Case) -> tuple[list[str], str]:
    """Play the case; return how the rule was broken, and a summary."""
    for _ in range(2):
        case.add_server("north", "box")
    case.add_server("hub", "parent")
    case.add_server("hub", "origin")
    for server in case.servers:
        server.work_ms = WORK_MS
    bus = Bus(case)
    gateway = case.start_gateway(bus)
    gateway.wait_ready()
    objects = list(range(100, 110))
    for key in objects:
        for server in case.servers[:2]:
            server.copies[key, 0] = (0, now_ms())
    time.sleep(FRESH_MS / 1000 + 2.0)
    if TROUBLE:
        for server in case.servers[:2]:
            server.work_ms = WORK_MS * SLOWER
    first, second = Client(case, gateway.port), Client(case, gateway.port)
    pairs = []
    for key in objects:
        one = first.ask("files", key)
        time.sleep(0.1)
        two = second.ask("lookups", key)
        pairs.append((one, two))
        time.sleep(0.7)
    time.sleep(2.0)
    broken, served = [], 0
    for _, two in pairs:
        if two.code != 0:
            continue
        served += 1
        given = [
            pull
            for server in case.servers
            for pull in server.pulls
            if int(pull.fields["name"], 16) == two.key and pull.since_ms and pull.arrived_ms < two.ended_ms
        ]
        youngest_ms = max(pull.since_ms for pull in given)  # of all copies that the gateway could have used
        age_ms = two.sent_ms - youngest_ms
        if age_ms > FRESH_MS + SLACK_MS:
            broken.append(f"{two.id} asked for a lookup and was served a copy {age_ms:.0f} ms old")
    return broken, f"{served} of {len(pairs)} lookups were served, {len(broken)} of them from too old a copy"


main(play, __file__)
