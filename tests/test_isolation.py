"""Test which routers dispatch work while the store or peers are unreachable.

A router that cannot learn that a zone was taken out must stop dispatching,
while an outage of the store for all must not stop any router.
"""

import collections.abc
import concurrent.futures
import pathlib
import time

import pytest

from tests import processes
from tests import router_sites

# Exceeds freshness.MAX_AGE_SECONDS, after which isolated routers stop.
STOP_WITHIN_SECONDS = 3.0


@pytest.fixture
def site(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[router_sites.Site]:
    """Run four routers; the last one reaches the store through a proxy."""
    with processes.Fleet() as fleet:
        yield router_sites.build(fleet, tmp_path / "site.yaml")


def test_router_without_store_learns_of_a_zone_from_peers(
    site: router_sites.Site,
) -> None:
    site.proxy.block()
    time.sleep(1.0)
    applied = site.apply("out")
    assert applied.popen.returncode == 0, applied.log_lines
    _assert_no_work(site, site.routers)
    assert router_sites.health(site.routers[-1])["standing"] == "fresh"


def test_isolated_router_dispatches_no_work(
    site: router_sites.Site,
) -> None:
    isolated_router = site.routers[-1]
    site.proxy.block()
    for router in site.routers[:-1]:
        router.pause()
    applied = site.apply("out")
    assert applied.popen.returncode == 0, applied.log_lines
    time.sleep(STOP_WITHIN_SECONDS)
    before = site.executions()
    for _ in range(10):
        answer = router_sites.call(isolated_router)
        error = answer.json()["error"]
        assert (error["code"], error["execution"]) == ("isolated", "not_run")
        assert answer.headers["Retry-After"]
        time.sleep(0.1)
    assert site.executions() == before
    for router in site.routers[:-1]:
        router.resume()
    site.proxy.unblock()
    site.apply("in")
    processes.wait_for(
        lambda: router_sites.call(isolated_router).status == 200
    )


def test_store_outage_stops_no_router(site: router_sites.Site) -> None:
    site.faults(down=True)
    _serve_all(site.routers, 4.0)
    site.routers[0].kill()
    _serve_all(site.routers[1:], 6.0)
    site.faults(down=False)
    assert site.apply("out").popen.returncode == 0
    _assert_no_work(site, site.routers[1:])


def _assert_no_work(
    site: router_sites.Site, routers: list[processes.Process]
) -> None:
    """Check that no router has an endpoint in the zone that is out."""
    time.sleep(STOP_WITHIN_SECONDS)
    before = site.executions()
    with concurrent.futures.ThreadPoolExecutor() as pool:
        codes = list(pool.map(_code, routers))
    assert codes == ["no_endpoint"] * len(routers)
    assert site.executions() == before


def _serve_all(routers: list[processes.Process], seconds: float) -> None:
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for router in routers:
            answer = router_sites.call(router)
            assert answer.status == 200, answer.body
        time.sleep(0.05)


def _code(router: processes.Process) -> str:
    answer = router_sites.call(router)
    return "" if answer.status == 200 else str(answer.json()["error"]["code"])
