"""Test the concurrency limit of cold endpoints with several routers.

The router that holds the slots is paused until others take over its lease,
then resumed, and the object API is down for a while.  In none of these
situations may an engine in cold start run more requests than its limit.
"""

import collections.abc
import contextlib
import dataclasses
import hashlib
import json
import pathlib
import threading
import time

import pytest

from tests import processes

KEY = "test-key"
LIMIT = 2
COLD_SECONDS = 16.0
CONFIGURATION = f"""
services:
  - name: assistant
    kind: model
    replicas: 2
    version: v1
    cold_limit: {LIMIT}
versions:
  - name: v1
    service: assistant
    weights: w1
organisations:
  - name: concierge
    key_sha256: {hashlib.sha256(KEY.encode()).hexdigest()}
zones:
  - name: kochi
limits:
  default_deadline_seconds: 2
"""
HEADERS = {"Authorization": f"Bearer {KEY}"}
PROMPT = {"model": "assistant", "prompt": "humidity", "max_tokens": 20}


@dataclasses.dataclass
class Site:
    """Manage the processes and count the answered calls."""

    fleet: processes.Fleet
    platform: processes.Process
    engines: list[processes.Process]
    routers: list[processes.Process]
    answered: int = 0
    stopping: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )

    def add_router(self) -> None:
        """Start a router and four clients that call it continuously."""
        name = f"router-{len(self.routers)}"
        router = self.fleet.start_router(name, "kochi", self.platform.address)
        self.routers.append(router)
        for _ in range(4):
            threading.Thread(
                target=self._call, args=(router,), daemon=True
            ).start()

    def engine_loads(self) -> list[dict[str, int]]:
        """Return the load records of the engines."""
        return [
            processes.request(e.address, "GET", "/standin/load").json()
            for e in self.engines
        ]

    def lease_holder(self) -> str:
        """Return a router that leases slots, an empty string without one."""
        stored = processes.request(
            self.platform.address, "GET", "/v1/object/cold-slots/kochi-1"
        ).json()
        leases = stored.get("value", {}).get("leases", [])
        return str(leases[0]["holder"].partition("/")[0]) if leases else ""

    def set_store_down(self, down: bool) -> None:
        """Start or end an outage of the object API."""
        processes.request(
            self.platform.address, "PUT", "/standin/faults", {"down": down}
        )

    def _call(self, router: processes.Process) -> None:
        while not self.stopping.is_set():
            with contextlib.suppress(OSError):
                answer = processes.request(
                    router.address,
                    "POST",
                    "/v1/completions",
                    PROMPT,
                    HEADERS,
                    seconds=3.0,
                )
                self.answered += answer.status == 200
                if answer.status != 200:
                    time.sleep(0.05)


@pytest.fixture
def site(tmp_path: pathlib.Path) -> collections.abc.Iterator[Site]:
    """Run two engines in a long cold start and three routers under load."""
    with processes.Fleet() as fleet:
        platform = fleet.start_standin("platform")
        settings = {"cold_seconds": COLD_SECONDS, "cold_limit": LIMIT}
        engines = [
            fleet.start_standin(
                "engine",
                "--settings",
                json.dumps({"instance": f"e{n}", **settings}),
            )
            for n in range(2)
        ]
        listed = [
            {
                "id": f"e{n}",
                "address": process.address,
                "zone": "kochi",
                "domain": "kochi-1",
            }
            for n, process in enumerate(engines)
        ]
        processes.request(
            platform.address, "PUT", "/standin/instances", listed
        )
        file = tmp_path / "site.yaml"
        file.write_text(CONFIGURATION)
        applied = fleet.start(
            "sycamoredale", "apply", str(file), "--platform", platform.address
        )
        assert applied.popen.wait(20) == 0, applied.log_lines
        fleet.start_controller("controller-1", "kochi", platform.address)
        running_site = Site(fleet, platform, engines, [])
        for _ in range(3):
            running_site.add_router()
        yield running_site
        running_site.stopping.set()


def test_cold_limit_holds_over_all_routers(site: Site) -> None:
    holder = processes.wait_for(site.lease_holder)
    processes.wait_for(lambda: site.answered >= 4)
    paused = site.routers[int(holder.removeprefix("router-"))]
    paused.pause()
    site.add_router()
    successor = processes.wait_for(
        lambda: site.lease_holder() not in (holder, "") and site.lease_holder()
    )
    assert successor != holder
    answered = site.answered
    processes.wait_for(lambda: site.answered > answered)
    paused.resume()
    site.set_store_down(True)
    time.sleep(3)
    site.set_store_down(False)
    loads_after_outage = site.engine_loads()
    answered = site.answered
    processes.wait_for(
        lambda: all(x["running"] > LIMIT for x in site.engine_loads())
    )
    processes.wait_for(lambda: site.answered > answered)
    for load in [*loads_after_outage, *site.engine_loads()]:
        assert load["overloads"] == 0
        assert load["max_running_cold"] == LIMIT
