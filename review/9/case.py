"""An upgrade of a gateway whose zone has a name with an accent: does the old process heed SIGTERM?"""

import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from functools import partial
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab2 import TROUBLE, Bus, CannotRun, Case, Client, Gateway, main, now_ms, wait_for  # noqa: E402

ZONE = os.environ.get("ZONE", "mérida")  # ZONE=merida plays the same upgrade with a plain name
KILL_S = 3.0 + 0.7  # after SIGTERM: the longest deadline, taken as 3 s where it is longer, and 0.7 s
LATE_MS = 700.0  # what came later than this after SIGTERM and is unanswered at the SIGKILL is lost
WORK_MS = 300.0
CLIENTS = 12


def use(case: Case, port: int, stop: threading.Event) -> None:
    """Send requests one after another on one connection, as long as the gateway lets it."""
    client = None
    while not stop.is_set():
        if client is None or client.is_going or client.is_over:
            try:
                client = Client(case, port)
            except OSError:
                time.sleep(0.05)
                continue
        if random.random() < 0.2:
            ask = client.ask(
                "charge", random.getrandbits(60), wait_ms=3000, k=f"{random.getrandbits(128):032x}"
            )
        else:
            ask = client.ask("files", random.getrandbits(60), wait_ms=3000)
        ask.done.wait(4.0)
        time.sleep(random.uniform(0.0, 0.1))  # the clients do not move in step


def says_ready(gateway: Gateway) -> bool:
    """Ask a process whether it is ready where operators call."""
    try:
        return gateway.call("ready").startswith("+OK")
    except OSError:
        return False


def play(case: Case) -> tuple[list[str], str]:
    """Play the case; return how the rule was broken, and a summary."""
    for _ in range(2):
        case.add_server(ZONE, "box", 40.0)
    case.add_server("hub", "parent", 40.0)
    case.add_server("hub", "origin", 40.0)
    for server in case.servers:
        server.work_ms = WORK_MS
    bus = Bus(case)
    listener = socket.create_server(("127.0.0.1", 0), backlog=512)
    old = case.start_gateway(bus, listener=listener)
    old.wait_ready()
    stop = threading.Event()
    for _ in range(CLIENTS):
        threading.Thread(target=use, args=(case, old.port, stop), daemon=True).start()
    time.sleep(3.0)
    if not TROUBLE:
        time.sleep(6.0)
        stop.set()
        time.sleep(4.5)
        lost = [ask for ask in case.asks if ask.code < 0]
        return [f"{ask.id} got no answer" for ask in lost], f"{len(case.asks)} requests, no upgrade"
    new = case.start_gateway(bus, "n1-new", listener=listener, beside=old)
    if not wait_for(partial(says_ready, new), 20.0):
        raise CannotRun("the new process did not get ready")
    case.note("platform: the new process says that it is ready")
    time.sleep(1.0)
    old.process.send_signal(signal.SIGTERM)
    term_ms = now_ms()
    case.note("platform: SIGTERM to the old process")
    try:
        old.process.wait(KILL_S)
        end = f"ended by itself {now_ms() - term_ms:.0f} ms after SIGTERM"
    except subprocess.TimeoutExpired:
        old.process.kill()
        old.process.wait()
        end = f"did not end, SIGKILL {now_ms() - term_ms:.0f} ms after SIGTERM"
    end_ms = now_ms()
    case.note(f"platform: the old process {end}")
    case.ended.append(old)
    time.sleep(0.5)
    stop.set()
    time.sleep(4.5)
    lost = [ask for ask in case.asks if ask.is_connection_over and ask.ended_ms >= end_ms - 100.0]
    lost = [ask for ask in lost if term_ms + LATE_MS < ask.sent_ms < ask.ended_ms - 60.0]
    broken = [
        f"{ask.id} came {ask.sent_ms - term_ms:.0f} ms after SIGTERM and had no answer when the process ended"
        for ask in lost
    ]
    return broken, f"{len(case.asks)} requests; the old process {end}; {len(lost)} requests lost"


def change(setup: dict[str, Any]) -> None:
    """Change the settings of the small deployment."""
    setup["localities"][1] = setup["my_zone"] = ZONE


main(play, __file__, change=change)
