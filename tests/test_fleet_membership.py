"""Test membership with processes that are killed, paused and restarted."""

import collections.abc
import dataclasses
import json
import pathlib
import typing

import pytest

from tests import processes

ZONES = ("kochi", "thrissur")


@dataclasses.dataclass
class Daemons:
    """Run a platform and four routers in two zones."""

    fleet: processes.Fleet
    platform: processes.Process
    routers: list[processes.Process]

    def start_router(self, number: int, *more: str) -> processes.Process:
        """Start a router; the same number reuses the daemon id."""
        return self.fleet.start_router(
            f"router-{number}",
            ZONES[number % 2],
            self.platform.address,
            *more,
        )


@pytest.fixture
def daemons() -> collections.abc.Iterator[Daemons]:
    """Start the daemons and wait until all list each other as peers."""
    with processes.Fleet() as fleet:
        platform = fleet.start_standin("platform")
        found = Daemons(fleet, platform, [])
        found.routers = [found.start_router(n) for n in range(4)]
        for router in found.routers:
            processes.wait_for(lambda r=router: health(r)["peers"] == 4)
        yield found


def health(router: processes.Process) -> typing.Any:
    """Return the health report of a router."""
    return processes.request(router.address, "GET", "/healthz").json()


def set_faults(platform: processes.Process, **faults: object) -> None:
    """Set the faults of the platform."""
    processes.request(platform.address, "PUT", "/standin/faults", faults)


def apply(
    fleet: processes.Fleet,
    platform: processes.Process,
    file: pathlib.Path,
    text: str,
    *more: str,
) -> processes.Process:
    """Apply a configuration by the command line; return the process."""
    file.write_text(text)
    process = fleet.start(
        "sycamoredale",
        "apply",
        str(file),
        "--platform",
        platform.address,
        *more,
    )
    process.popen.wait(20)
    return process


def test_dead_daemon_is_detected_and_rejoins(daemons: Daemons) -> None:
    daemons.routers[3].kill()
    others = daemons.routers[:3]
    for router in others:
        processes.wait_for(lambda r=router: health(r)["peers"] == 3)
    restarted = daemons.start_router(3)
    for router in [*others, restarted]:
        processes.wait_for(lambda r=router: health(r)["peers"] == 4)


def test_paused_daemon_refutes_its_death(daemons: Daemons) -> None:
    paused = daemons.routers[1]
    others = [r for r in daemons.routers if r is not paused]
    paused.pause()
    for router in others:
        processes.wait_for(lambda r=router: health(r)["peers"] == 3)
    paused.resume()
    for router in daemons.routers:
        processes.wait_for(lambda r=router: health(r)["peers"] == 4)
    assert not any("member_dead" in line for line in paused.log_lines)


def test_stopped_daemon_leaves_immediately(daemons: Daemons) -> None:
    leaving = daemons.routers[2]
    assert leaving.terminate() == 0
    for router in daemons.routers:
        if router is not leaving:
            processes.wait_for(lambda r=router: health(r)["peers"] == 3, 3.0)
    lines = daemons.routers[0].log_lines
    states = [json.loads(x) for x in lines if '"member_changed"' in x]
    assert "left" in {s["state"] for s in states if s["id"] == "router-2"}


def test_configuration_survives_a_store_outage(
    daemons: Daemons, tmp_path: pathlib.Path
) -> None:
    text = "zones:\n  - name: kochi\n"
    done = apply(daemons.fleet, daemons.platform, tmp_path / "site.yaml", text)
    assert done.popen.returncode == 0, done.log_lines
    for router in daemons.routers:
        processes.wait_for(lambda r=router: health(r)["generation"] == 1, 5.0)
    set_faults(daemons.platform, down=True)
    daemons.routers[0].kill()
    seed = _peer_address(daemons.routers[1])
    restarted = daemons.start_router(0, "--seeds", seed)
    processes.wait_for(lambda: health(restarted)["generation"] == 1)
    processes.wait_for(lambda: health(restarted)["standing"] == "store_down")
    for router in daemons.routers[1:]:
        assert health(router)["standing"] == "store_down"


def _peer_address(router: processes.Process) -> str:
    for line in router.log_lines:
        if "peer_service_listening" in line:
            return str(json.loads(line)["address"])
    raise AssertionError("the router logged no address for peers")
