"""Checks of the platform's configuration (A6): unusable ones, and the example."""

import json
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

from standins.compatibility.builds import Build, CommandResult
from standins.compatibility.checks import Trial, expect
from standins.compatibility.environment import StandInEnvironment, example
from standins.compatibility.gateway import LOOPBACK, Gateway

BAD_CONFIG_CODE = 2  # exit code of a gateway whose configuration is unusable
EXAMPLE_SEED = 9
# Quoted texts, numbers, and names of settings in a line of error.
TOKEN = re.compile(r"'[^']*'|\"[^\"]*\"|-?\d+(?:\.\d+)?|\w*_\w+")

Change = Callable[[dict[str, Any]], object]
# Texts of configurations that are no JSON object: name, text, texts of the error.
MALFORMED: tuple[tuple[str, str, tuple[str, ...]], ...] = (
    ("no JSON", "{", ("not JSON",)),
    ("no object", "[]", ("not an object",)),
)
# Changes that make the example unusable: name, change, texts of the error.
CHANGES: tuple[tuple[str, Change, tuple[str, ...]], ...] = (
    ("without bus", lambda config: config.pop("bus"), ("'bus'",)),
    ("without settings", lambda config: config.pop("settings"), ("'settings'",)),
    ("bad address", lambda config: config.update(listen="127.0.0.1"), ("'127.0.0.1'",)),
    ("bad number", lambda config: config["settings"].update(my_number=3), ("my_number", "3", "1")),
    ("unknown zone", lambda config: config["settings"].update(my_zone="west"), ("my_zone", "'west'")),
    ("no classes", lambda config: config["settings"].update(classes=[]), ("classes",)),
    (
        "negative rate",
        lambda config: config["settings"]["family_info"].update(stream_kb_per_s=-5),
        ("flow_kb_per_s", "-5"),
    ),
    (
        "unknown effect",
        lambda config: config["settings"]["classes"][0].update(effect="twice"),
        ("'files'", "'twice'"),
    ),
    (
        "short list",
        lambda config: config["settings"]["family_info"].update(hub_of=[0]),
        ("hub_of", "[0]", "2"),
    ),
    (
        "missing peers",
        lambda config: config["settings"]["limits"].update(peers=True),
        ("0 peers", "1 gateways"),
    ),
    (
        "bad event",
        lambda config: config["known"]["batch"].append({"offset": 2, "ban": {"url": "zz", "ts": 1}}),
        ("known", "'zz'"),
    ),
)


def bad_configs() -> list[tuple[str, str, tuple[str, ...]]]:
    """Return unusable configurations: a name, the text, and the texts that the error contains."""
    cases = list(MALFORMED)
    for name, change, texts in CHANGES:
        config = example()
        change(config)
        cases.append((name, json.dumps(config), texts))
    return cases


def expect_refused(build: Build, result: CommandResult, texts: tuple[str, ...]) -> None:
    """Check that a build has ended with one line of error that contains these texts."""
    expect(f"exit code of the {build.label} build", BAD_CONFIG_CODE, result.code)
    expect(f"lines of the {build.label} build", 1, len(result.err.splitlines()))
    missing = [text for text in texts if text not in result.err]
    expect(f"texts that the error of the {build.label} build lacks ({result.err!r})", [], missing)


async def expect_same_refusal(trial: Trial, path: Path, texts: tuple[str, ...]) -> None:
    """Check that both builds refuse a configuration, and name the same places and values."""
    tokens = []
    results = [
        await trial.processes.run(build, "-m", "hitchtiller", BALANCER_CONFIG=str(path))
        for build in trial.builds
    ]
    for build, result in zip(trial.builds, results, strict=True):
        expect_refused(build, result, texts)
        tokens.append((str(path) in result.err, TOKEN.findall(result.err)))
    expect("places and values named by the newer build", tokens[0], tokens[1])


async def check_bad_configs_are_refused(trial: Trial) -> None:
    """Check that both builds refuse unusable configurations with the same line of error."""
    folder = trial.new_folder("configs")
    for name, text, texts in bad_configs():
        async with trial.report.check(f"A6 configuration, {name}") as details:
            path = folder / "config.json"
            path.write_text(text)
            await expect_same_refusal(trial, path, texts)
            details.append(f"exit code {BAD_CONFIG_CODE}, {texts[0]} told")


async def run_example(trial: Trial, build: Build, environment: StandInEnvironment) -> list[str]:
    """Run a gateway with the example's configuration, and return the sorted names of its figures."""
    gateway = Gateway(build, 0, trial.new_folder("example"))
    await gateway.start(trial.processes, example() | {"bus": f"{LOOPBACK}:{environment.bus.port}"}, "")
    names = sorted(await gateway.figures())
    expect(f"exit code of the {build.label} build", 0, await gateway.terminate())
    return names


async def check_example_config_runs(trial: Trial) -> None:
    """Check that both builds run with the example's configuration, and have figures of the same names."""
    async with trial.report.check("A6 configuration, examples/config.json") as details:
        environment = StandInEnvironment(EXAMPLE_SEED)
        await environment.start()
        old, new = [await run_example(trial, build, environment) for build in trial.builds]
        expect("names of the newer build's figures", old, new)
        details.append(f"exit code 0, {len(old)} figures")
