"""The two builds of the gateway that are compared, and the processes that run their code."""

import asyncio
import os
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
COMMAND_TIMEOUT_S = 30.0  # for one command of a build
STREAM_LIMIT_BYTES = 1 << 20  # the longest line that is read from a process
IMPORT_PROGRAM = (
    "import hitchtiller.cli.main, pathlib; print(pathlib.Path(hitchtiller.__file__).resolve().parent)"
)


class UnusableBuildError(Exception):
    """A folder that is no build of the gateway."""


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The exit code and the output of a command that has ended."""

    code: int
    out: str
    err: str


@dataclass(frozen=True, slots=True)
class Build:
    """One build of the gateway: its sources and the interpreter that runs them."""

    label: str
    folder: Path
    python: str

    def environment(self, temporary: Path, **more: str) -> dict[str, str]:
        """Return the environment variables of a process.

        The build's folder precedes installed packages in the search path of modules.
        """
        base = {"PATH": os.environ["PATH"], "PYTHONPATH": str(self.folder), "TMPDIR": str(temporary)}
        return base | more


@dataclass(slots=True)
class Processes:
    """All processes that this run has started, so that each of them can be ended."""

    folder: Path
    started: list[asyncio.subprocess.Process] = field(default_factory=list)

    async def start(
        self, build: Build, arguments: Iterable[str], environment: dict[str, str], fds: tuple[int, ...] = ()
    ) -> asyncio.subprocess.Process:
        """Start the build's interpreter with pipes on all three standard streams."""
        pipe = asyncio.subprocess.PIPE
        child = await asyncio.create_subprocess_exec(
            build.python, *arguments, cwd=build.folder, env=environment, pass_fds=fds,
            stdin=pipe, stdout=pipe, stderr=pipe, limit=STREAM_LIMIT_BYTES,
        )  # fmt: skip
        self.started.append(child)
        return child

    async def run(
        self, build: Build, *arguments: str, input_text: str = "", **environment: str
    ) -> CommandResult:
        """Run the build's interpreter until it ends, and return its result."""
        child = await self.start(build, arguments, build.environment(self.folder, **environment))
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            out, err = await child.communicate(input_text.encode())
        return CommandResult(child.returncode or 0, out.decode(), err.decode())

    async def run_tool(self, build: Build, *arguments: str) -> CommandResult:
        """Run a command of the build's command line, and return its result."""
        return await self.run(build, "-m", "hitchtiller.cli", *arguments)

    async def end_all(self) -> None:
        """Kill each process that still runs."""
        for child in self.started:
            if child.returncode is None:
                child.kill()
                await child.wait()


async def find_build(processes: Processes, label: str, folder: Path) -> Build:
    """Return the build in a folder; raise UnusableBuildError if there is none."""
    if not folder.is_dir():
        raise UnusableBuildError(f"{folder}: no such folder")
    if not (folder / "hitchtiller" / "__main__.py").is_file():
        raise UnusableBuildError(f"{folder}: not a build: there is no hitchtiller/__main__.py")
    own_python = folder / ".venv" / "bin" / "python"
    build = Build(label, folder, str(own_python) if own_python.exists() else sys.executable)
    result = await processes.run(build, "-c", IMPORT_PROGRAM)
    if result.code or Path(result.out.strip()) != folder / "hitchtiller":
        last_line = (result.err.strip() or result.out.strip()).splitlines()[-1:]
        reason = f"{build.python} does not import it: {' '.join(last_line)}"
        raise UnusableBuildError(f"{folder}: not a build: {reason}")
    return build
