"""Reads the operators' file (HCL) into models, or reports problems with their lines and the remedies.

A check goes through the whole file and reports all invalid settings at once; text that can't be parsed is
reported alone. A file with any problem gives no settings at all, so that no gateway starts with half of a
file. The file holds plain values only: expressions of HCL are refused. Checks between several settings run
once each setting is valid by itself.
"""

import difflib
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import hcl2.api
import hcl2.parser
import msgspec
from lark import Tree
from lark.exceptions import UnexpectedInput
from msgspec import inspect as types

from hitchtiller.operator.model import File, Store

HCL_PARSER = hcl2.parser.hcl2
Model = TypeVar("Model", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault in a file: its place, what is wrong, and what to write instead."""

    file: str
    line: int
    what: str
    instead: str

    def __str__(self) -> str:
        """Return it on one line in the form of a compiler's message, `file:line: what; instead`."""
        return f"{self.file}:{self.line}: {self.what}; {self.instead}"


class InvalidFileError(Exception):
    """Raised for a file that can't be used; `problems` are in the order of their lines."""

    def __init__(self, problems: list[Problem]) -> None:
        """Make an error whose text has one line for each problem."""
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class Setting:
    """An attribute or a block of the file: its name, labels and line, and its value or its contents.

    An attribute has a `value`; a block has its attributes and blocks in `children`, which is None for an
    attribute.
    """

    name: str
    labels: tuple[str, ...]
    line: int
    value: Any = None
    children: tuple["Setting", ...] | None = None


def read_file(path: Path) -> File:
    """Read and check the operators' file.

    Raises InvalidFileError with all problems if it is not valid, and OSError if it can't be read.
    """
    try:
        text = path.read_text()
    except UnicodeDecodeError:
        raise InvalidFileError([Problem(str(path), 1, "the file is not text", "write it in UTF-8")]) from None
    return read_text(text, str(path))


def read_text(text: str, name: str = "gateway.hcl") -> File:
    """Read and check the text of an operators' file; `name` stands for the file in the problems."""
    return read_model(
        File, text, name, lambda values, settings: _check_store(values.get("store"), settings, name)
    )


def read_model(
    model: type[Model], text: str, name: str,
    check_relations: Callable[[dict[str, Any], tuple[Setting, ...]], list[Problem]] = (
        lambda values, settings: []
    ),
) -> Model:  # fmt: skip
    """Read and check the text of an HCL file against a model.

    `check_relations` gets the plain values and the settings of the file, and returns the problems that
    concern several settings together. It is only called if each setting is valid by itself.
    """
    try:
        tree = HCL_PARSER.parse(text + "\n")
        body = next(node for node in _iterate_topdown(tree) if node.data == "body")
        settings = tuple(_read_settings(body, text))
    except UnexpectedInput as error:
        lines = text.splitlines() or [""]
        line = max(1, min(getattr(error, "line", 1), len(lines)))
        excerpt = lines[line - 1].strip()
        what = f"this is not HCL, near {excerpt[:60]!r}"
        raise InvalidFileError(
            [Problem(name, line, what, 'write settings as name = value, blocks as name "label" { }')]
        ) from None
    problems: list[Problem] = []
    values = _check_struct(model, settings, 1, name, "the file", problems)
    if not problems:
        problems += check_relations(values, settings)
    if problems:
        raise InvalidFileError(sorted(problems, key=lambda problem: problem.line))
    return msgspec.convert(values, model)


def _iterate_topdown(tree: Tree[Any]) -> Iterator[Tree[Any]]:
    """Iterate over a tree and its subtrees from the root down; the only call of an untyped method of lark."""
    return tree.iter_subtrees_topdown()  # type: ignore[no-any-return, no-untyped-call]


def _read_settings(body: Tree[Any], text: str) -> Iterator[Setting]:
    """Read the attributes and blocks of a body in their order; `text` is the text of the whole file."""
    for node in body.children:
        if not isinstance(node, Tree) or node.data not in ("attribute", "block"):
            continue
        name = (
            str(node.children[0].children[0]) if isinstance(node.children[0], Tree) else str(node.children[0])
        )
        line = node.meta.line
        if node.data == "attribute":
            source = text[node.meta.start_pos : node.meta.end_pos]
            yield Setting(name, (), line, _parse_value(source))
        else:
            labels = tuple(
                str(child.children[0] if isinstance(child, Tree) else child).strip('"')
                for child in node.children[1:-1]
            )
            yield Setting(name, labels, line, children=tuple(_read_settings(node.children[-1], text)))


def _parse_value(source: str) -> Any:
    """Parse one attribute by itself and return its value; an expression is returned as a text with `${ }`."""
    (value,) = hcl2.api.loads(source.strip() + "\n").values()
    return value


def _suggest_name(name: str, known: list[str]) -> str:
    """Return a hint to the most similar known name, or a list of all of them if none is similar."""
    close = difflib.get_close_matches(name, known, 1, 0.5)
    return f"did you mean {close[0]!r}?" if close else "known here: " + ", ".join(sorted(known))


def _check_struct(
    model: type, settings: tuple[Setting, ...], line: int, file: str, where: str, problems: list[Problem]
) -> dict[str, Any]:
    """Check the contents of one block, or of the file, against its model.

    Appends what is wrong to `problems` and returns the plain values for msgspec. `line` is the line of the
    block, which is reported for missing settings; `where` names the block in the problems.
    """
    info = types.type_info(model)
    assert isinstance(info, types.StructType)
    fields = {field.name: field for field in info.fields}
    values: dict[str, Any] = {}
    first_lines: dict[tuple[str, ...], int] = {}
    for setting in settings:
        field = fields.get(setting.name)
        if field is None:
            problems.append(
                Problem(
                    file,
                    setting.line,
                    f"{setting.name!r} is not known in {where}",
                    _suggest_name(setting.name, [*fields]),
                )
            )
            continue
        place = (setting.name, *setting.labels)
        if place in first_lines:
            text = f"{' '.join(place)!r} stands here a second time (first in line {first_lines[place]})"
            problems.append(Problem(file, setting.line, text, "leave one of them out"))
            continue
        first_lines[place] = setting.line
        kind, is_labelled = _find_block_model(field.type)
        if kind is not None:
            _check_block(kind, is_labelled, setting, file, values, problems)
        else:
            _check_value(field, setting, file, values, problems)
    for field in fields.values():
        if field.required and not any(place[0] == field.name for place in first_lines):
            problems.append(
                Problem(
                    file,
                    line,
                    f"{field.name!r} is missing in {where}",
                    f"write {_describe_expected(field.type)}",
                )
            )
    return values


def _find_block_model(kind: types.Type) -> tuple[type | None, bool]:
    """Return the model of a field that is a block, else None, and whether the block is labelled.

    A labelled block may stand several times, under different labels.
    """
    if isinstance(kind, types.UnionType):
        kind = next((each for each in kind.types if isinstance(each, types.StructType)), kind)
    if isinstance(kind, types.DictType) and isinstance(kind.value_type, types.StructType):
        return kind.value_type.cls, True
    return (kind.cls, False) if isinstance(kind, types.StructType) else (None, False)


def _check_block(
    kind: type,
    is_labelled: bool,
    setting: Setting,
    file: str,
    values: dict[str, Any],
    problems: list[Problem],
) -> None:
    """Check one block with its labels and contents, and add its values to `values`."""
    name, line = setting.name, setting.line
    if setting.children is None:
        form = f'{name} "NAME" {{ ... }}' if is_labelled else f"{name} {{ ... }}"
        problems.append(Problem(file, line, f"{name!r} is a block", f"write {form}"))
        return
    if len(setting.labels) != int(is_labelled):
        text = f'{name} "NAME" {{ ... }}' if is_labelled else f"{name} {{ ... }}, without a label"
        problems.append(Problem(file, line, f"{name!r} has {len(setting.labels)} labels", f"write {text}"))
        return
    inner = _check_struct(
        kind, setting.children, line, file, repr(" ".join((name, *setting.labels))), problems
    )
    if is_labelled:
        values.setdefault(name, {})[setting.labels[0]] = inner
    else:
        values[name] = inner


def _check_value(
    field: types.Field, setting: Setting, file: str, values: dict[str, Any], problems: list[Problem]
) -> None:
    """Check one setting against the type and bounds of its field, and add its value to `values`."""
    expected = f"write {_describe_expected(field.type)}"
    if setting.children is not None:
        problems.append(
            Problem(file, setting.line, f"{setting.name!r} is a setting, not a block", f"{expected} after =")
        )
        return
    value = setting.value
    if isinstance(value, str) and "${" in value:
        text = f"{setting.name!r} holds an expression, which this file does not have"
        problems.append(Problem(file, setting.line, text, expected))
        return
    try:
        value_model = msgspec.defstruct("Holder", [("value", _rebuild_type(field.type))])
        msgspec.convert({"value": value}, value_model)
    except msgspec.ValidationError as error:
        reason = re.sub(r" - at `\$\.value`$", "", str(error))
        problems.append(
            Problem(
                file, setting.line, f"{setting.name} = {value!r}: {reason[0].lower()}{reason[1:]}", expected
            )
        )
        return
    values[setting.name] = value


def _rebuild_type(kind: types.Type) -> Any:
    """Return the annotation for which msgspec gave this type description, with its bounds.

    Lets msgspec check a single value, so that the problem can name its setting and line.
    """
    from typing import Annotated, Literal

    meta = kind
    if isinstance(meta, types.Metadata):
        kind = meta.type
    base: Any
    if isinstance(kind, types.LiteralType):
        base = Literal[tuple(kind.values)]
    elif isinstance(kind, types.IntType | types.FloatType):
        base = int if isinstance(kind, types.IntType) else float
        bounds = {
            name: getattr(kind, name) for name in ("gt", "ge", "lt", "le") if getattr(kind, name) is not None
        }
        return Annotated[base, msgspec.Meta(**bounds)]
    elif isinstance(kind, types.StrType):
        return Annotated[str, msgspec.Meta(min_length=kind.min_length)]
    else:
        base = bool
    return base


def _describe_expected(kind: types.Type) -> str:
    """Return the description of valid values that the model gives for a field."""
    extra = kind.extra_json_schema if isinstance(kind, types.Metadata) else None
    return str((extra or {}).get("description", "a value"))


def _check_store(store: dict[str, Any] | None, settings: tuple[Setting, ...], file: str) -> list[Problem]:
    """Check the settings of the block `store` that depend on one another, and the disk folder's path."""
    if not store or not store.get("disk"):
        return []
    checked = msgspec.convert(store, Store)
    disk = checked.disk
    assert disk
    block = next(s for s in settings if s.name == "store")
    inside = next(s for s in block.children or () if s.name == "disk")
    lines = {setting.name: setting.line for setting in inside.children or ()}

    def find_line(name: str) -> int:
        """Return the line of a setting of the block `disk`, or of the block if the default is used."""
        return lines.get(name, inside.line)

    problems = []
    reserve = max(disk.reserve_mb, 2 * disk.segment_mb)
    if disk.budget_mb < reserve + 2 * disk.segment_mb:
        what = f"budget_mb = {disk.budget_mb:g} leaves no two segments beside a reserve of {reserve:g}"
        problems.append(
            Problem(file, find_line("budget_mb"), what, f"write at least {reserve + 2 * disk.segment_mb:g}")
        )
    if not Path(disk.folder).is_absolute():
        problems.append(
            Problem(
                file,
                find_line("folder"),
                f"folder = {disk.folder!r} is not absolute",
                "write the path from /",
            )
        )
    if disk.compact_busy_mb_per_s > disk.compact_mb_per_s:
        what = "compact_busy_mb_per_s is above compact_mb_per_s: compaction would not give way to clients"
        problems.append(
            Problem(
                file, find_line("compact_busy_mb_per_s"), what, f"write at most {disk.compact_mb_per_s:g}"
            )
        )
    if disk.queue_mb > disk.budget_mb / 2:
        what = f"queue_mb = {disk.queue_mb:g} is over half of the budget"
        problems.append(Problem(file, find_line("queue_mb"), what, f"write at most {disk.budget_mb / 2:g}"))
    return problems
