"""Discovery gets slow, then a station cache drains: does the gateway go on sending to it after the bound?"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab2 import TROUBLE, Bus, CannotRun, Case, Client, main  # noqa: E402

SLOW_S = 2.5  # what the bus sends comes so much later; it still sends a frame each second
TOLD_MS = 7_000.0  # counts as told at the latest
GRACE_MS, SLACK_MS = (
    500.0,
    50.0,
)  # stop_sending_within_ms of the settings; limits on sockets are so much longer
WATCHED_S = 14.0  # after the drain is in the bus


def play(case: Case) -> tuple[list[str], str]:
    """Play the case; return how the rule was broken, and a summary."""
    caches = [case.add_server("north", "box") for _ in range(3)]
    case.add_server("hub", "parent")
    case.add_server("hub", "origin")
    bus = Bus(case)
    gateway = case.start_gateway(bus)
    gateway.wait_ready()
    client = Client(case, gateway.port)
    key = 0

    def ask_for(seconds: float) -> None:
        nonlocal client, key
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            key += 1
            if client.is_over or client.is_going:
                client = Client(case, gateway.port)
            client.ask("files", key)
            time.sleep(0.04)

    ask_for(2.0)
    if not caches[0].pulls:
        raise CannotRun("the cache that is to drain was not in use")
    if TROUBLE:
        case.note(f"bus: from now on what it sends comes {SLOW_S} s later")
        bus.delay_s = SLOW_S
    ask_for(3.0)
    caches[0].state = "Terminating"
    in_bus_ms = bus.tell_host(caches[0])
    case.note(f"bus: {caches[0].id} drains; the event is in the bus")
    ask_for(WATCHED_S)
    time.sleep(0.5)

    bound_ms = in_bus_ms + TOLD_MS + GRACE_MS + SLACK_MS
    after = [
        pull
        for server in case.servers
        for pull in server.pulls
        if pull.arrived_ms > in_bus_ms and caches[0].id in (server.id, pull.fields.get("up"))
    ]
    late = [pull for pull in after if pull.arrived_ms > bound_ms]
    broken = [
        f"{pull.name} went to the draining {caches[0].id} {pull.arrived_ms - in_bus_ms:.0f} ms after"
        for pull in late
    ]
    last_ms = max((pull.arrived_ms - in_bus_ms for pull in after), default=0.0)
    return broken, (
        f"{len(case.asks)} requests; the draining cache got {len(after)} after the event, the last one "
        f"after {last_ms:.0f} ms; {len(late)} later than {bound_ms - in_bus_ms:.0f} ms; "
        f"{bus.subscriptions} subscriptions"
    )


main(play, __file__)
