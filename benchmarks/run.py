"""Run all measurement scripts and write the page of measurements.

The page and its plots contain only figures that the scripts printed in this
run; a script that failed or timed out is reported as not run to its end.
"""

import collections
import collections.abc
import dataclasses
import datetime
import json
import math
import os
import pathlib
import platform
import re
import statistics
import subprocess
import sys
import typing
from typing import Final

import click

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
PAGE_FILE: Final = ROOT / "docs" / "measurements.md"
PLOTS_DIRECTORY: Final = ROOT / "docs" / "plots"
SCRIPT_TIMEOUT_SECONDS: Final = 300
MIN_FIT_SIZES: Final = 4
TABLE_COLUMNS: Final = frozenset(
    ("measure", "value", "unit", "size", "size_unit", "variant")
)


@dataclasses.dataclass(frozen=True)
class Result:
    """Collect the figures of one script and the reason of a failure."""

    script: str
    description: str
    figures: list[dict[str, typing.Any]]
    failure: str = ""


def list_scripts() -> list[pathlib.Path]:
    """Return the scripts whose docstring begins with `Measure`."""
    return [
        path
        for path in sorted((ROOT / "benchmarks").glob("*.py"))
        if path.stem != "__init__"
        and path.read_text().startswith('"""Measure ')
    ]


def run_script(path: pathlib.Path) -> Result:
    """Run one script and decode its JSON lines."""
    description = path.read_text().split('"""')[1].split("\n\n")[0]
    description = " ".join(description.split())
    command = [sys.executable, "-m", f"benchmarks.{path.stem}"]
    try:
        process = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=SCRIPT_TIMEOUT_SECONDS,
        )
    except subprocess.TimeoutExpired:
        return Result(
            path.stem, description, [], f"over {SCRIPT_TIMEOUT_SECONDS} s"
        )
    figures = []
    failure = ""
    for line in process.stdout.splitlines():
        try:
            figures.append(json.loads(line))
        except ValueError:
            failure = f"printed a line that is not JSON: {line[:60]}"
    if process.returncode:
        lines = process.stderr.strip().splitlines() or ["no message"]
        failure = lines[-1]
    return Result(path.stem, description, figures, failure)


def render_page(
    results: list[Result],
    commit: str,
    now: datetime.datetime,
    plots: bool = True,
) -> collections.abc.Iterator[str]:
    """Yield the lines of the Markdown page."""
    yield "# Measurements"
    yield ""
    yield (
        f"Written by `make measure` at commit {commit} on "
        f"{now:%Y-%m-%d %H:%M} UTC; {os.cpu_count()} cores, Python "
        f"{platform.python_version()}, {platform.system()}. Load average at "
        f"the end: {os.getloadavg()[0]:.1f}."
    )
    for result in results:
        yield ""
        yield f"## {result.script}"
        yield ""
        yield result.description
        if result.failure:
            yield ""
            yield f"Not run to its end: {result.failure}"
        if result.figures:
            yield ""
            yield from _figure_table(result)
            yield from _fit_table(result)
        if plots:
            for name in _curves_by_measure(result):
                yield ""
                yield f"![{name}](plots/{_file_name(name)})"


