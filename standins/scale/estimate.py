"""The rows and tables of docs/CAPACITY.md: figures for one fleet size with their budgets and sources."""

from dataclasses import dataclass
from typing import Any

from standins.scale.plan import REFERENCE_GATEWAYS
from standins.scale.results import Run, Series

NO_MECHANISM = "none"


@dataclass(frozen=True, slots=True)
class Row:
    """A figure with its unit, its budget, its source and the code responsible for it."""

    name: str
    value: float
    unit: str
    budget: float | None = None
    basis: str = "worked out"
    mechanism: str = NO_MECHANISM  # dotted name of the code responsible, or NO_MECHANISM
    exponent: float = 0.0  # power of the number of gateways with which the figure grows
    is_rule: bool = False  # whether it is a rule or a bound over the whole fleet
    kind: str = "cost"  # "cost" or "time"

    @property
    def ratio(self) -> float | None:
        """Return the figure over its budget, or None without a budget."""
        return self.value / self.budget if self.budget else None

    def find_crossing_size(self, gateways: int) -> float | None:
        """Return the number of gateways at which the budget is exceeded; None if size does not matter."""
        if not self.ratio or self.exponent < 0.05:
            return None
        return float(gateways * self.ratio ** (-1.0 / self.exponent))


@dataclass(frozen=True, slots=True)
class Table:
    """A table of docs/CAPACITY.md."""

    title: str
    rows: tuple[Row, ...]


class Figures:
    """The figures of a run at one number of gateways, each with its source."""

    def __init__(self, run: Run, gateways: int) -> None:
        """Use the figures of a run at a number of gateways."""
        self.run, self.gateways = run, gateways

    def value_at(self, measure: str, size: float | None = None) -> float:
        """Return the value of a measure at the given size, by default that of these figures."""
        return self.run.find_series(measure).value_at(self.gateways if size is None else size)

    def exponent(self, measure: str) -> float:
        """Return the exponent with which a measure grows with the number of gateways; 0 without a fit."""
        power_law = self.run.find_series(measure).fit()
        return power_law.exponent if power_law else 0.0

    def describe_basis(self, measure: str) -> str:
        """Describe the source of a measure: a measured size, or the fit with its residual."""
        return describe_basis(self.run.find_series(measure), self.gateways)

    def make_row(
        self,
        name: str,
        measure: str,
        unit: str,
        mechanism: str,
        *,
        value: float | None = None,
        budget: float | None = None,
        basis_suffix: str = "",
        follows_fit: bool = False,
        exponent: float = 0.0,
        is_rule: bool = False,
        kind: str = "cost",
    ) -> Row:
        """Return the row of a measure.

        `value` replaces the measured value where the figure is calculated from it; with `follows_fit` the
        exponent is that of the fit instead of `exponent`.
        """
        figure_value = self.value_at(measure) if value is None else value
        growth_exponent = self.exponent(measure) if follows_fit else exponent
        return Row(
            name,
            figure_value,
            unit,
            budget,
            self.describe_basis(measure) + basis_suffix,
            mechanism,
            growth_exponent,
            is_rule,
            kind,
        )


class TableBuilder:
    """Builder of a table, row by row."""

    def __init__(self, title: str, figures: Figures) -> None:
        """Start a table without rows."""
        self.title, self.figures, self.rows = title, figures, list[Row]()

    def add_given(
        self,
        name: str,
        value: float,
        unit: str,
        basis: str,
        mechanism: str = NO_MECHANISM,
        *,
        budget: float | None = None,
        exponent: float = 0.0,
        kind: str = "cost",
    ) -> None:
        """Add a figure that was given, assumed or calculated, as `basis` says."""
        self.rows.append(Row(name, value, unit, budget, basis, mechanism, exponent, kind=kind))

    def add_measured(self, name: str, measure: str, unit: str, mechanism: str, **row_options: Any) -> None:
        """Add the row of a measure; the arguments are those of `Figures.make_row`."""
        self.rows.append(self.figures.make_row(name, measure, unit, mechanism, **row_options))

    def add_row(self, row: Row) -> None:
        """Add a finished row, such as one that several tables share."""
        self.rows.append(row)

    def build(self) -> Table:
        """Return the finished table."""
        return Table(self.title, tuple(self.rows))


def describe_basis(series: Series, gateways: float) -> str:
    """Describe whether a value at a size is measured, fitted or extrapolated, and by which fit."""
    power_law = series.fit()
    if power_law is None:
        return "measured" if gateways in series.sizes else "measured, largest size"
    slope = f"n^{power_law.exponent:+.2f}, residual {power_law.residual:.2f}"
    if gateways in series.sizes:
        return f"measured; {slope}"
    if gateways <= max(series.sizes):
        return f"fitted; {slope}"
    return f"extrapolated {power_law.extrapolation_factor(gateways):.1f}x; {slope}"


def format_number(value: float) -> str:
    """Format a number with three significant digits."""
    if value == 0.0:
        return "0"
    if abs(value) >= 1000.0:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}"


TABLE_HEADER = (
    "| what | figure | unit | budget | of budget | from | carried by |\n"
    "| --- | ---: | --- | ---: | ---: | --- | --- |"
)


def format_row(row: Row) -> str:
    """Format a row as Markdown."""
    budget = format_number(row.budget) if row.budget else "-"
    ratio = f"{row.ratio:.2g}" if row.ratio is not None else "-"
    carried = row.mechanism if row.mechanism == NO_MECHANISM else f"`{row.mechanism}`"
    carried = f"**{carried}**" if carried == NO_MECHANISM else carried
    cells = (row.name, format_number(row.value), row.unit, budget, ratio, row.basis, carried)
    return "| " + " | ".join(cells) + " |"


def format_table(table: Table) -> str:
    """Format a table as Markdown."""
    return "\n".join([f"#### {table.title}", "", TABLE_HEADER, *(format_row(row) for row in table.rows), ""])


def fleet_size_listing(servers: int) -> float:
    """Return the number of gateways whose fleet, in the reference proportions, lists this many servers.

    The reference fleet lists 279 servers: 240 station caches, 38 parents and the origin.
    """
    return REFERENCE_GATEWAYS * servers / 279.0
