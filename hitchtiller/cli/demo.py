"""`hitchtiller demo`: a gateway with both tiers among stand-ins in one command; each request's way."""

import asyncio
import shutil
import sys
from typing import Any

from hitchtiller.cli import show

STEPS = ("memory", "disk", "joined")


async def _ask(rig: Any, terminal: Any, number: int, key: int, note: str) -> dict[str, Any]:
    """Ask once, and tell from the figures and the stand-ins which way it went."""
    before, pulls = await rig.figures(), [server.pulls for server in rig.caches]
    got = await terminal.read("files", key)
    after = await rig.figures()
    way = next((step for step in STEPS if after[f"store.hits.{step}"] > before[f"store.hits.{step}"]), "")
    for place, server in enumerate(rig.caches):
        if server.pulls > pulls[place]:
            way = f"station cache s-{place:08x}"
    return {
        "request": number,
        "object": f"{key:04x}",
        "answer": {0: "served", 11: "refused"}.get(got.code, "failed") if got else "lost",
        "way": way or "?",
        "bytes": len(got.body) if got else 0,
        "ms": round(got.received_ms - got.sent_ms, 1) if got else 0.0,
        "note": note or ("unchanged" if got and got.fields.get("unchanged") else ""),
    }


async def _play(requests: int, seed: int) -> tuple[list[dict[str, Any]], list[str]]:
    from standins.rig import Rig
    from standins.truth import now_ms

    rig = Rig(seed)
    rig.disk()
    await rig.start()
    rows: list[dict[str, Any]] = []
    try:
        await rig.launch()
        await rig.logged("store open")
        terminal = await rig.terminal()
        for number in range(1, requests + 1):
            key, note = 1 + (number - 1) % 4, ""
            if number == 7:
                rig.truth.purge(3, -1, now_ms())
                await asyncio.sleep(0.1)
                note = "0003 was purged before"
                key = 3
            rows.append(await _ask(rig, terminal, number, key, note))
        terminal.close()
        code = await rig.terminate()
        if code:
            rig.verdicts.wrong.append(f"the gateway ended with {code}")
    finally:
        await rig.kill()
        shutil.rmtree(rig.folder, ignore_errors=True)
    return rows, rig.verdicts.wrong


def demo(requests: int, seed: int, as_json: bool) -> int:
    """Play it; 1 if an answer was wrong or did not come."""
    rows, wrong = asyncio.run(_play(requests, seed))
    if as_json:
        show.as_json({"requests": rows, "wrong": wrong})
    else:
        show.table("the way of each request", list(rows[0]), [list(row.values()) for row in rows])
        verdict = "wrong" if wrong else "right"
        print(f"every answer was compared with what the head office would have given: {verdict}")
    for line in wrong:
        print(line, file=sys.stderr)
    return 1 if wrong or any(row["answer"] != "served" for row in rows) else 0
