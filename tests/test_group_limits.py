"""Test with real processes what limits the actions of a controller."""

import collections.abc

import pytest

from tests import group_site
from tests import processes


@pytest.fixture
def site() -> collections.abc.Iterator[group_site.GroupSite]:
    """Run a platform; terminate all processes afterwards."""
    with processes.Fleet() as fleet:
        yield group_site.start(fleet)


def test_controller_that_reaches_few_instances_changes_nothing(
    site: group_site.GroupSite,
) -> None:
    for domain in ("d1", "d2", "d3"):
        site.add_engines((f"{domain}-e0", f"{domain}-e1"), domain)
    site.publish()
    site.apply(services=[group_site.service(3, 2)], zones=[{"name": "kochi"}])
    controller = site.controller("c1")
    all_groups = [{f"d{n}-e0", f"d{n}-e1"} for n in (1, 2, 3)]
    site.wait_ready(*all_groups)
    for name, engine in site.engines.items():
        if not name.startswith("d1"):
            engine.pause()
    processes.wait_for(
        lambda: any(
            "local_fault_suspected" in line for line in controller.log_lines
        )
    )
    site.wait_ready(*all_groups)


def test_loads_respect_the_limit_of_the_weight_store(
    site: group_site.GroupSite,
) -> None:
    address = site.platform.address
    limits = {"concurrent_fetches": 2, "fetch_seconds": 0.3}
    processes.request(address, "PUT", "/standin/weights", limits)
    for domain in ("d1", "d2", "d3"):
        site.add_engines(
            (f"{domain}-e0", f"{domain}-e1"), domain, weight_store=address
        )
    site.publish()
    site.apply(services=[group_site.service(3, 2)], zones=[{"name": "kochi"}])
    site.controller("c1")
    site.controller("c2")
    site.wait_ready(*[{f"d{n}-e0", f"d{n}-e1"} for n in (1, 2, 3)])
    usage = processes.request(address, "GET", "/standin/weights").json()
    assert usage == {"fetches": 6, "refused": 0, "peak": 2}
