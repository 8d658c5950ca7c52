"""Measure the delay until an accepted configuration is in force.

Run as `python -m benchmarks.config_spread --routers 16 --changes 40`.  The
delay is measured from the answer to the conditional update until each router
logs the generation.  All processes share one clock.  Prints one JSON line
for each figure.
"""

import datetime
import json
import random
import time
import typing

import click
import curio

from benchmarks import fleet_cost
from benchmarks import site
from sycamoredale.config import model
from sycamoredale.config import store as config_store
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.object_api import objects
from tests import processes

ORGANISATIONS: typing.Final = 400
IN_FORCE_TIMEOUT_SECONDS: typing.Final = 20.0


@click.command()
@click.option("--routers", default=16)
@click.option("--changes", default=40)
@click.option("--gap-seconds", default=1.0)
def main(routers: int, changes: int, gap_seconds: float) -> None:
    """Accept changes sequentially and report quantiles of the delays."""
    fleet_cost.isolate_network()
    with processes.Fleet() as fleet:
        platform = fleet.start_standin("platform")
        started = fleet_cost.start_routers(fleet, platform, routers)
        accepted_at: dict[int, float] = {}
        for number in range(changes):
            generation = curio.run(_accept, platform.address, number)
            accepted_at[generation] = time.time()
            time.sleep(gap_seconds * random.Random(number).uniform(0.5, 1.5))
        last = max(accepted_at)
        processes.wait_for(
            lambda: all(last in in_force(r) for r in started),
            IN_FORCE_TIMEOUT_SECONDS,
        )
        delays = sorted(
            max(0.0, moment - accepted_at[generation])
            for router in started
            for generation, moment in in_force(router).items()
        )
    expected = routers * changes
    for quantile in (0.5, 0.99, 1.0):
        index = min(len(delays) - 1, int(quantile * len(delays)))
        site.report(
            f"in_force_p{100 * quantile:g}",
            delays[index],
            "s",
            routers=routers,
            changes=changes,
            seen=len(delays),
            skipped=expected - len(delays),
        )


async def _accept(address: str, number: int) -> int:
    """Accept a configuration with a changed weight; return its generation."""
    store = objects.ObjectStore(messages.parse_address(address), client.Pool())
    seen = await config_store.read(store)
    organisations = [
        model.Organisation(
            ids.OrganisationName(f"organisation-{n}"),
            f"{n:064x}",
            weight=2 + number if n == number % ORGANISATIONS else 1,
        )
        for n in range(ORGANISATIONS)
    ]
    wanted = model.Configuration(organisations=organisations)
    return (await config_store.accept(store, seen, wanted)).generation


def in_force(router: processes.Process) -> dict[int, float]:
    """Return when each generation came into force, in epoch seconds."""
    in_force_at = {}
    for line in list(router.log_lines):
        if "configuration_in_force" in line:
            entry = json.loads(line)
            moment = datetime.datetime.fromisoformat(entry["timestamp"])
            in_force_at[int(entry["generation"])] = moment.timestamp()
    return in_force_at


if __name__ == "__main__":
    main()
