"""Linear fits of measured costs against a size."""

from __future__ import annotations

import statistics
import typing


class Slope(typing.NamedTuple):
    """A cost measured at several sizes and the line fitted to it.

    Attributes
    ----------
    name : str
        Name of the cost, with its unit.
    size_name : str
        Name of the size that was varied.
    sizes, values : tuple of float
        The measured points.
    slope : float
        Additional cost per unit of size.
    intercept : float
        Cost at size 0 according to the fit.
    residual : float
        Largest vertical distance of a point from the line, as a share of
        the largest value.
    """

    name: str
    size_name: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    residual: float

    @classmethod
    def from_points(
        cls,
        name: str,
        size_name: str,
        points: typing.Sequence[tuple[float, float]],
    ) -> Slope:
        """Fit a line by least squares."""
        sizes = tuple(size for size, _ in points)
        values = tuple(value for _, value in points)
        slope, intercept = statistics.linear_regression(sizes, values)
        largest = max(abs(value) for value in values) or 1.0
        residual = max(
            abs(value - (slope * size + intercept)) / largest
            for size, value in points
        )
        return cls(name, size_name, sizes, values, slope, intercept, residual)

    def to_row(self) -> str:
        """Return a row of a Markdown table."""
        points = ", ".join(
            f"{size:g}: {value:.4g}"
            for size, value in zip(self.sizes, self.values, strict=True)
        )
        return (
            f"| {self.name} | {self.size_name} | {points} "
            f"| {self.slope:.4g} | {self.intercept:.4g} "
            f"| {self.residual:.1%} |"
        )


TABLE_HEAD = (
    "| cost | against | points (size: value) | slope | intercept | residual |"
    "\n|---|---|---|---|---|---|"
)
