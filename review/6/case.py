"""A bad client takes a request back and sends its id with another object: who gets foreign bytes?"""

import random
import sys
import time
from functools import partial
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab2 import TROUBLE, Bus, CannotRun, Case, Client, main, wait_for  # noqa: E402

ROUNDS = 30
SIZE, BYTES_PER_S = (
    120_000,
    4_000_000,
)  # of one part, and of one answer: "a client is sent 3.8 to 12 MB a second"


def has_pull(case: Case, name: str) -> bool:
    """Return whether a request has reached a server."""
    return any(pull.name == name for server in case.servers for pull in server.pulls)


def play(case: Case) -> tuple[list[str], str]:
    """Play the case; return how the rule was broken, and a summary."""
    case.world.size = SIZE
    for _ in range(2):
        case.add_server("north", "box")
    case.add_server("hub", "parent")
    case.add_server("hub", "origin")
    for server in case.servers:
        server.bytes_per_s = BYTES_PER_S
    bus = Bus(case)
    gateway = case.start_gateway(bus)
    gateway.wait_ready()
    time.sleep(1.5)  # the bus is followed
    sound, later = Client(case, gateway.port), Client(case, gateway.port)
    served, broken, objects = 0, list[str](), list[tuple[int, int]]()

    def judge(client: Client, first: int, second: int) -> None:
        nonlocal served
        ask = client.ask("files", second, size_kb=SIZE / 1000)
        ask.done.wait(2.5)
        if ask.code != 0:
            return
        served += 1
        if ask.body != case.world.body(second, 0, 0):
            whose = "another object" if ask.body == case.world.body(first, 0, 0) else "no object"
            how = "with a PULL" if has_pull(case, ask.id) else "without a PULL"
            broken.append(f"{ask.id}, o={second:016x}: served the bytes of {whose} {how} of its own")

    bad = Client(case, gateway.port) if TROUBLE else None
    for _ in range(ROUNDS):
        first, second = random.getrandbits(64), random.getrandbits(64)
        if bad:
            if bad.is_over:
                bad = Client(case, gateway.port)
            taken_back = bad.ask("files", first, size_kb=SIZE / 1000)
            if not wait_for(partial(has_pull, case, taken_back.id), 2.0):
                raise CannotRun("the bad client's request did not reach a cache")
            time.sleep(0.012)  # its answer is on its way now, which takes 30 ms
            turned_away = bad.ask("files", second, size_kb=SIZE / 1000, id=taken_back.id)
            turned_away.done.wait(0.005)
            bad.give_up(taken_back)
            again = bad.ask("files", second, size_kb=SIZE / 1000, id=taken_back.id)
            again.done.wait(2.5)
            case.note(f"bad client: {turned_away.word()}, then {again.word()}")
        judge(sound, first, second)
        objects.append((first, second))
    for first, second in objects:
        judge(later, first, second)
    summary = f"{served} of {2 * ROUNDS} requests of two sound clients were served"
    return broken, f"{summary}, {len(broken)} with foreign bytes"


main(play, __file__)
