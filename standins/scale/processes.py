"""Real gateway processes on loopback, for what hollow gateways lack: memory, start time, sockets, datagrams.

One process at a time is started with the server list and the peers of a fleet of the given size; the listed
servers do not exist, and no request is sent to them. Membership datagrams are counted over COMPARISON_SIZE
processes connected by the stand-in network, and compared with those of a hollow fleet of the same size.
"""

import asyncio
import json
import os
import shutil
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from standins.fleet import Fleet
from standins.parties import Bus
from standins.rig import REPLAY_MS, ROOT, settings
from standins.scale import membership
from standins.scale.plan import Plan, demand_at
from standins.truth import Truth

COMPARISON_SIZE = 10  # processes in the comparison of membership datagrams
READY_LINE, SERVING_LINE = "INFO n0 ready", "serving on"  # parts of the gateway's log lines
START_TIMEOUT_S, IDLE_S = 20.0, 3.0
STEADY_PERIODS, FLEET_PERIOD_MS = 15.0, 400.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def cpu_time_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def count_sockets(pid: int) -> int:
    """Return the number of open sockets of a process."""
    links = [os.readlink(entry) for entry in Path(f"/proc/{pid}/fd").iterdir()]
    return sum(link.startswith("socket:") for link in links)


def host_entries(plan: Plan) -> list[dict[str, Any]]:
    """Return the server list as configuration entries, with the zones and classes of the example."""
    kinds = {"box": "box", "parent": "parent", "origin": "origin"}
    return [
        {"host": m.server, "dial": "127.0.0.1:9", "site": "north" if m.kind == "box" else "hub",
         "class": kinds[m.kind], "block": 0, "health": "Ready", "share": 50, "born_ms": 0}
        for m in plan.members()
    ]  # fmt: skip


async def measure_idle_process(gateways: int) -> dict[str, float]:
    """Start one gateway of a fleet of the given size and measure it while it is idle."""
    plan, truth = Plan(demand_at(gateways)), Truth()
    bus = Bus(truth, host_entries(plan), REPLAY_MS)
    await bus.start()
    gateway_settings = settings() | {"my_number": 0, "group_size": gateways}
    gateway_settings["limits"] = gateway_settings.get("limits", {}) | {"peers": True}
    gateway_settings["family_info"] |= {"instances_by_zone": [0, gateways]}
    folder = Path(tempfile.mkdtemp(prefix="scale-"))
    peers = [f"127.{1 + n // 65_536}.{n // 256 % 256}.{n % 256}:9" for n in range(gateways)]
    peers[0] = "127.0.0.1:0"
    config = {
        "name": "n0", "listen": "127.0.0.1:0", "control": "127.0.0.1:0", "seed": "1",
        "peer_listen": "127.0.0.1:0", "peers": peers, "limits": {"sockets": 512, "memory_mb": 256},
        "bus": f"127.0.0.1:{bus.port}", "known": bus.begin(), "settings": gateway_settings,
    }  # fmt: skip
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    environment = {"PATH": os.environ["PATH"], "BALANCER_CONFIG": str(path), "TMPDIR": str(folder)}
    started_s = time.monotonic()
    child = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "hitchtiller", cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
    )
    try:
        assert child.stderr
        async with asyncio.timeout(START_TIMEOUT_S):
            while READY_LINE not in (line := (await child.stderr.readline()).decode()):
                if not line:
                    raise RuntimeError("the gateway process exited before it was ready")
        start_s, cpu_before_s = time.monotonic() - started_s, cpu_time_s(child.pid)
        await asyncio.sleep(IDLE_S)
        return {
            "process_memory": resident_mb(child.pid),
            "process_start": start_s,
            "process_sockets": float(count_sockets(child.pid)),
            "process_idle": (cpu_time_s(child.pid) - cpu_before_s) / IDLE_S,
        }
    finally:
        child.kill()
        await child.wait()
        shutil.rmtree(folder, ignore_errors=True)


async def measure_real_datagrams() -> float:
    """Return the datagrams that each of COMPARISON_SIZE processes sends per membership period, on average."""
    fleet = Fleet(COMPARISON_SIZE, 1, period_ms=FLEET_PERIOD_MS)
    try:
        await fleet.start()
        await fleet.until({n: {"ALIVE"} for n in range(COMPARISON_SIZE)}, patience_s=60.0)
        await asyncio.sleep(5.0 * FLEET_PERIOD_MS / 1000.0)
        datagrams_before = len(fleet.fabric.history)
        await asyncio.sleep(STEADY_PERIODS * FLEET_PERIOD_MS / 1000.0)
        return (len(fleet.fabric.history) - datagrams_before) / COMPARISON_SIZE / STEADY_PERIODS
    finally:
        await fleet.finish()


def measure_comparison(seed: int) -> dict[str, float]:
    """Measure the datagrams per period of a hollow fleet and of real processes, at the same size."""
    hollow = membership.measure_steady_state(COMPARISON_SIZE, seed)["members_datagrams"]
    return {"common_hollow": hollow, "common_real": asyncio.run(measure_real_datagrams())}


def measure(gateways: int, seed: int) -> dict[str, float]:
    """Measure one process of a fleet of the given size."""
    return asyncio.run(measure_idle_process(gateways))
