"""The results file of one run, in JSON: written by `measure`, read and validated by `table`."""

from pathlib import Path

import msgspec

from standins.scale.fit import PowerLaw, fit_power_law

RESULTS_VERSION = 1


class ResultsError(Exception):
    """The file is unreadable or not a results file as `measure` writes it."""


class Series(msgspec.Struct, forbid_unknown_fields=True):
    """The values of one measure at all fleet sizes; a size is a number of gateways."""

    measure: str
    sizes: list[int]
    values: list[float]

    def fit(self) -> PowerLaw | None:
        """Fit a power law over the measured sizes; return None if no fit is possible."""
        return fit_power_law(self.sizes, self.values)

    def value_at(self, size: float) -> float:
        """Return the value at a size: measured, else fitted, else the last value if no fit is possible."""
        if size in self.sizes:
            return self.values[self.sizes.index(int(size))]
        power_law = self.fit()
        return power_law.value_at(size) if power_law else self.values[-1]


class Run(msgspec.Struct, forbid_unknown_fields=True):
    """All figures of one run, with its duration in seconds and its peak memory."""

    version: int
    seed: int
    seconds: float
    peak_mb: float
    series: list[Series]

    def find_series(self, measure: str) -> Series:
        """Return the series of a measure; raise ResultsError if the run has none."""
        for series in self.series:
            if series.measure == measure:
                return series
        raise ResultsError(f"no figures for measure {measure!r}")


def save_run(run: Run, file: Path) -> None:
    """Write a run to a file, indented so that differences between two versions are readable."""
    file.write_bytes(msgspec.json.format(msgspec.json.encode(run), indent=1) + b"\n")


def load_run(file: Path) -> Run:
    """Read a run from a file; raise ResultsError if the file is missing or invalid."""
    try:
        run = msgspec.json.decode(file.read_bytes(), type=Run)
    except OSError as error:
        raise ResultsError(error.strerror or str(error)) from None
    except msgspec.MsgspecError as error:
        raise ResultsError(str(error)) from None
    if run.version != RESULTS_VERSION:
        raise ResultsError(f"version is {run.version}; expected {RESULTS_VERSION}")
    for series in run.series:
        if not series.sizes or len(series.sizes) != len(series.values) or min(series.sizes) < 1:
            raise ResultsError(
                f"measure {series.measure!r}: expected as many values as sizes, and sizes of 1 or more"
            )
    return run
