"""Test the acceptance and propagation of configurations across processes."""

import collections.abc
import json
import re
import time
import typing

import pytest

from tests import processes
from tests import router_sites


@pytest.fixture(scope="module")
def site(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[router_sites.Site]:
    """Run four routers shared by all tests of the module."""
    with processes.Fleet() as fleet:
        file = tmp_path_factory.mktemp("site") / "site.yaml"
        yield router_sites.build(fleet, file)


def test_concurrent_apply_gets_a_conflict(site: router_sites.Site) -> None:
    planned = _command(site, "plan", str(site.file), "--json")
    generation = json.loads(_output(planned))["generation"]
    site.file.write_text(router_sites.configuration("in"))
    expected = ("--expect-generation", str(generation))
    concurrent_applies = [
        site.fleet.start(
            "sycamoredale",
            "apply",
            str(site.file),
            "--platform",
            site.platform.address,
            *expected,
        )
        for _ in range(4)
    ]
    codes = sorted(process.popen.wait(20) for process in concurrent_applies)
    assert codes == [0, 4, 4, 4]
    refused = next(p for p in concurrent_applies if p.popen.returncode == 4)
    processes.wait_for(lambda: refused.log_lines)
    numbers = re.findall(r"generation (\d+)", refused.log_lines[-1])
    assert numbers == [str(generation), str(generation + 1)]


def test_status_reports_which_daemons_have_it_in_force(
    site: router_sites.Site,
) -> None:
    applied = site.apply("in", "--wait-seconds", "10")
    assert applied.popen.returncode == 0, applied.log_lines
    paused = site.routers[1]
    paused.pause()
    try:
        applied = site.apply("in", "--wait-seconds", "1")
        assert applied.popen.returncode == 7
        report = json.loads(_output(_command(site, "status", "--json")))
    finally:
        paused.resume()
    in_force = {d["daemon"]: d["in_force"] for d in report["daemons"]}
    assert not in_force.pop("router-1")
    assert list(in_force.values()) == [True] * 3
    processes.wait_for(
        lambda: router_sites.health(paused)["generation"]
        == report["generation"]
    )


def test_older_state_of_the_store_is_ignored(
    site: router_sites.Site,
) -> None:
    old_version = _store_version(site)
    site.apply("in", "--wait-seconds", "10")
    generation = router_sites.health(site.routers[0])["generation"]
    site.faults(older_version=old_version)
    started = site.fleet.start_router(
        "router-9", "kochi", site.platform.address
    )
    processes.wait_for(
        lambda: router_sites.health(started)["generation"] == generation
    )
    for router in [*site.routers, started]:
        found = router_sites.health(router)
        assert found["generation"] == generation
        assert found["endpoints"] == 1
    site.faults()
    assert started.terminate() == 0


def test_truncated_watch_log_and_deletion_are_handled(
    site: router_sites.Site,
) -> None:
    listed = processes.request(
        site.platform.address, "GET", "/v1/object/assignment/kochi-1"
    ).json()
    site.faults(down=True)
    time.sleep(1.0)
    processes.request(site.platform.address, "PUT", "/standin/faults", {})
    for method, version in (("DELETE", listed["version"]), ("PUT", 0)):
        processes.request(site.platform.address, "PUT", "/standin/forget_log")
        processes.request(
            site.platform.address,
            method,
            "/v1/object/assignment/kochi-1",
            listed["value"],
            {"If-Version": str(version)},
        )
        processes.request(site.platform.address, "PUT", "/standin/forget_log")
        count = 1 if method == "PUT" else 0
        for router in site.routers:
            processes.wait_for(
                lambda r=router: router_sites.health(r)["endpoints"] == count
            )


def test_call_rate_is_bounded_when_the_store_returns(
    site: router_sites.Site,
) -> None:
    time.sleep(3.0)
    before = _peak(site, since=_last_second(site) - 2)
    site.faults(down=True)
    time.sleep(4.0)
    returned = _last_second(site)
    site.faults()
    time.sleep(3.0)
    assert _peak(site, since=returned) <= 3 * before + 10


def _peak(site: router_sites.Site, since: int) -> int:
    return max(r["calls"] for r in _rates(site) if r["second"] >= since)


def _last_second(site: router_sites.Site) -> int:
    return int(_rates(site)[-1]["second"])


def _rates(site: router_sites.Site) -> list[typing.Any]:
    answer = processes.request(
        site.platform.address, "GET", "/standin/calls_by_second"
    )
    return list(answer.json())


def _store_version(site: router_sites.Site) -> int:
    answer = processes.request(
        site.platform.address, "GET", "/v1/object/configuration"
    )
    return int(answer.json()["version"])


def _command(site: router_sites.Site, *arguments: str) -> processes.Process:
    process = site.fleet.start(
        "sycamoredale", *arguments, "--platform", site.platform.address
    )
    process.popen.wait(20)
    return process


def _output(process: processes.Process) -> str:
    assert process.popen.stdout is not None
    return process.popen.stdout.read()
