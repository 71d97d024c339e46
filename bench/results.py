"""Results of the measurements: typed, written as JSON with facts of the machine."""

import os
import pathlib
import platform
from typing import Any, TypeVar

import attrs
import cattrs
import orjson

RESULTS = pathlib.Path(__file__).parent / "results"
CONVERTER = cattrs.Converter()
Result = TypeVar("Result")


@attrs.frozen
class Machine:
    """Facts of the machine that a measurement ran on.

    Attributes
    ----------
    cores : int
        Processor cores.
    memory_mb : int
        Memory in all.
    python : str
        Version of the interpreter.
    load_before, load_after : float
        Load average over one minute at both ends of the run.
    """

    cores: int
    memory_mb: int
    python: str
    load_before: float
    load_after: float = 0.0


def machine_facts() -> Machine:
    """Return the facts at the start of a run."""
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return Machine(
        os.cpu_count() or 1,
        pages // 2**20,
        platform.python_version(),
        round(os.getloadavg()[0], 2),
    )


def at_end(machine: Machine) -> Machine:
    """Return the facts with the load at the end of the run."""
    return attrs.evolve(machine, load_after=round(os.getloadavg()[0], 2))


def write_result(name: str, result: Any) -> pathlib.Path:
    """Write a result under ``bench/results`` and return its path."""
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    plain = _rounded(CONVERTER.unstructure(result))
    path.write_bytes(orjson.dumps(plain, option=orjson.OPT_INDENT_2) + b"\n")
    return path


def read_result(name: str, kind: type[Result]) -> Result:
    """Read a result that a run wrote.

    Raises
    ------
    FileNotFoundError
        If that measurement was not run.
    """
    raw = (RESULTS / f"{name}.json").read_bytes()
    return CONVERTER.structure(orjson.loads(raw), kind)


def has_result(name: str) -> bool:
    """Whether a measurement left a result."""
    return (RESULTS / f"{name}.json").exists()


def _rounded(value: Any) -> Any:
    if isinstance(value, float):
        return float(f"{value:.5g}")
    if isinstance(value, dict):
        return {key: _rounded(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_rounded(item) for item in value]
    return value


def percentile(values: list[float], share: float) -> float:
    """Return the value at a share of a list, by the nearest rank.

    Examples
    --------
    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.99)
    4.0
    """
    ranked = sorted(values)
    rank = max(1, -(-int(share * len(ranked) * 1000) // 1000))
    return ranked[min(rank, len(ranked)) - 1]


@attrs.frozen
class Line:
    """A straight line fitted to measured points.

    Attributes
    ----------
    slope, intercept : float
        Coefficients.
    fit_ratio : float
        Share of the variance that the line explains (R squared).
    """

    slope: float
    intercept: float
    fit_ratio: float

    def at(self, x: float) -> float:
        """Return the value at a point."""
        return self.intercept + self.slope * x


def fit_line(points: list[tuple[float, float]]) -> Line:
    """Fit a line by least squares.

    Examples
    --------
    >>> fit_line([(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)])
    Line(slope=2.0, intercept=1.0, fit_ratio=1.0)
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / variance
    line = Line(slope, mean_y - slope * mean_x, 1.0)
    total = sum((y - mean_y) ** 2 for _, y in points)
    residual = sum((y - line.at(x)) ** 2 for x, y in points)
    return attrs.evolve(line, fit_ratio=1 - residual / total if total else 1.0)
