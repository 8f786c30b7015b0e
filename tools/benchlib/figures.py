"""Figures beside their bounds, tables, and least squares."""
import dataclasses
import math
import statistics


@dataclasses.dataclass
class Figure:
    """One measured value; a bound is a limit from the stated target."""
    part: str
    name: str
    value: float
    unit: str
    most: float | None = None
    least: float | None = None
    note: str = ""

    def is_past(self):
        """Whether the value breaks its bound; a missing value does."""
        if self.most is None and self.least is None:
            return False
        if math.isnan(self.value):
            return True
        above = self.most is not None and self.value > self.most
        below = self.least is not None and self.value < self.least
        return above or below

    def bound(self):
        """The bound as text."""
        if self.most is not None:
            return f"<= {self.most:g}"
        return f">= {self.least:g}" if self.least is not None else "-"


@dataclasses.dataclass
class Line:
    """A straight line through points, with the spread around it."""
    slope: float
    offset: float
    # Standard errors.
    slope_error: float
    residual: float
    points: int
    mean_x: float
    spread_x: float

    def at(self, x):
        """The line's value at x."""
        return self.offset + self.slope * x

    def error_at(self, x):
        """The standard error of the line at x; NaN with too few points."""
        if self.points < 3:
            return math.nan
        part = 1 / self.points + (x - self.mean_x) ** 2 / self.spread_x
        return self.residual * math.sqrt(part)


def least_squares(points):
    """Fits a Line; the points must have two different x at least."""
    count = len(points)
    mean_x = statistics.fmean(x for x, _ in points)
    mean_y = statistics.fmean(y for _, y in points)
    spread_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread_x
    offset = mean_y - slope * mean_x
    squares = sum((y - offset - slope * x) ** 2 for x, y in points)
    residual = math.sqrt(squares / (count - 2)) if count > 2 else math.nan
    return Line(slope, offset, residual / math.sqrt(spread_x), residual,
                count, mean_x, spread_x)


def percentile(values, fraction):
    """The value that the fraction of all values does not exceed."""
    ordered = sorted(values)
    rank = max(1, math.ceil(fraction * len(ordered)))
    return ordered[rank - 1]


def table(figures):
    """The figures as text, one line each, as a Markdown table."""
    lines = ["| part | figure | value | unit | bound | verdict | note |",
             "| --- | --- | --- | --- | --- | --- | --- |"]
    for one in figures:
        verdict = "past" if one.is_past() else "held"
        if one.bound() == "-":
            verdict = "-"
        lines.append(f"| {one.part} | {one.name} | {one.value:.4g} | "
                     f"{one.unit} | {one.bound()} | {verdict} | {one.note} |")
    return "\n".join(lines)
