"""`hitchtiller demo`: runs a gateway with both tiers among stand-ins and shows what serves each request."""

import asyncio
import shutil
import sys
from typing import Any

from hitchtiller.cli import show

HIT_KINDS = ("memory", "disk", "joined")


async def _request_and_trace(rig: Any, client: Any, number: int, key: int, note: str) -> dict[str, Any]:
    """Send one request and return its row of the table.

    The change of the gateway's figures and of the stand-ins' counts of PULLs shows what served it.
    """
    before, pulls = await rig.figures(), [server.pulls for server in rig.caches]
    answered = await client.read("files", key)
    after = await rig.figures()
    way = next(
        (kind for kind in HIT_KINDS if after[f"store.hits.{kind}"] > before[f"store.hits.{kind}"]),
        "",
    )
    for index, server in enumerate(rig.caches):
        if server.pulls > pulls[index]:
            way = f"station cache s-{index:08x}"
    return {
        "request": number,
        "object": f"{key:04x}",
        "answer": {0: "served", 11: "refused"}.get(answered.code, "failed") if answered else "lost",
        "way": way or "?",
        "bytes": len(answered.body) if answered else 0,
        "ms": round(answered.received_ms - answered.sent_ms, 1) if answered else 0.0,
        "note": note or ("unchanged" if answered and answered.fields.get("unchanged") else ""),
    }


async def _run_demo(requests: int, seed: int) -> tuple[list[dict[str, Any]], list[str]]:
    """Start the gateway and its stand-ins, send the requests, and return their rows and all wrong results.

    The requests ask for four objects in turn; before the seventh, which asks for object 3, that is purged.
    """
    from standins.rig import Rig
    from standins.truth import now_ms

    rig = Rig(seed)
    rig.disk()
    await rig.start()
    rows: list[dict[str, Any]] = []
    try:
        await rig.launch()
        await rig.logged("store open")
        client = await rig.terminal()
        for number in range(1, requests + 1):
            key, note = 1 + (number - 1) % 4, ""
            if number == 7:
                rig.truth.purge(3, -1, now_ms())
                await asyncio.sleep(0.1)
                note = "0003 was purged before"
                key = 3
            rows.append(await _request_and_trace(rig, client, number, key, note))
        client.close()
        code = await rig.terminate()
        if code:
            rig.verdicts.wrong.append(f"the gateway ended with {code}")
    finally:
        await rig.kill()
        shutil.rmtree(rig.folder, ignore_errors=True)
    return rows, rig.verdicts.wrong


def demo(requests: int, seed: int, as_json: bool) -> int:
    """Run the demo and print its rows; return 1 if an answer was wrong or missing, or was not `served`."""
    rows, wrong = asyncio.run(_run_demo(requests, seed))
    if as_json:
        show.print_json({"requests": rows, "wrong": wrong})
    else:
        show.print_table("the way of each request", list(rows[0]), [list(row.values()) for row in rows])
        verdict = "wrong" if wrong else "right"
        print(f"every answer was compared with what the head office would have given: {verdict}")
    for line in wrong:
        print(line, file=sys.stderr)
    return 1 if wrong or any(row["answer"] != "served" for row in rows) else 0
