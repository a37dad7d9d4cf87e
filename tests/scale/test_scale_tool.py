"""`python -m standins.scale`: reproducible counts, one-line errors, tables that match docs/CAPACITY.md."""

import importlib
import subprocess
import sys
from pathlib import Path

import pytest

from standins.scale.estimate import NO_MECHANISM, Figures, Row, Table
from standins.scale.events import build_event_tables
from standins.scale.fit import fit_power_law
from standins.scale.plan import Demand
from standins.scale.report import find_breaking_rows, format_page
from standins.scale.results import RESULTS_VERSION, ResultsError, Run, Series, load_run, save_run
from standins.scale.roles import build_role_tables
from standins.scale.scenarios import measure_origin_fills

ROOT = Path(__file__).parent.parent.parent
FIGURES, PAGE = ROOT / "docs" / "capacity.json", ROOT / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- tables: begin -->\n", "<!-- tables: end -->\n"


def run_scale(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "standins.scale", *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)


def make_row(
    name: str, ratio: float, is_rule: bool = False, kind: str = "cost", exponent: float = 0.0
) -> Row:
    return Row(name, ratio, "x", 1.0, exponent=exponent, is_rule=is_rule, kind=kind)


def test_the_page_holds_the_tables_that_its_figures_give() -> None:
    page = PAGE.read_text()
    tables = page[page.index(BEGIN) + len(BEGIN) : page.index(END)]
    assert tables == format_page(load_run(FIGURES), Demand())


def test_the_page_is_based_on_four_sizes_that_span_a_factor_of_ten() -> None:
    for measure in ("router_state", "origin_peak", "members_datagrams", "process_memory"):
        sizes = load_run(FIGURES).find_series(measure).sizes
        assert len(sizes) >= 4 and max(sizes) >= 10 * min(sizes), measure


def test_every_mechanism_named_on_the_page_exists() -> None:
    figures, demand = Figures(load_run(FIGURES), 2_300), Demand()
    for table in build_role_tables(figures, demand) + build_event_tables(figures, demand):
        for table_row in table.rows:
            if table_row.mechanism == NO_MECHANISM:
                continue
            parts = table_row.mechanism.split(".")
            depth = next(n for n in range(len(parts), 0, -1) if is_importable(".".join(parts[:n])))
            target: object = importlib.import_module(".".join(parts[:depth]))
            for part in parts[depth:]:
                target = getattr(target, part)


def is_importable(name: str) -> bool:
    try:
        importlib.import_module(name)
    except ImportError:
        return False
    return True


def test_the_same_seed_gives_the_same_counts_and_another_seed_different_ones() -> None:
    first, again, other = (measure_origin_fills(30, 5.0, 3.0, seed) for seed in (1, 1, 2))
    assert first == again
    assert first != other


def test_a_fit_finds_the_exponent_and_the_extrapolation_factor() -> None:
    sizes = [100, 300, 1_000, 2_300]
    power_law = fit_power_law(sizes, [3.0 * n**0.5 for n in sizes])
    assert power_law is not None
    assert (round(power_law.factor, 6), round(power_law.exponent, 6), round(power_law.residual, 6)) == (
        3.0,
        0.5,
        0.0,
    )
    assert power_law.extrapolation_factor(4_600) == 2.0 and power_law.extrapolation_factor(500) == 1.0
    assert fit_power_law([100], [3.0]) is None and fit_power_law([100, 200], [0.0, 1.0]) is None


def test_breaking_rows_are_ordered_by_kind_with_rows_within_budget_last() -> None:
    rows = [
        make_row("cost", 9.0),
        make_row("time", 3.0, kind="time"),
        make_row("kept", 0.9, is_rule=True),
        make_row("rule", 2.0, True),
    ]

    ordered = find_breaking_rows([Table("t", tuple(rows))])
    assert [found.name for found in ordered] == ["rule", "time", "cost", "kept"]
    assert make_row("x", 4.0, exponent=2.0).find_crossing_size(1_000) == 500.0
    assert make_row("x", 4.0).find_crossing_size(1_000) is None


def test_measured_sizes_give_the_measured_value_and_other_sizes_the_fitted_one() -> None:
    series = Series("m", [10, 100], [1.0, 10.0])
    assert series.value_at(100) == 10.0
    assert round(series.value_at(1_000), 6) == 100.0


def test_a_saved_run_is_loaded_unchanged(tmp_path: Path) -> None:
    run = Run(RESULTS_VERSION, 3, 1.5, 60.0, [Series("m", [1, 2], [0.5, 0.25])])
    save_run(run, tmp_path / "f.json")
    assert load_run(tmp_path / "f.json") == run


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"[1]",
        b'{"version": 1}',
        b'{"version": 9, "seed": 1, "seconds": 1, "peak_mb": 1, "series": []}',
        b'{"version": 1, "seed": 1, "seconds": 1, "peak_mb": 1, "series": '
        b'[{"measure": "m", "sizes": [1, 2], "values": [1.0]}]}',
    ],
)
def test_an_invalid_results_file_raises_an_error(tmp_path: Path, text: bytes) -> None:
    file = tmp_path / "f.json"
    file.write_bytes(text)
    with pytest.raises(ResultsError):
        load_run(file)


@pytest.mark.parametrize(
    "arguments",
    [
        ("measure", "--sizes", "0", "--json", "{file}"),
        ("measure", "--sizes", "100,x", "--json", "{file}"),
        ("measure", "--sizes", "99999999", "--json", "{file}"),
        ("measure", "--only", "weather", "--json", "{file}"),
        ("table", "{file}"),
        ("table", "{invalid}"),
        ("table", "{figures}", "--gateways", "0"),
        ("table", "{figures}", "--purges", "-1"),
    ],
)
def test_invalid_input_gives_one_line_and_exit_status_2(tmp_path: Path, arguments: tuple[str, ...]) -> None:
    invalid_file = tmp_path / "invalid.json"
    invalid_file.write_text("{")
    paths = {"{file}": str(tmp_path / "none.json"), "{invalid}": str(invalid_file), "{figures}": str(FIGURES)}
    done = run_scale(*(paths.get(argument, argument) for argument in arguments))
    assert done.returncode == 2
    assert len(done.stderr.strip().splitlines()) == 1 and done.stdout == ""


def test_measure_writes_what_table_reads_at_any_size(tmp_path: Path) -> None:
    file = tmp_path / "f.json"
    done = run_scale("measure", "--sizes", "3,6", "--only", "bounds", "--json", str(file))
    assert done.returncode == 0, done.stderr
    assert {series.measure for series in load_run(file).series} >= {"origin_peak", "cold_parent"}
    printed = run_scale("table", str(FIGURES), "--gateways", "4600", "--purges", "38")
    assert printed.returncode == 0 and "extrapolated 2.0x" in printed.stdout
