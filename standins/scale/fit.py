"""Power-law fits over measured fleet sizes: how a figure grows, and its estimate at other sizes."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class PowerLaw:
    """A fit y = factor * n ** exponent; `residual` is the root mean square error of the logarithms."""

    factor: float
    exponent: float
    residual: float
    largest_size: int  # largest size that was measured

    def value_at(self, size: float) -> float:
        """Return the fitted value at a size."""
        return float(self.factor * size**self.exponent)

    def extrapolation_factor(self, size: float) -> float:
        """Return the size over the largest measured size, or 1 if it does not exceed that size."""
        return max(1.0, size / self.largest_size)


def fit_power_law(sizes: Sequence[int], values: Sequence[float]) -> PowerLaw | None:
    """Fit a power law; return None if any value is 0 or less, or fewer than two sizes were measured."""
    if len(sizes) < 2 or min(values) <= 0.0:
        return None
    x, y = np.log(np.asarray(sizes, dtype=float)), np.log(np.asarray(values, dtype=float))
    exponent, constant = np.polyfit(x, y, 1)
    error = y - (constant + exponent * x)
    residual = math.sqrt(float(np.mean(error**2)))
    return PowerLaw(math.exp(float(constant)), float(exponent), residual, max(sizes))
