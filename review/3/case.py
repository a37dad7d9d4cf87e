"""A drain while a client reads its answers at 1 MB a second: does it get all of them?"""

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from parties import Case, Client, play

LANE, WAIT_MS = "terminal-files", 5000.0
SIZE, OBJECTS, PACE = 240_000, 10, 1e6
NEXT_REQUEST_S, NEXT_REQUESTS = 0.5, 4
SMALL = "00000000000000aa"


async def run(case: Case) -> None:
    """Have a slow reader ask for large objects on one connection, then drain the gateway."""
    names = [name for name in case.truth.sizes if name != SMALL]
    await case.warm_up(LANE, [*names, SMALL], WAIT_MS)
    client = await Client(case, "slow reader", pace=PACE).open()
    sent = [await client.request(LANE, name, WAIT_MS) for name in names]
    await asyncio.sleep(0.3)
    if case.trouble:
        await case.call("drain")
    for _ in range(NEXT_REQUESTS):
        await asyncio.sleep(NEXT_REQUEST_S)
        if client.told_to_go or client.ended:
            break
        with contextlib.suppress(OSError):
            await client.request(LANE, SMALL, WAIT_MS)
    for request in sent:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(request.done.wait(), 8.0)
    for request in sent:
        if request.code is None:
            case.record.fault(
                f"request {request.fields['i']}, taken before the drain, has no whole answer"
                f" ({len(request.part)} bytes of it); its connection is {client.ended or 'open'}"
            )
    case.record.add(f"{sum(r.code == 0 for r in sent)} of {len(sent)} served, {client.bytes_read} bytes read")
    await client.close()


sizes = {f"7f3a9c21e0b4{index:04x}": SIZE for index in range(OBJECTS)} | {SMALL: 2_000}
sys.exit(play(Case(Path(__file__).resolve().parent, "ortega-estaciones", sizes), run))
