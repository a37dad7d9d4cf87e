"""`hitchtiller check FILE`: checks an operators' file and prints its problems."""

import sys
from pathlib import Path

import msgspec

from hitchtiller.operator.read import InvalidFileError, read_file


def check(file: Path, as_json: bool) -> int:
    """Print the problems of a file; return 0 if it has none, 1 if it has any, 2 if it can't be read."""
    try:
        settings = read_file(file)
    except OSError as error:
        print(f"hitchtiller: {file}: {error.strerror}", file=sys.stderr)
        return 2
    except InvalidFileError as error:
        if as_json:
            problems = [{"line": p.line, "what": p.what, "instead": p.instead} for p in error.problems]
            print(msgspec.json.encode({"file": str(file), "problems": problems}).decode())
        else:
            print(error)
        return 1
    if as_json:
        print(msgspec.json.encode({"file": str(file), "problems": [], "settings": settings}).decode())
    else:
        print(f"{file}: good; store {'on' if settings.store else 'off'}")
    return 0
