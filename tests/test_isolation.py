"""Test who gives out work when the store, peers or both are out of reach."""

import collections.abc
import concurrent.futures
import pathlib
import time

import pytest

from tests import processes
from tests import router_sites

BOUND_SECONDS = 3.0


@pytest.fixture
def site(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[router_sites.Site]:
    """Run four routers; the last one's way to the store can be cut."""
    with processes.Fleet() as fleet:
        yield router_sites.build(fleet, tmp_path / "site.yaml")


def test_router_cut_from_the_store_hears_of_a_zone(
    site: router_sites.Site,
) -> None:
    site.proxy.block()
    time.sleep(1.0)
    applied = site.apply("out")
    assert applied.popen.returncode == 0, applied.log_lines
    _assert_no_work(site, site.routers)
    assert router_sites.health(site.routers[-1])["standing"] == "fresh"


def test_router_cut_from_all_gives_out_no_work(
    site: router_sites.Site,
) -> None:
    cut = site.routers[-1]
    site.proxy.block()
    for router in site.routers[:-1]:
        router.pause()
    applied = site.apply("out")
    assert applied.popen.returncode == 0, applied.log_lines
    time.sleep(BOUND_SECONDS)
    before = site.executions()
    for _ in range(10):
        answer = router_sites.call(cut)
        error = answer.json()["error"]
        assert (error["code"], error["execution"]) == ("isolated", "not_run")
        assert answer.headers["Retry-After"]
        time.sleep(0.1)
    assert site.executions() == before
    for router in site.routers[:-1]:
        router.resume()
    site.proxy.unblock()
    site.apply("in")
    processes.wait_for(lambda: router_sites.call(cut).status == 200)


def test_outage_of_the_store_stops_nobody(site: router_sites.Site) -> None:
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
    """Check that a zone gets no work once the bound has passed."""
    time.sleep(BOUND_SECONDS)
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
