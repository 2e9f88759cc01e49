"""
oriolelock.bench.fit
~~~~~~~~~~~~~~~~~~~~

    Straight lines through measured points, for figures at sizes that can't be run here.
"""

import collections.abc
import dataclasses

import numpy as np

__all__ = ["Line", "fit_line"]


@dataclasses.dataclass(frozen=True)
class Line:
    """``y = base + slope * x``; ``error`` is the largest residual relative to its point."""

    base: float
    slope: float
    error: float

    def at(self, x: float) -> float:
        """Return the value at ``x``."""
        return self.base + self.slope * x

    def __str__(self) -> str:
        return f"{self.base:.4g} + {self.slope:.4g} x (largest error {self.error:.1%})"


def fit_line(xs: collections.abc.Sequence[float], ys: collections.abc.Sequence[float]) -> Line:
    """Return the least-squares line through three or more points."""
    if len(xs) < 3:
        raise ValueError("a fit needs three or more sizes")
    slope, base = np.polyfit(np.asarray(xs, float), np.asarray(ys, float), 1)
    line = Line(float(base), float(slope), 0.0)
    worst = max(abs(line.at(x) - y) / max(abs(y), 1e-12) for x, y in zip(xs, ys, strict=True))
    return dataclasses.replace(line, error=float(worst))
