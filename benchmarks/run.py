"""Run all measurement scripts and write the page of measurements.

The page and its plots hold only what the scripts printed in this run; a
script that failed or took too long stands on the page as not run.
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
PAGE: Final = ROOT / "docs" / "measurements.md"
PLOTS: Final = ROOT / "docs" / "plots"
SCRIPT_SECONDS: Final = 300
FIT_SIZES: Final = 4
OWN_FIELDS: Final = frozenset(
    ("measure", "value", "unit", "size", "size_unit", "variant")
)


@dataclasses.dataclass(frozen=True)
class Result:
    """Hold what one script printed, or why it did not run."""

    script: str
    about: str
    figures: list[dict[str, typing.Any]]
    failure: str = ""


def scripts() -> list[pathlib.Path]:
    """Return the scripts whose docstring begins with `Measure`."""
    return [
        path
        for path in sorted((ROOT / "benchmarks").glob("*.py"))
        if path.stem != "__init__"
        and path.read_text().startswith('"""Measure ')
    ]


def run_script(path: pathlib.Path) -> Result:
    """Run one script and decode its lines."""
    about = path.read_text().split('"""')[1].split("\n\n")[0]
    about = " ".join(about.split())
    command = [sys.executable, "-m", f"benchmarks.{path.stem}"]
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=SCRIPT_SECONDS,
        )
    except subprocess.TimeoutExpired:
        return Result(path.stem, about, [], f"over {SCRIPT_SECONDS} s")
    figures = []
    failure = ""
    for line in done.stdout.splitlines():
        try:
            figures.append(json.loads(line))
        except ValueError:
            failure = f"printed a line that is no JSON: {line[:60]}"
    if done.returncode:
        lines = done.stderr.strip().splitlines() or ["no message"]
        failure = lines[-1]
    return Result(path.stem, about, figures, failure)


def page(
    results: list[Result],
    commit: str,
    now: datetime.datetime,
    plots: bool = True,
) -> collections.abc.Iterator[str]:
    """Yield the lines of the page."""
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
        yield result.about
        if result.failure:
            yield ""
            yield f"Not run to its end: {result.failure}"
        if result.figures:
            yield ""
            yield from _table(result)
            yield from _fits(result)
        if plots:
            for name in _plotted(result):
                yield ""
                yield f"![{name}](plots/{_file_name(name)})"


def draw(result: Result) -> None:
    """Draw a plot of each measure that has several sizes."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    PLOTS.mkdir(exist_ok=True)
    for name, curves in _plotted(result).items():
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
        figure.savefig(PLOTS / _file_name(name), dpi=100)
        pyplot.close(figure)


@click.command()
@click.option("--only", default="", help="Name of a single script.")
def main(only: str) -> None:
    """Run the scripts and write the page."""
    commit = _commit()
    wanted = [path for path in scripts() if only in ("", path.stem)]
    results = []
    for path in wanted:
        print(f"running {path.stem}", file=sys.stderr, flush=True)
        results.append(run_script(path))
        if not only:
            draw(results[-1])
            _write_page(results, len(wanted), commit)
    if only:
        print("\n".join(page(results, commit, _now(), plots=False)))
    sys.exit(any(result.failure for result in results))


def _write_page(results: list[Result], wanted: int, commit: str) -> None:
    """Write the page after each script, so that a stopped run shows."""
    lines = list(page(results, commit, _now()))
    lines += ["", f"{len(results)} of {wanted} scripts were run."]
    PAGE.write_text("\n".join(lines) + "\n")


def _now() -> datetime.datetime:
    return datetime.datetime.now(datetime.timezone.utc)


def _commit() -> str:
    done = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    return done.stdout.strip() or "unknown"


def _table(result: Result) -> collections.abc.Iterator[str]:
    yield "| measure | variant | size | value | unit | circumstances |"
    yield "|---|---|---|---|---|---|"
    for figure in result.figures:
        facts = ", ".join(
            f"{key} {value}"
            for key, value in figure.items()
            if key not in OWN_FIELDS
        )
        size = ""
        if "size" in figure:
            size = f"{figure['size']:g} {figure.get('size_unit', '')}".strip()
        yield (
            f"| {figure['measure']} | {figure.get('variant', '')} | {size} "
            f"| {figure['value']:.6g} | {figure['unit']} | {facts} |"
        )


def _fits(result: Result) -> collections.abc.Iterator[str]:
    """Yield a straight line through each curve of at least four sizes."""
    rows = [
        row
        for name, curves in _plotted(result).items()
        for variant, figures in curves.items()
        if len({f["size"] for f in figures}) >= FIT_SIZES
        for row in [_fit(name, variant, figures)]
    ]
    if rows:
        yield ""
        yield "| fit of | variant | slope | error of the slope | at size 0 |"
        yield "|---|---|---|---|---|"
        yield from rows


def _fit(name: str, variant: str, figures: list[dict[str, typing.Any]]) -> str:
    sizes = [float(f["size"]) for f in figures]
    values = [float(f["value"]) for f in figures]
    slope, start = statistics.linear_regression(sizes, values)
    squares = sum(
        (value - start - slope * size) ** 2
        for size, value in zip(sizes, values)
    )
    mean = statistics.fmean(sizes)
    spread = sum((size - mean) ** 2 for size in sizes)
    error = math.sqrt(squares / (len(sizes) - 2) / spread)
    unit = f"{figures[0]['unit']}/{figures[0].get('size_unit', 'size')}"
    return (
        f"| {name} | {variant} | {slope:.4g} {unit} | {error:.2g} "
        f"| {start:.4g} {figures[0]['unit']} |"
    )


def _plotted(
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
