"""`hitchtiller members ADDRESS...`: compares the states in which several gateways hold the fleet's members.

Each address is that of a gateway's control port, to which the command sends the call `members`. Exit codes:
0 all agree, 1 they disagree or one did not answer, 2 none answered or an address is invalid.
"""

import re
import socket
import time
from dataclasses import dataclass, field

import click
from rich.console import Console
from rich.live import Live
from rich.table import Table

from hitchtiller.cli.show import print_json

ADDRESS = re.compile(r"(?P<host>[0-9.]+):(?P<port>[0-9]{1,5})\Z")
TIMEOUT_S, MAX_ANSWER_BYTES = 2.0, 1 << 20


@dataclass
class GatewayView:
    """One gateway's view of the members, by member number; `problem` says why there is none.

    `age_s` holds the seconds since the state began as text, "-" if unknown; `reporter` is the gateway that
    reported the state.
    """

    address: str
    problem: str = ""
    standing: str = ""
    states: dict[int, str] = field(default_factory=dict)
    age_s: dict[int, str] = field(default_factory=dict)
    reporter: dict[int, str] = field(default_factory=dict)


def read_answer(address: str, text: str) -> GatewayView:
    """Parse an answer to `members`: lines of NUMBER|STATE|INCARNATION|SECONDS|REPORTER, and standing|NAME."""
    view = GatewayView(address)
    for line in text.splitlines():
        fields = line.split("|")
        if len(fields) == 5 and fields[0].isdecimal():
            number = int(fields[0])
            view.states[number], view.age_s[number], view.reporter[number] = fields[1], fields[3], fields[4]
        elif fields[0] == "standing" and len(fields) == 2:
            view.standing = fields[1]
    if not view.states:
        first_line = text.splitlines()[0] if text.strip() else "nothing"
        view.problem = f"answered {first_line[:60]!r}; is membership on there?"
    return view


def query_gateway(address: str) -> GatewayView:
    """Send `members` to one gateway and return its view; a failed connection is its `problem`."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
            sock.sendall(b"members\n")
            data = b""
            while (chunk := sock.recv(65_536)) and len(data) < MAX_ANSWER_BYTES:
                data += chunk
    except OSError as error:
        return GatewayView(address, f"no answer: {error}")
    return read_answer(address, data.decode("utf-8", "replace"))


def find_disagreements(views: list[GatewayView]) -> set[int]:
    """Return the members whose state differs between the gateways that answered."""
    answered = [view for view in views if not view.problem]
    numbers = {number for view in answered for number in view.states}
    return {n for n in numbers if len({view.states.get(n) for view in answered}) > 1}


def build_table(views: list[GatewayView]) -> Table:
    """Return a table with a row for each member and a column for each gateway asked."""
    differing = find_disagreements(views)
    table = Table(title=f"members, {len(differing)} of which views differ", title_justify="left")
    table.add_column("member", justify="right")
    for view in views:
        table.add_column(view.address)
    for number in sorted({n for view in views for n in view.states}):
        cells = []
        for view in views:
            state = view.states.get(number, "-")
            age = view.age_s.get(number, "-")
            cells.append(state if age == "-" else f"{state} {age} s by {view.reporter[number]}")
        marker = " !" if number in differing else ""
        table.add_row(f"{number}{marker}", *cells, style="bold red" if marker else None)
    table.add_row("standing", *(view.problem or view.standing for view in views))
    return table


def exit_code(views: list[GatewayView]) -> int:
    """Return the exit code for these views."""
    if all(view.problem for view in views):
        return 2
    return 1 if find_disagreements(views) or any(view.problem for view in views) else 0


def members(addresses: tuple[str, ...], watch: bool, every_s: float, as_json: bool) -> int:
    """Ask the gateways and print their views, once or repeatedly until interrupted."""
    for address in addresses:
        if not (parsed := ADDRESS.match(address)) or int(parsed["port"]) > 0xFFFF:
            click.echo(
                f"hitchtiller: {address!r} is not an address; write HOST:PORT, as 127.0.0.1:7109", err=True
            )
            return 2
    views = [query_gateway(address) for address in addresses]
    if as_json:
        print_json({"differ": sorted(find_disagreements(views)), "views": [
            {"address": s.address, "problem": s.problem, "standing": s.standing,
             "members": {str(n): state for n, state in s.states.items()}} for s in views
        ]})  # fmt: skip
        return exit_code(views)
    if not watch:
        Console(width=None if Console().is_terminal else 160).print(build_table(views))
        return exit_code(views)
    try:
        with Live(build_table(views), auto_refresh=False) as live:
            while True:
                time.sleep(every_s)
                views = [query_gateway(address) for address in addresses]
                live.update(build_table(views), refresh=True)
    except KeyboardInterrupt:
        return exit_code(views)
