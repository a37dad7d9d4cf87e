"""Discovery is down for 8 s: does the gateway serve copies of its own from before a purge made meanwhile?"""

import asyncio
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from parties import SERVED, SLACK_MS, Case, Client, Sent, now_ms, play

LANE, WAIT_MS = "video-part", 3000.0
OUTAGE_MS = 8_000.0
PURGE_AT_MS, TELL_MS = 100.0, 150.0  # after the start of the outage; from the purge to its event
TOLD_MS, DROPPED_MS = 7_000.0, 6_000.0
NAME = "7f3a9c21e0b40001"


async def run(case: Case) -> None:
    """Warm the gateway's copy, purge its object while discovery is down, and ask for it again."""
    grace_ms = float(case.site["purge_grace_ms"])
    await case.warm_up(LANE, [NAME], WAIT_MS)
    await asyncio.sleep(1.0)
    outage_ms = now_ms()
    if case.trouble:
        case.bus.down()
    await asyncio.sleep(PURGE_AT_MS / 1000.0)
    purged_ms = now_ms()
    case.truth.versions[NAME] = 2
    case.record.add(f"{NAME} is purged, its bytes are now version 2")
    await asyncio.sleep(TELL_MS / 1000.0)
    told_ms = now_ms() + TOLD_MS
    number = case.bus.add(3, struct.pack(">QQ", int(NAME, 16), int(purged_ms)))
    case.record.add(f"event {number}, the purge, is in the event bus")

    async def drop() -> None:
        await asyncio.sleep((purged_ms + DROPPED_MS * 0.9 - now_ms()) / 1000.0)
        for server in case.servers:
            server.drop(NAME)
        case.record.add("all servers have dropped the older copies")

    async def restore() -> None:
        await asyncio.sleep((outage_ms + OUTAGE_MS - now_ms()) / 1000.0)
        if case.trouble:
            await case.bus.up()

    tasks = [asyncio.ensure_future(drop()), asyncio.ensure_future(restore())]
    await asyncio.sleep((told_ms + grace_ms + SLACK_MS + 10.0 - now_ms()) / 1000.0)
    case.record.add("from here on the purge counts as told, and its grace time is over")
    client, answers = await Client(case, "client").open(), list[Sent]()
    while now_ms() < outage_ms + OUTAGE_MS + 1000.0:
        answers.append(await client.ask(LANE, NAME, WAIT_MS))
        await asyncio.sleep(0.04)
    await asyncio.gather(*tasks)
    for sent in answers:
        if sent.code == SERVED and sent.body == case.truth.body(NAME, "0", 1):
            case.record.fault(
                f"request {sent.fields['i']}, sent {sent.sent_ms - purged_ms:.0f} ms after the purge and"
                f" {sent.sent_ms - told_ms:.0f} ms after it counts as told, got the bytes from before it"
            )
    case.record.add(f"{sum(s.code == SERVED for s in answers)} of {len(answers)} requests served")
    await client.close()


sys.exit(play(Case(Path(__file__).resolve().parent, "clinic-content", {}), run))
