"""Measure success and latency per second while a zone is out and returns.

Answers are long, so that streams are open when the zone is taken out.
"""

import msgspec

from benchmarks import site
from tests.scenarios import load
from tests.scenarios import runner
from tests.scenarios import site as site_module

LOAD = load.CallRates(assistant=60, bookings=15)
WARMUP_SECONDS = 4.0
ENGINES = site_module.EngineSettings(token_seconds=0.02)


def main() -> None:
    """Play the scenario against this project's routers and a naive one."""
    scenario = next(
        s for s in runner.read_scenarios() if s.name == "zone-out-in"
    )
    later = [
        msgspec.structs.replace(event, at=event.at + WARMUP_SECONDS)
        for event in scenario.events
    ]
    scenario = msgspec.structs.replace(
        scenario,
        load=LOAD,
        engines=ENGINES,
        events=later,
        seconds=scenario.seconds + WARMUP_SECONDS,
    )
    for variant in ("ours", "naive"):
        report = runner.run_scenario(scenario, variant == "naive")
        for second in report.second_summaries:
            facts: dict[str, object] = {
                "variant": variant,
                "size": second.second,
                "size_unit": "s",
                "calls": second.calls,
            }
            share = second.answered / second.calls
            site.report("zone_curve.success", share, "of calls", **facts)
            p99 = second.p99_seconds
            site.report("zone_curve.p99", p99, "s", **facts)


if __name__ == "__main__":
    main()
