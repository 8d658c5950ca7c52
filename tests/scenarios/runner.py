"""Run scenarios from data files and print the results by promise.

python -m tests.scenarios.runner --seed 1            # all scenarios and pairs
python -m tests.scenarios.runner --only kill-router  # one scenario

With `--from-tree` the first daemons run the code of another work tree and
those that replace them the code of this one; `--to-tree` is the way back.
"""

import collections
import collections.abc
import concurrent.futures
import dataclasses
import itertools
import json
import pathlib
import random
import sys
import tempfile
import threading
import time
import typing
from typing import Final

import click
import msgspec

from tests import checker
from tests import processes
from tests import recordings
from tests.scenarios import actions
from tests.scenarios import load as load_module
from tests.scenarios import site as site_module

DIRECTORY: Final = pathlib.Path(__file__).parent
SETTLE_SECONDS: Final = 0.5
MAX_OFFSET_SECONDS: Final = 2.0
OVERHEAD_SECONDS: Final = 20.0
TREE: Final = click.Path(
    exists=True, file_okay=False, resolve_path=True, path_type=pathlib.Path
)


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one run; see the YAML files in this directory.

    `answered` is the least share of calls that must be answered at the last
    attempt.  The fields in seconds bound how long changes may take.
    """

    name: str
    about: str
    seconds: float
    events: list[actions.Event]
    ci: bool = False
    seed: int = 1
    answered: float = 0.0
    load: load_module.CallRates = load_module.CallRates()
    shape: site_module.Topology = site_module.Topology()
    engines: site_module.EngineSettings = site_module.EngineSettings()
    new_work_seconds: float = 5.0
    configuration_seconds: float = 18.0


@dataclasses.dataclass(frozen=True)
class Report:
    """Collect the results of one run."""

    scenario: str
    results: list[checker.CheckResult]
    second_summaries: list[load_module.SecondSummary]
    calls: list[recordings.Call]

    @property
    def answered(self) -> float:
        """Return the share of calls answered at their last attempt."""
        total = sum(s.calls for s in self.second_summaries)
        return sum(s.answered for s in self.second_summaries) / max(1, total)


def read_scenarios() -> list[Scenario]:
    """Return the scenarios of all data files."""
    return [
        msgspec.yaml.decode(path.read_bytes(), type=Scenario)
        for path in sorted(DIRECTORY.glob("*.yaml"))
    ]


def combine(one: Scenario, other: Scenario, seed: int) -> Scenario:
    """Return a scenario with the events of both, at a random offset."""
    offset = random.Random(seed).uniform(0, MAX_OFFSET_SECONDS)
    shifted_events = [
        msgspec.structs.replace(event, at=event.at + offset)
        for event in other.events
    ]
    topology = max(
        one.shape, other.shape, key=lambda s: (len(s.zones), s.routers)
    )
    return msgspec.structs.replace(
        one,
        name=f"{one.name} + {other.name}",
        seconds=max(one.seconds, other.seconds + offset),
        events=[*one.events, *shifted_events],
        answered=0.0,
        seed=seed,
        shape=topology,
        configuration_seconds=max(
            one.configuration_seconds, other.configuration_seconds
        ),
    )


@dataclasses.dataclass(frozen=True)
class Trees:
    """Name the work trees of the first daemons and of later ones."""

    first: pathlib.Path = processes.ROOT
    later: pathlib.Path = processes.ROOT


def run_scenario(
    scenario: Scenario, naive: bool = False, trees: Trees = Trees()
) -> Report:
    """Run a scenario and check it; `naive` replaces the routers."""
    with (
        tempfile.TemporaryDirectory() as directory,
        processes.Fleet() as fleet,
    ):
        fleet.daemon_tree = trees.first
        site = site_module.Site(
            fleet, pathlib.Path(directory), scenario.shape, scenario.engines
        )
        fleet.daemon_tree = trees.later
        if naive:
            site.start_naive_router()
        generator = load_module.LoadGenerator(
            site.balanced_routers, scenario.seed
        )
        started = time.monotonic()
        with _BackgroundTasks(site, generator, scenario) as failures:
            calls = load_module.schedule(
                scenario.load, scenario.seconds, scenario.seed
            )
            generator.run(calls)
        time.sleep(SETTLE_SECONDS)
        site.sample_generations()
        if failures:
            raise failures[0]
        limits = recordings.Limits(
            scenario.new_work_seconds,
            scenario.configuration_seconds,
            site_module.LIST_LAG_SECONDS,
        )
        recording = site.build_recording(generator.calls, limits)
        second_summaries = list(
            load_module.summarise_by_second(generator.calls, started)
        )
    results = checker.check(recording)
    return Report(scenario.name, results, second_summaries, generator.calls)


class _BackgroundTasks:
    """Run the events and the sampler concurrently with the load."""

    def __init__(
        self,
        site: site_module.Site,
        generator: load_module.LoadGenerator,
        scenario: Scenario,
    ) -> None:
        self._site = site
        self._generator = generator
        self._scenario = scenario
        self._ended = threading.Event()
        self._failures: list[Exception] = []
        self._threads = [
            threading.Thread(target=self._run_event, args=(event,))
            for event in scenario.events
        ]
        self._sampler = threading.Thread(target=self._sample_periodically)

    def __enter__(self) -> list[Exception]:
        self._started = time.monotonic()
        for thread in [*self._threads, self._sampler]:
            thread.start()
        return self._failures

    def __exit__(self, *exception: object) -> None:
        for thread in self._threads:
            thread.join()
        self._ended.set()
        self._sampler.join()

    def _run_event(self, event: actions.Event) -> None:
        time.sleep(max(0.0, self._started + event.at - time.monotonic()))
        try:
            actions.ACTION_BY_NAME[event.do](
                self._site, self._generator, event
            )
        except Exception as failure:
            self._failures.append(failure)

    def _sample_periodically(self) -> None:
        while not self._ended.wait(site_module.SAMPLE_INTERVAL_SECONDS):
            self._site.sample_generations()


def _scenario_matrix(
    scenarios: list[Scenario], seed: int
) -> collections.abc.Iterator[Scenario]:
    rng = random.Random(seed)
    for scenario in scenarios:
        yield msgspec.structs.replace(scenario, seed=seed)
    pairs = list(itertools.combinations(scenarios, 2))
    rng.shuffle(pairs)
    for one, other in pairs:
        yield combine(one, other, rng.randrange(2**31))


def _run_before(
    scenario: Scenario, deadline: float, trees: Trees
) -> Report | None:
    needed_seconds = scenario.seconds + OVERHEAD_SECONDS
    if time.monotonic() + needed_seconds > deadline:
        return None
    try:
        return run_scenario(scenario, trees=trees)
    except (AssertionError, OSError) as failure:
        print(f"{scenario.name}: not run: {failure}", flush=True)
        return None


def _print_report(report: Report) -> None:
    print(f"{report.scenario}: {report.answered:.3f} answered", flush=True)
    for result in report.results:
        for reason in result.violations[:3]:
            print(f"  broken: {result.promise.value}: {reason}")
    outcomes = collections.Counter(
        (c.outcome.value, c.code, c.execution) for c in report.calls
    )
    for (outcome, code, execution), count in sorted(outcomes.items()):
        print(f"  {count} {outcome} {code} {execution}")


def _write_counts(report: Report, file: typing.TextIO) -> None:
    for result in report.results:
        line = {
            "scenario": report.scenario,
            "promise": result.promise.value,
            "tried": result.check_count,
            "broken": len(result.violations),
        }
        file.write(json.dumps(line) + "\n")
    file.flush()


def _print_totals(reports: list[Report]) -> bool:
    tried: collections.Counter[checker.Promise] = collections.Counter()
    broken: collections.Counter[checker.Promise] = collections.Counter()
    for report in reports:
        for result in report.results:
            tried[result.promise] += result.check_count
            broken[result.promise] += len(result.violations)
    print(f"{'promise':52}{'tried':>8}{'broken':>8}")
    for promise in checker.Promise:
        print(f"{promise.value:52}{tried[promise]:8}{broken[promise]:8}")
    return not broken.total()


@click.command()
@click.option("--seed", default=1, help="Seed of calls and pairs.")
@click.option(
    "--minutes", default=10.0, help="Start no run that would end later."
)
@click.option("--only", default="", help="Name of a single scenario.")
@click.option("--curve", is_flag=True, help="Print a summary of each second.")
@click.option("--at-a-time", default=2, help="Number of concurrent runs.")
@click.option("--from-tree", default=processes.ROOT, type=TREE)
@click.option("--to-tree", default=processes.ROOT, type=TREE)
@click.option(
    "--counts", type=click.File("a"), help="Append counts as JSON lines."
)
def main(
    seed: int,
    minutes: float,
    only: str,
    curve: bool,
    at_a_time: int,
    from_tree: pathlib.Path,
    to_tree: pathlib.Path,
    counts: typing.TextIO | None,
) -> None:
    """Run the scenarios and their pairs and print results by promise."""
    scenarios = [s for s in read_scenarios() if only in ("", s.name)]
    deadline = time.monotonic() + minutes * 60
    matrix = list(_scenario_matrix(scenarios, seed))
    reports = []
    trees = Trees(from_tree, to_tree)
    with concurrent.futures.ThreadPoolExecutor(at_a_time) as pool:
        futures = [
            pool.submit(_run_before, s, deadline, trees) for s in matrix
        ]
        for future in concurrent.futures.as_completed(futures):
            report = future.result()
            if report is None:
                continue
            reports.append(report)
            _print_report(report)
            if counts is not None:
                _write_counts(report, counts)
            if curve:
                for second in report.second_summaries:
                    print(f"  {second}")
    print(f"\n{len(reports)} of {len(matrix)} runs, seed {seed}")
    sys.exit(0 if _print_totals(reports) else 1)


if __name__ == "__main__":
    main()
