"""Least-squares fits of a role's cost against the size that it grows with."""

import math

import msgspec


class Slope(msgspec.Struct, frozen=True):
    """Fitted line of one cost of a role. ``error`` is the standard error of ``slope``.

    ``measure`` names the cost and ``against`` the size that it grows with. ``counted``
    points are counts on the advanced clock, which are the same in each run; the others
    are times, memory or sizes that depend on this machine and its libraries.
    """

    role: str
    measure: str
    unit: str
    against: str
    points: tuple[tuple[float, float], ...]
    slope: float
    error: float
    intercept: float
    counted: bool

    def at(self, x):
        """Returns the value of the fitted line."""
        return self.intercept + self.slope * x

    @property
    def largest_x(self):
        return max(x for x, _ in self.points)


def fit(role, measure, unit, against, points, counted=True):
    """Returns the Slope of (size, cost) points. ValueError: fewer than four."""
    points = tuple((float(x), float(y)) for x, y in points)
    if len(points) < 4:
        raise ValueError("a slope needs at least four points")
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    x_squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_squared_deviations
    intercept = mean_y - slope * mean_x
    squared_residuals = sum((y - intercept - slope * x) ** 2 for x, y in points)
    error = math.sqrt(squared_residuals / (count - 2) / x_squared_deviations)
    return Slope(role, measure, unit, against, points, slope, error, intercept, counted)
