"""Least-squares slopes of what a role costs against what it grows with."""

import math

import msgspec


class Slope(msgspec.Struct, frozen=True):
    """One measured line. ``error`` is the standard error of ``slope``.

    ``counted`` tells that the points are counts on the advanced clock, which are the
    same in each run; the others are times or memory of this machine.
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
    """Returns the fitted line through at least four points."""
    points = tuple((float(x), float(y)) for x, y in points)
    if len(points) < 4:
        raise ValueError("a slope needs at least four points")
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    error = math.sqrt(residual / (count - 2) / spread)
    return Slope(role, measure, unit, against, points, slope, error, intercept, counted)
