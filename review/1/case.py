"""A spoilt answer whose array length does not fit: does any client get other bytes than the object's?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from parties import SERVED, Case, Client, Pull, Sent, play, resp

LANE, WAIT_MS = "terminal-files", 5000.0
OBJECTS, SPOIL_ONE_IN = 60, 20


async def run(case: Case) -> None:
    """Ask for objects, each by two clients one after the other, while some good answers arrive spoilt."""
    good_answers = 0

    async def spoil(pull: Pull, answer: list[bytes], writer: asyncio.StreamWriter) -> bool:
        nonlocal good_answers
        if answer[1] != b"DONE":
            return False
        good_answers += 1
        if good_answers % SPOIL_ONE_IN:
            return False
        case.record.add(
            f"the answer to {pull.id} arrives spoilt: the array's length is 3, four strings follow"
        )
        writer.write(resp(*answer).replace(b"*4\r\n", b"*3\r\n", 1))
        return True

    if case.trouble:
        for server in case.servers:
            server.spoil = spoil
    clients = [await Client(case, name).open() for name in ("client A", "client B")]
    answers: list[tuple[str, Sent]] = []
    for client in clients:
        for index in range(OBJECTS):
            name = f"7f3a9c21e0b4{index:04x}"
            answers.append((client.name, await client.ask(LANE, name, WAIT_MS)))
    for client_name, sent in answers:
        name = sent.fields["o"]
        if sent.code == SERVED and sent.body != case.truth.body(name, "0", case.truth.version(name)):
            case.record.fault(
                f"{client_name} was served {len(sent.body)} bytes for {name}, not its {case.truth.size(name)}"
            )
    served = sum(sent.code == SERVED for _, sent in answers)
    case.record.add(f"{served} of {len(answers)} requests served, {good_answers} answers by servers")
    for client in clients:
        await client.close()


sys.exit(play(Case(Path(__file__).resolve().parent, "ortega-estaciones", {}), run))