def draw_plots(result: Result) -> None:
    """Write a plot of each measure that has several sizes."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    PLOTS_DIRECTORY.mkdir(exist_ok=True)
    for name, curves in _curves_by_measure(result).items():
        figure, axes = pyplot.subplots(figsize=(6, 3.5))
        for variant, figures in curves.items():
            axes.plot(
                [f["size"] for f in figures],
                [f["value"] for f in figures],
                marker="o",
                label=variant,
            )
        first = next(iter(curves.values()))[0]
        axes.set_xlabel(first.get("size_unit", "size"))
        axes.set_ylabel(first["unit"])
        axes.set_ylim(bottom=0)
        axes.set_title(name)
        if any(curves):
            axes.legend()
        figure.tight_layout()
        figure.savefig(PLOTS_DIRECTORY / _file_name(name), dpi=100)
        pyplot.close(figure)


@click.command()
@click.option("--only", default="", help="Name of a single script.")
def main(only: str) -> None:
    """Run the scripts and write the page."""
    commit = _commit()
    selected = [path for path in list_scripts() if only in ("", path.stem)]
    results = []
    for path in selected:
        print(f"running {path.stem}", file=sys.stderr, flush=True)
        results.append(run_script(path))
        if not only:
            draw_plots(results[-1])
            _write_page(results, len(selected), commit)
    if only:
        print("\n".join(render_page(results, commit, _now(), plots=False)))
    sys.exit(any(result.failure for result in results))


def _write_page(results: list[Result], selected: int, commit: str) -> None:
    """Write the page after each script, so that a stopped run is kept."""
    lines = list(render_page(results, commit, _now()))
    lines += ["", f"{len(results)} of {selected} scripts were run."]
    PAGE_FILE.write_text("\n".join(lines) + "\n")


def _now() -> datetime.datetime:
    return datetime.datetime.now(datetime.timezone.utc)


def _commit() -> str:
    process = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    return process.stdout.strip() or "unknown"


def _figure_table(result: Result) -> collections.abc.Iterator[str]:
    yield "| measure | variant | size | value | unit | circumstances |"
    yield "|---|---|---|---|---|---|"
    for figure in result.figures:
        circumstances = ", ".join(
            f"{key} {value}"
            for key, value in figure.items()
            if key not in TABLE_COLUMNS
        )
        size = ""
        if "size" in figure:
            size = f"{figure['size']:g} {figure.get('size_unit', '')}".strip()
        yield (
            f"| {figure['measure']} | {figure.get('variant', '')} | {size} "
            f"| {figure['value']:.6g} | {figure['unit']} | {circumstances} |"
        )


def _fit_table(result: Result) -> collections.abc.Iterator[str]:
    """Yield a linear fit of each curve of at least `MIN_FIT_SIZES`."""
    rows = [
        row
        for name, curves in _curves_by_measure(result).items()
        for variant, figures in curves.items()
        if len({f["size"] for f in figures}) >= MIN_FIT_SIZES
        for row in [_fit_row(name, variant, figures)]
    ]
    if rows:
        yield ""
        yield "| fit of | variant | slope | error of the slope | at size 0 |"
        yield "|---|---|---|---|---|"
        yield from rows


def _fit_row(
    name: str, variant: str, figures: list[dict[str, typing.Any]]
) -> str:
    sizes = [float(f["size"]) for f in figures]
    values = [float(f["value"]) for f in figures]
    slope, intercept = statistics.linear_regression(sizes, values)
    squared_residuals = sum(
        (value - intercept - slope * size) ** 2
        for size, value in zip(sizes, values)
    )
    mean = statistics.fmean(sizes)
    size_deviation = sum((size - mean) ** 2 for size in sizes)
    error = math.sqrt(squared_residuals / (len(sizes) - 2) / size_deviation)
    unit = f"{figures[0]['unit']}/{figures[0].get('size_unit', 'size')}"
    return (
        f"| {name} | {variant} | {slope:.4g} {unit} | {error:.2g} "
        f"| {intercept:.4g} {figures[0]['unit']} |"
    )


def _curves_by_measure(
    result: Result,
) -> dict[str, dict[str, list[dict[str, typing.Any]]]]:
    curves_by_measure: dict[str, dict[str, list[dict[str, typing.Any]]]] = (
        collections.defaultdict(lambda: collections.defaultdict(list))
    )
    for figure in result.figures:
        if "size" in figure:
            variant = figure.get("variant", "")
            curves_by_measure[figure["measure"]][variant].append(figure)
    return {
        name: curves
        for name, curves in curves_by_measure.items()
        if any(len(figures) > 1 for figures in curves.values())
    }


def _file_name(measure: str) -> str:
    return re.sub(r"[^a-z0-9]+", "-", measure.lower()) + ".png"


if __name__ == "__main__":
    main()
