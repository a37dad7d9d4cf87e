"""The first lookup after a planned restart, while terminals download a release: do they get their answers?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from parties import Case, Client, now_ms, play

FILES, FILES_WAIT_MS = "terminal-files", 5000.0
LOOKUPS, LOOKUPS_WAIT_MS = "card-lookups", 2500.0
RELEASE = [f"7f3a9c21e0b4{index:04x}" for index in range(24)]
SIZE, MEMORY_MB = 240_000, 64
ANSWER_MS = 120.0  # of every server
TERMINALS, DOWNLOAD_S, LOOKUP_AFTER_S = 10, 2.0, 1.0


async def download(case: Case, number: int, until_ms: float) -> tuple[int, int]:
    """Ask for the parts in turn, one at a time; return how many requests were sent and how many lost."""
    client = await Client(case, f"terminal {number}").open()
    sent_count = lost_count = 0
    while now_ms() < until_ms:
        if client.ended:
            client = await Client(case, f"terminal {number}").open()
        part = RELEASE[(5 * number + sent_count) % len(RELEASE)]
        sent = await client.ask(FILES, part, FILES_WAIT_MS)
        sent_count += 1
        if sent.code is None:
            lost_count += 1
            case.record.fault(
                f"terminal {number}: request {sent.fields['i']} has no answer;"
                f" its connection is {client.ended or 'open'}"
            )
    await client.close()
    return sent_count, lost_count


async def run(case: Case) -> None:
    """Ask for an object of each class, restart, and ask for a lookup during the download of a release."""
    for server in case.servers:
        server.answer_ms = ANSWER_MS
    await case.warm_up(FILES, ["00000000000000a1"], FILES_WAIT_MS)
    await case.warm_up(LOOKUPS, ["00000000000000b1"], LOOKUPS_WAIT_MS)
    if case.trouble:
        await case.restart()
    await case.warm_up(FILES, RELEASE, FILES_WAIT_MS)
    until_ms = now_ms() + DOWNLOAD_S * 1000.0
    downloads = [asyncio.ensure_future(download(case, n, until_ms)) for n in range(TERMINALS)]
    await asyncio.sleep(LOOKUP_AFTER_S)
    counter = await Client(case, "counter").open()
    lookup = await counter.ask(LOOKUPS, "00000000000000b2", LOOKUPS_WAIT_MS)
    case.record.add(f"the lookup ended with code {lookup.code}")
    counts = await asyncio.gather(*downloads)
    sent_count, lost_count = (sum(column) for column in zip(*counts, strict=True))
    case.record.add(f"{sent_count} requests by terminals, {lost_count} without an answer")
    print(f"{sent_count} requests by terminals, {lost_count} without an answer")
    await counter.close()


sizes = dict.fromkeys(RELEASE, SIZE)
sys.exit(play(Case(Path(__file__).resolve().parent, "ortega-estaciones", sizes, memory_mb=MEMORY_MB), run))
