"""The figures of one run as JSON: written by `measure`, read and checked by `table`."""

from pathlib import Path

import msgspec

from standins.scale.fit import Fit, fit

VERSION = 1


class BadResults(Exception):
    """The file is not what `measure` writes."""


class Series(msgspec.Struct, forbid_unknown_fields=True):
    """One measure at all sizes; sizes are gateways."""

    measure: str
    sizes: list[int]
    values: list[float]

    def fitted(self) -> Fit | None:
        """Give the power law over its sizes."""
        return fit(self.sizes, self.values)

    def at(self, size: float) -> float:
        """Give the figure at a size: measured there, fitted, or the last one where no fit is possible."""
        if size in self.sizes:
            return self.values[self.sizes.index(int(size))]
        law = self.fitted()
        return law.at(size) if law else self.values[-1]


class Run(msgspec.Struct, forbid_unknown_fields=True):
    """All figures of one run, and what it took."""

    version: int
    seed: int
    seconds: float
    peak_mb: float
    series: list[Series]

    def of(self, measure: str) -> Series:
        """Give one measure's figures; raise BadResults if the run has none."""
        for series in self.series:
            if series.measure == measure:
                return series
        raise BadResults(f"no figures of {measure!r}")


def save(run: Run, file: Path) -> None:
    """Write a run, indented so that a change of it can be read."""
    file.write_bytes(msgspec.json.format(msgspec.json.encode(run), indent=1) + b"\n")


def load(file: Path) -> Run:
    """Read a run; raise BadResults for what is none."""
    try:
        run = msgspec.json.decode(file.read_bytes(), type=Run)
    except OSError as error:
        raise BadResults(error.strerror or str(error)) from None
    except msgspec.MsgspecError as error:
        raise BadResults(str(error)) from None
    if run.version != VERSION:
        raise BadResults(f"version {run.version}, not {VERSION}")
    for series in run.series:
        if not series.sizes or len(series.sizes) != len(series.values) or min(series.sizes) < 1:
            raise BadResults(f"sizes and values of {series.measure!r} do not fit each other")
    return run
