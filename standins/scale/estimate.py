"""One row of a table of docs/CAPACITY.md: a figure for a size, beside its budget and its source."""

from dataclasses import dataclass
from typing import Any

from standins.scale.plan import REFERENCE_GATEWAYS
from standins.scale.results import Run, Series

NONE = "none"


@dataclass(frozen=True, slots=True)
class Row:
    """A figure, its unit and budget, where it comes from and the code that carries it."""

    name: str
    value: float
    unit: str
    budget: float | None = None
    basis: str = "worked out"
    mechanism: str = NONE  # module and name, or NONE
    exponent: float = 0.0  # in the number of gateways, for the size at which the budget is crossed
    rule: bool = False  # a rule or a bound over the whole fleet
    kind: str = "cost"  # or "time"

    @property
    def ratio(self) -> float | None:
        """Give figure over budget."""
        return self.value / self.budget if self.budget else None

    def crossing(self, gateways: int) -> float | None:
        """Give the number of gateways at which the budget is crossed; None where it does not depend on it."""
        if not self.ratio or self.exponent < 0.05:
            return None
        return float(gateways * self.ratio ** (-1.0 / self.exponent))


@dataclass(frozen=True, slots=True)
class Table:
    """A table of the page."""

    title: str
    rows: tuple[Row, ...]


class Figures:
    """Measured figures of a run at one number of gateways, each with where it comes from."""

    def __init__(self, run: Run, gateways: int) -> None:
        """Take the figures at a size."""
        self.run, self.gateways = run, gateways

    def at(self, measure: str, size: float | None = None) -> float:
        """Give a measure at the size, or at another."""
        return self.run.of(measure).at(self.gateways if size is None else size)

    def exponent(self, measure: str) -> float:
        """Give how a measure grows with the number of gateways."""
        law = self.run.of(measure).fitted()
        return law.exponent if law else 0.0

    def basis(self, measure: str) -> str:
        """Say where a measure comes from: the size measured, or the fit with its residual."""
        return basis(self.run.of(measure), self.gateways)

    def row(
        self,
        name: str,
        measure: str,
        unit: str,
        mechanism: str,
        *,
        value: float | None = None,
        budget: float | None = None,
        note: str = "",
        grows: bool = False,
        exponent: float = 0.0,
        rule: bool = False,
        kind: str = "cost",
    ) -> Row:
        """Give the row of a measure; `value` where the figure is worked out from it, `grows` as it does."""
        figure = self.at(measure) if value is None else value
        power = self.exponent(measure) if grows else exponent
        return Row(name, figure, unit, budget, self.basis(measure) + note, mechanism, power, rule, kind)


class TableBuilder:
    """Puts a table together, a row at a time."""

    def __init__(self, title: str, figures: Figures) -> None:
        """Begin a table."""
        self.title, self.figures, self.rows = title, figures, list[Row]()

    def told(
        self,
        name: str,
        value: float,
        unit: str,
        basis: str,
        mechanism: str = NONE,
        *,
        budget: float | None = None,
        exponent: float = 0.0,
        kind: str = "cost",
    ) -> None:
        """Add a figure that was told, assumed or worked out; `basis` says which."""
        self.rows.append(Row(name, value, unit, budget, basis, mechanism, exponent, kind=kind))

    def measured(self, name: str, measure: str, unit: str, mechanism: str, **more: Any) -> None:
        """Add a measure's figure, as `Figures.row` takes it."""
        self.rows.append(self.figures.row(name, measure, unit, mechanism, **more))

    def add(self, row: Row) -> None:
        """Add a row that other tables have too."""
        self.rows.append(row)

    def build(self) -> Table:
        """Give the table."""
        return Table(self.title, tuple(self.rows))


def basis(series: Series, gateways: float) -> str:
    """Say how a figure at a size was got."""
    law = series.fitted()
    if law is None:
        return "measured" if gateways in series.sizes else "measured, largest size"
    slope = f"n^{law.exponent:+.2f}, residual {law.residual:.2f}"
    if gateways in series.sizes:
        return f"measured; {slope}"
    if gateways <= max(series.sizes):
        return f"fitted; {slope}"
    return f"extrapolated {law.extrapolated(gateways):.1f}x; {slope}"


def number(value: float) -> str:
    """Write a figure in three digits."""
    if value == 0.0:
        return "0"
    if abs(value) >= 1000.0:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}"


HEAD = (
    "| what | figure | unit | budget | of budget | from | carried by |\n"
    "| --- | ---: | --- | ---: | ---: | --- | --- |"
)


def write_row(row: Row) -> str:
    """Write a row as Markdown."""
    budget = number(row.budget) if row.budget else "-"
    ratio = f"{row.ratio:.2g}" if row.ratio is not None else "-"
    carried = row.mechanism if row.mechanism == NONE else f"`{row.mechanism}`"
    carried = f"**{carried}**" if carried == NONE else carried
    cells = (row.name, number(row.value), row.unit, budget, ratio, row.basis, carried)
    return "| " + " | ".join(cells) + " |"


def write_table(table: Table) -> str:
    """Write a table as Markdown."""
    return "\n".join([f"#### {table.title}", "", HEAD, *(write_row(row) for row in table.rows), ""])


def list_gateways(servers: int) -> float:
    """Give the number of gateways whose fleet, at the reference's proportions, lists so many servers."""
    return REFERENCE_GATEWAYS * servers / 279.0
