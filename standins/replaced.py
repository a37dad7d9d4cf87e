"""A server dies under an effect, and another process comes up at its address before the list tells.

    python -m standins.replaced --rounds 10 --seed 1

The class is keyed, and a key is known in one cell only; the new process belongs to another cell. The exit
code is 1 if an effect arrived at the new process after it may have run at the old one.
"""

import asyncio
import random
import shutil
from collections.abc import Callable
from typing import Any

import click

from hitchtiller.codec import resp
from standins.crowd import large_rig
from standins.rig import REPLAY_MS, settings

KEYED_CLASS = "card-lock"
EFFECTS_AT_ONCE = 8
DEADLINE_MS = 2_500.0


class ScriptedProcess:
    """A server process at a given port that answers, or dies with its first request in hand."""

    def __init__(self, name: str, on_effect: Callable[[str, str], None], dies: bool) -> None:
        """Prepare; `on_effect` is called with this name and the key of each effect that arrives."""
        self.name, self.on_effect, self.dies = name, on_effect, dies
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.died = asyncio.Event()

    async def start(self, port: int) -> int:
        """Listen on a port, 0 for a free one; return it."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return int(self.server.sockets[0].getsockname()[1])

    def die(self) -> None:
        """Stop listening and reset all connections."""
        if self.server:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.died.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        commands = resp.RespReader()
        self.writers.add(writer)
        try:
            while data := await reader.read(65_536):
                for command, name, *rest in commands.feed(data):
                    if command == b"PULL":
                        self._pull(writer, name, resp.read_fields(rest[0]))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _pull(self, writer: asyncio.StreamWriter, name: bytes, fields: dict[str, str]) -> None:
        if "dedupe" in fields:
            self.on_effect(self.name, fields["dedupe"])
            if self.dies:
                asyncio.get_running_loop().call_later(0.01, self.die)
                return
        writer.write(resp.write_command(name, b"DONE", b"rev=1,since=1", b"x"))


def settings_with_keyed_class() -> dict[str, Any]:
    """Return the rig's settings with one more class, whose keys are known within one cell."""
    setup = settings()
    setup["classes"].append(
        {"name": KEYED_CLASS, "aim_ms": 800.0, "deadline_ms": DEADLINE_MS, "effect": "by_key",
         "key_scope": "cell", "repeat_window_ms": 6000.0}
    )  # fmt: skip
    info = setup["family_info"]
    info |= {"uncached": [*info["uncached"], True], "gone_everywhere_ms": REPLAY_MS}
    return setup


async def run_round(seed: int) -> list[str]:
    """Replace the only cache under some effects; return the keys that ran in two cells."""
    rig, arrived = large_rig(seed, 64), dict[str, set[str]]()

    def on_effect(process: str, key: str) -> None:
        arrived.setdefault(key, set()).add(process)

    old, new = ScriptedProcess("old", on_effect, True), ScriptedProcess("new", on_effect, False)
    rig.config["settings"] = settings_with_keyed_class()
    rig.caches = rig.caches[:1]
    rig.caches[0].port = await old.start(0)
    await rig.start()
    try:
        await rig.launch()
        client, rng = await rig.terminal(), random.Random(seed)
        effects = [
            asyncio.create_task(
                client.effect(KEYED_CLASS, n, f"{rng.getrandbits(128):032x}", wait_ms=DEADLINE_MS)
            )
            for n in range(EFFECTS_AT_ONCE)
        ]
        await asyncio.wait_for(old.died.wait(), 10.0)
        await new.start(rig.caches[0].port)
        await asyncio.gather(*effects)
        if rig.verdicts.wrong:
            raise AssertionError(rig.verdicts.wrong)
    finally:
        await rig.kill()
        old.die()
        new.die()
        shutil.rmtree(rig.folder, ignore_errors=True)
    return [key for key, processes in arrived.items() if len(processes) > 1]


@click.command()
@click.option("--rounds", default=10, show_default=True, type=click.IntRange(1, 100))
@click.option("--seed", default=1, show_default=True)
def main(rounds: int, seed: int) -> None:
    """Replace servers under effects and print the effects that ran twice."""
    twice = [key for number in range(rounds) for key in asyncio.run(run_round(seed + number))]
    click.echo(f"{rounds} rounds of {EFFECTS_AT_ONCE} effects, {len(twice)} ran in two cells")
    raise SystemExit(bool(twice))


if __name__ == "__main__":
    main()
