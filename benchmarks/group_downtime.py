"""Measure how long a group is unavailable when one of its members fails.

The controller and a greedy one each control a group of two engines with
spares; all run as processes, the platform and engines as stand-ins.  A member
is killed; the instance list removes it some seconds later and adds a new
instance.  Two times are printed: until no ready group contains the killed
member, and until a complete group is ready again.

Run `python -m benchmarks.group_downtime`.
"""

import collections.abc
import random
import statistics
import time
import typing

from benchmarks import site as site_module
from tests import group_site
from tests import processes

LOSSES: typing.Final = 8
SEED: typing.Final = 1
LIST_LAG_SECONDS: typing.Final = 5.0
TIMEOUT_SECONDS: typing.Final = 60.0
POLL_SECONDS: typing.Final = 0.02

Start = collections.abc.Callable[[group_site.GroupSite], processes.Process]


def measure(start: Start) -> tuple[list[float], list[float]]:
    """Return the seconds until the member is out and a group is ready."""
    sampler = random.Random(SEED)
    out: list[float] = []
    ready_again: list[float] = []
    with processes.Fleet() as fleet:
        site = group_site.start(fleet)
        site.add_engines([f"e{n}" for n in range(4)], "d1")
        site.publish()
        site.apply(
            services=[group_site.service(1, 2)], zones=[{"name": "kochi"}]
        )
        start(site)
        processes.wait_for(lambda: len(site.ready()) == 1)
        for number in range(LOSSES):
            killed = sampler.choice(sorted(site.ready()[0]))
            killed_at = time.monotonic()
            site.engines[killed].kill()
            out.append(_until(site, killed_at, killed, complete=False))
            ready_again.append(_until(site, killed_at, killed, complete=True))
            _replace(site, killed, f"r{number}")
    return out, ready_again


def _until(
    site: group_site.GroupSite, killed_at: float, killed: str, complete: bool
) -> float:
    while True:
        ready = site.ready()
        elapsed = time.monotonic() - killed_at
        if elapsed > LIST_LAG_SECONDS and killed in site.listed:
            del site.listed[killed]
            del site.engines[killed]
            site.publish()
        without_killed = all(killed not in members for members in ready)
        if without_killed and (ready or not complete):
            return elapsed
        if elapsed > TIMEOUT_SECONDS:
            raise TimeoutError(f"no recovery after the failure of {killed!r}")
        time.sleep(POLL_SECONDS)


def _replace(site: group_site.GroupSite, killed: str, new: str) -> None:
    site.listed.pop(killed, None)
    site.engines.pop(killed, None)
    site.add_engines([new], "d1")
    site.publish()
    time.sleep(2.0)


def _start_naive(site: group_site.GroupSite) -> processes.Process:
    return site.fleet.start(
        "benchmarks.naive_controller", site.platform.address
    )


def _start_ours(site: group_site.GroupSite) -> processes.Process:
    return site.fleet.start_controller("c1", "kochi", site.platform.address)


def main() -> None:
    """Print the times of both controllers."""
    for name, start in (("greedy", _start_naive), ("ours", _start_ours)):
        out, ready_again = measure(start)
        for what, times in (
            ("out_of_table", out),
            ("ready_again", ready_again),
        ):
            labels: dict[str, object] = {
                "variant": name,
                "losses": len(times),
            }
            median = statistics.median(times)
            site_module.report(f"downtime.{what}_p50", median, "s", **labels)
            site_module.report(
                f"downtime.{what}_worst", max(times), "s", **labels
            )


if __name__ == "__main__":
    main()
