"""The tables of docs/CAPACITY.md from the figures of one run: what breaks first, roles, events and fits."""

from standins.scale.estimate import Figures, Row, Table, describe_basis, format_number, format_table
from standins.scale.events import build_event_tables
from standins.scale.plan import Demand
from standins.scale.results import Run
from standins.scale.roles import build_role_tables

MIN_BREAKING_SHARE = 0.5  # share of its budget from which a figure is listed as breaking first
KIND_ORDER = {"rule": 0, "time": 1, "cost": 2}


def find_breaking_rows(tables: list[Table]) -> list[Row]:
    """Return all rows of rules, and the other rows that are near or over their budgets, each once.

    Rows over their budgets come first. Among them and among the rest, rules precede times and times precede
    costs; within a kind the highest share of the budget comes first.
    """
    found: dict[str, Row] = {}
    for table in tables:
        for row in table.rows:
            if row.ratio is not None and (row.is_rule or row.ratio >= MIN_BREAKING_SHARE):
                found.setdefault(row.name, row)
    return sorted(found.values(), key=lambda row: (_sort_rank(row), -(row.ratio or 0.0)))


def _sort_rank(row: Row) -> int:
    """Return the sort rank of a row: by kind, with rows within their budgets after all that exceed them."""
    kind = "rule" if row.is_rule else row.kind
    return KIND_ORDER[kind] + (0 if (row.ratio or 0.0) > 1.0 else len(KIND_ORDER))


def format_breaking_rows(rows: list[Row], gateways: int) -> str:
    """Format the rows as a Markdown table, with the fleet size at which each exceeds its budget."""
    lines = [
        "| what | kind | of budget | crosses its budget at | carried by |",
        "| --- | --- | ---: | ---: | --- |",
    ]
    for row in rows:
        kind, crossing_size = "rule or bound" if row.is_rule else row.kind, row.find_crossing_size(gateways)
        crossing = f"{format_number(crossing_size)} gateways" if crossing_size else "any size"
        crossing = crossing if crossing_size or (row.ratio or 0.0) > 1.0 else "not by size"
        carried = "**none**" if row.mechanism == "none" else f"`{row.mechanism}`"
        lines.append(f"| {row.name} | {kind} | {row.ratio:.2g} | {crossing} | {carried} |")
    return "\n".join([*lines, ""])


def format_fits(run: Run) -> str:
    """Format all measures as a Markdown table with their values, exponents and residuals."""
    lines = ["| measure | at | figures | exponent | residual |", "| --- | --- | --- | ---: | ---: |"]
    for series in run.series:
        power_law = series.fit()
        slope = (f"{power_law.exponent:+.2f}", f"{power_law.residual:.2f}") if power_law else ("-", "-")
        sizes, values = ", ".join(map(str, series.sizes)), ", ".join(map(format_number, series.values))
        lines.append(f"| {series.measure} | {sizes} | {values} | {slope[0]} | {slope[1]} |")
    return "\n".join([*lines, ""])


def format_comparison(run: Run) -> str:
    """Describe how the datagrams of a hollow fleet compare with those of as many real processes."""
    hollow, real = run.find_series("common_hollow"), run.find_series("common_real")
    difference = hollow.values[0] / real.values[0] - 1.0
    return (
        f"At {real.sizes[0]} gateways a hollow one sends {hollow.values[0]:.2f} datagrams of membership a "
        f"period, a real process {real.values[0]:.2f}: the hollow figure is {difference:+.0%} off.\n"
    )


def format_page(run: Run, demand: Demand) -> str:
    """Format all tables for a fleet of the given size."""
    figures = Figures(run, demand.gateways)
    role_tables, event_tables = build_role_tables(figures, demand), build_event_tables(figures, demand)
    parts = [
        "### What breaks first",
        "",
        format_breaking_rows(find_breaking_rows(role_tables + event_tables), demand.gateways),
    ]
    parts += ["### Roles", "", *(format_table(table) for table in role_tables)]
    parts += ["### Events", "", *(format_table(table) for table in event_tables)]
    parts += ["### Measures and fits", "", format_fits(run), format_comparison(run)]
    return "\n".join(parts)


__all__ = ["describe_basis", "find_breaking_rows", "format_page"]
