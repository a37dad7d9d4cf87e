"""Power laws over measured sizes: how a figure grows with the fleet, and what it is at another size."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Fit:
    """y = factor * n ** exponent; `residual` is the root mean square of the logarithm's error."""

    factor: float
    exponent: float
    residual: float
    largest: int  # size measured

    def at(self, size: float) -> float:
        """Give the fitted figure at a size."""
        return float(self.factor * size**self.exponent)

    def extrapolated(self, size: float) -> float:
        """Give by what factor a size lies past the largest one measured; 1 for none."""
        return max(1.0, size / self.largest)


def fit(sizes: Sequence[int], values: Sequence[float]) -> Fit | None:
    """Fit a power law; None where a figure is 0 somewhere, or fewer than two sizes were measured."""
    if len(sizes) < 2 or min(values) <= 0.0:
        return None
    x, y = np.log(np.asarray(sizes, dtype=float)), np.log(np.asarray(values, dtype=float))
    exponent, constant = np.polyfit(x, y, 1)
    error = y - (constant + exponent * x)
    residual = math.sqrt(float(np.mean(error**2)))
    return Fit(math.exp(float(constant)), float(exponent), residual, max(sizes))
