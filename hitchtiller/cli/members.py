"""`hitchtiller members ADDRESS...`: what several gateways believe of one another, and where they disagree.

Each address is a gateway's control; it is asked `members` as on-call staff would. Exit codes: 0 all agree, 1
they disagree or one did not answer, 2 none answered or an address is no address.
"""

import re
import socket
import time
from dataclasses import dataclass, field

import click
from rich.console import Console
from rich.live import Live
from rich.table import Table

from hitchtiller.cli.show import as_json as print_json

ADDRESS = re.compile(r"(?P<host>[0-9.]+):(?P<port>[0-9]{1,5})\Z")
PATIENCE_S, MOST = 2.0, 1 << 20


@dataclass
class Seen:
    """One gateway's answer; `problem` where there was none."""

    address: str
    problem: str = ""
    standing: str = ""
    states: dict[int, str] = field(default_factory=dict)
    since_s: dict[int, str] = field(default_factory=dict)
    said: dict[int, str] = field(default_factory=dict)


def read_answer(address: str, text: str) -> Seen:
    """Read an answer to `members`: NUMBER|STATE|INCARNATION|SECONDS|SAID BY, then standing|NAME."""
    seen = Seen(address)
    for line in text.splitlines():
        words = line.split("|")
        if len(words) == 5 and words[0].isdecimal():
            number = int(words[0])
            seen.states[number], seen.since_s[number], seen.said[number] = words[1], words[3], words[4]
        elif words[0] == "standing" and len(words) == 2:
            seen.standing = words[1]
    if not seen.states:
        first = text.splitlines()[0] if text.strip() else "nothing"
        seen.problem = f"answered {first[:60]!r}; is membership on there?"
    return seen


def ask(address: str) -> Seen:
    """Ask one gateway."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), PATIENCE_S) as sock:
            sock.sendall(b"members\n")
            data = b""
            while (more := sock.recv(65_536)) and len(data) < MOST:
                data += more
    except OSError as error:
        return Seen(address, f"no answer: {error}")
    return read_answer(address, data.decode("utf-8", "replace"))


def disagree(views: list[Seen]) -> set[int]:
    """Give the numbers of which those that answered believe different things."""
    answered = [seen for seen in views if not seen.problem]
    numbers = {number for seen in answered for number in seen.states}
    return {n for n in numbers if len({seen.states.get(n) for seen in answered}) > 1}


def shown(views: list[Seen]) -> Table:
    """Draw a table: a row a member, a column a gateway that was asked."""
    apart = disagree(views)
    table = Table(title=f"members, {len(apart)} of which views differ", title_justify="left")
    table.add_column("member", justify="right")
    for seen in views:
        table.add_column(seen.address)
    for number in sorted({n for seen in views for n in seen.states}):
        cells = []
        for seen in views:
            state = seen.states.get(number, "-")
            age = seen.since_s.get(number, "-")
            cells.append(state if age == "-" else f"{state} {age} s by {seen.said[number]}")
        mark = " !" if number in apart else ""
        table.add_row(f"{number}{mark}", *cells, style="bold red" if mark else None)
    table.add_row("standing", *(seen.problem or seen.standing for seen in views))
    return table


def code(views: list[Seen]) -> int:
    """Give the exit code."""
    if all(seen.problem for seen in views):
        return 2
    return 1 if disagree(views) or any(seen.problem for seen in views) else 0


def members(addresses: tuple[str, ...], watch: bool, every_s: float, as_json: bool) -> int:
    """Ask once, or again and again until interrupted."""
    for address in addresses:
        if not (found := ADDRESS.match(address)) or int(found["port"]) > 0xFFFF:
            click.echo(f"hitchtiller: {address!r} is no address; write 127.0.0.1:7109", err=True)
            return 2
    views = [ask(address) for address in addresses]
    if as_json:
        print_json({"differ": sorted(disagree(views)), "views": [
            {"address": s.address, "problem": s.problem, "standing": s.standing,
             "members": {str(n): state for n, state in s.states.items()}} for s in views
        ]})  # fmt: skip
        return code(views)
    if not watch:
        Console(width=None if Console().is_terminal else 160).print(shown(views))
        return code(views)
    try:
        with Live(shown(views), auto_refresh=False) as live:
            while True:
                time.sleep(every_s)
                views = [ask(address) for address in addresses]
                live.update(shown(views), refresh=True)
    except KeyboardInterrupt:
        return code(views)
