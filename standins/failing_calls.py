"""A gateway process in which calls of one function raise an exception, as a fault in the program would.

    python -m standins.failing_calls --target hitchtiller.ops.upgrade:Upgrade.poll --first 3 --times 1

The words behind `--` go to the gateway's command line. `--times 0` makes all calls from the first on fail.
"""

import argparse
import importlib
import sys
from collections.abc import Callable
from itertools import count
from typing import Any


class InjectedError(RuntimeError):
    """The exception that the calls raise."""


def fail_calls(target: str, first: int, times: int) -> None:
    """Let calls of a function fail, given as MODULE:NAME or MODULE:CLASS.NAME; they count from 1."""
    module_name, _, path = target.partition(":")
    owner: Any = importlib.import_module(module_name)
    *class_names, name = path.split(".")
    for class_name in class_names:
        owner = getattr(owner, class_name)
    function: Callable[..., Any] = getattr(owner, name)
    numbers = count(1)

    def call(*args: Any, **names: Any) -> Any:
        number = next(numbers)
        if number >= first and (not times or number < first + times):
            raise InjectedError(f"call {number} of {target}")
        return function(*args, **names)

    setattr(owner, name, call)


def main() -> int:
    """Let the calls fail and run the gateway."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--target", required=True, help="MODULE:NAME or MODULE:CLASS.NAME")
    parser.add_argument("--first", type=int, default=1, help="number of the first call that fails")
    parser.add_argument("--times", type=int, default=1, help="how many fail; 0: all from the first on")
    parser.add_argument("words", nargs="*", help="of the gateway's command line, behind --")
    options = parser.parse_args()
    fail_calls(options.target, options.first, options.times)
    from hitchtiller.__main__ import main as run_gateway

    sys.argv[1:] = options.words
    return run_gateway()


if __name__ == "__main__":
    sys.exit(main())
