"""Compare this project's routers with a naive one under faults.

The figures are unanswered calls, duplicate bookings, extra tries and the
median time to an answer.
"""

import statistics

from benchmarks import site
from tests import checker
from tests import recordings
from tests.scenarios import runner

SCENARIOS = ("lost-ledger-answers", "kill-instance", "cold-again")


def main() -> None:
    """Play the same seeded calls and faults against both variants."""
    scenario_by_name = {s.name: s for s in runner.read_scenarios()}
    for name in SCENARIOS:
        for variant in ("ours", "naive"):
            report = runner.run_scenario(
                scenario_by_name[name], variant == "naive"
            )
            _report(name, variant, report)


def _report(name: str, variant: str, report: runner.Report) -> None:
    calls = len({call.marker for call in report.calls})
    duplicates = {
        result.promise: len(result.violations) for result in report.results
    }[checker.Promise.AT_MOST_ONCE]
    facts: dict[str, object] = {"variant": variant, "calls": calls}
    figures = (
        ("unanswered_share", 1 - report.answered, "of calls"),
        ("doubled_bookings", duplicates, "bookings"),
        ("extra_tries", len(report.calls) - calls, "tries"),
        ("median_seconds", _median_seconds(report.calls), "s"),
    )
    for quantity, value, unit in figures:
        site.report(f"{name}.{quantity}", value, unit, **facts)


def _median_seconds(calls: list[recordings.Call]) -> float:
    answered = [
        call.ended - call.time
        for call in calls
        if call.outcome is recordings.Outcome.COMPLETE
    ]
    return statistics.median(answered)


if __name__ == "__main__":
    main()
