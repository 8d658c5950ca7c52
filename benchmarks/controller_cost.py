"""Measure the cost of an idle controller.

One controller controls groups of two engines in 1, 2, 4 and 8 domains.  For
each size the benchmark prints the platform calls per second by kind and the
share of a core that the controller uses.

Run `python -m benchmarks.controller_cost`.
"""

import os
import pathlib
import time
import typing

from benchmarks import site
from tests import group_site
from tests import processes

DOMAINS: typing.Final = (1, 2, 4, 8)
MEASURE_SECONDS: typing.Final = 15.0
ENGINES_PER_DOMAIN: typing.Final = 4
CPU_FIELDS: typing.Final = slice(13, 15)


def measure(domains: int) -> tuple[dict[str, float], float]:
    """Return the calls per second by kind and the share of a core."""
    with processes.Fleet() as fleet:
        started = group_site.start(fleet)
        for domain in range(domains):
            names = [f"d{domain}-{n}" for n in range(ENGINES_PER_DOMAIN)]
            started.add_engines(names, f"d{domain}")
        started.publish()
        groups = domains * ENGINES_PER_DOMAIN // 2
        started.apply(
            services=[group_site.service(groups, 2)],
            zones=[{"name": "kochi"}],
        )
        controller = fleet.start_controller(
            "c1", "kochi", started.platform.address
        )
        processes.wait_for(lambda: len(started.ready()) == groups, 60.0)
        time.sleep(2.0)
        calls = _calls(started)
        cpu = _cpu_seconds(controller.popen.pid)
        time.sleep(MEASURE_SECONDS)
        after = _calls(started)
        share = (_cpu_seconds(controller.popen.pid) - cpu) / MEASURE_SECONDS
        rates = {
            kind: (count - calls.get(kind, 0)) / MEASURE_SECONDS
            for kind, count in after.items()
        }
    return rates, share


def main() -> None:
    """Print the cost for each number of instances."""
    for domains in DOMAINS:
        rates, share = measure(domains)
        size: dict[str, object] = {
            "size": domains * ENGINES_PER_DOMAIN,
            "size_unit": "instances",
        }
        site.report("controller.cpu", share * 100, "% of a core", **size)
        for kind, rate in sorted(rates.items()):
            if rate:
                measured = f"controller.calls_{_name(kind)}"
                site.report(measured, rate, "calls/s", **size)


def _name(kind: str) -> str:
    return kind.lower().replace(" ", "_")


def _calls(started: group_site.GroupSite) -> dict[str, int]:
    answer = processes.request(
        started.platform.address, "GET", "/standin/calls"
    )
    return dict(answer.json())


def _cpu_seconds(pid: int) -> float:
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    ticks = sum(int(field) for field in stat.split()[CPU_FIELDS])
    return ticks / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
    main()
