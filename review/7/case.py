"""An outage of the event bus, during which an object is purged: are older copies served after the bound?"""

import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab2 import TROUBLE, Bus, CannotRun, Case, Client, main  # noqa: E402

OUTAGE_S = 8.0  # "discovery is down for 8 s"
TOLD_MS = 7_000.0  # counts as told at the latest
GRACE_MS, SLACK_MS = 300.0, 50.0  # purge_grace_ms of the settings; limits on sockets are so much longer
OBJECT = 0x5C0F6E1A2B3D4C59
ASK_EVERY_S = 0.05


def play(case: Case) -> tuple[list[str], str]:
    """Play the case; return how the rule was broken, and a summary."""
    for _ in range(2):
        case.add_server("north", "box")
    case.add_server("hub", "parent")
    case.add_server("hub", "origin")
    bus = Bus(case)
    gateway = case.start_gateway(bus)
    gateway.wait_ready()
    time.sleep(1.5)  # the bus is followed
    client = Client(case, gateway.port)

    def ask_for(seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            client.ask("files", OBJECT).done.wait(2.5)
            time.sleep(ASK_EVERY_S)

    ask_for(2.0)
    if not any(ask.code == 0 for ask in case.asks):
        raise CannotRun("no request was served before the purge")
    if TROUBLE:
        case.note("bus: down")
        bus.down()
        began_s = time.monotonic()
        time.sleep(0.05)
    purged_ms = case.world.purge(OBJECT)
    in_bus_ms = bus.tell_purge(OBJECT, purged_ms)
    case.note(f"origin: purged o={OBJECT:016x}; the event is in the bus")
    ask_for(OUTAGE_S - 0.05)
    if TROUBLE:
        case.note(f"bus: up again after {time.monotonic() - began_s:.2f} s")
        bus.up()
    ask_for(3.0)

    old = case.world.body(OBJECT, 0, 0)
    bound_ms = in_bus_ms + TOLD_MS + GRACE_MS + SLACK_MS
    stale = [ask for ask in case.asks if ask.code == 0 and ask.body == old and ask.sent_ms > in_bus_ms]
    late = [ask for ask in stale if ask.sent_ms > bound_ms]
    broken = [
        f"{ask.id} was sent {ask.sent_ms - in_bus_ms:.0f} ms after the purge and got the older copy"
        for ask in late
    ]
    last_ms = max((ask.sent_ms - in_bus_ms for ask in stale), default=0.0)
    return broken, (
        f"{len(case.asks)} requests; after the purge {len(stale)} got the older copy, the last one sent "
        f"after {last_ms:.0f} ms; {len(late)} were sent later than {bound_ms - in_bus_ms:.0f} ms"
    )


def change(setup: dict[str, Any]) -> None:
    """Change the settings of the small deployment."""
    setup["family_info"]["purge_grace_ms"] = GRACE_MS


main(play, __file__, change=change)
