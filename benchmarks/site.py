"""Start a small deployment of real processes for a measurement."""

import dataclasses
import hashlib
import json
import os
import pathlib
import tempfile
import typing

from tests import processes

API_KEY: typing.Final = "benchmark-key"
ZONE: typing.Final = "kochi"
DOMAIN: typing.Final = "kochi-1"
COLD_START_SECONDS: typing.Final = 60.0
CLOCK_TICKS_PER_SECOND: typing.Final = os.sysconf("SC_CLK_TCK")
PAGE_BYTES: typing.Final = os.sysconf("SC_PAGE_SIZE")


@dataclasses.dataclass
class Site:
    """Group the processes of a deployment with one model service."""

    platform: processes.Process
    engines: list[processes.Process]
    controller: processes.Process
    router: processes.Process


def start(
    fleet: processes.Fleet, engines: int, engine_settings: dict[str, object]
) -> Site:
    """Start a platform, engines, a controller and a router; warm up."""
    platform = fleet.start_standin("platform")
    started = []
    entries = []
    for number in range(engines):
        settings = {"instance": f"e{number}", **engine_settings}
        engine = fleet.start_standin(
            "engine", "--settings", json.dumps(settings)
        )
        started.append(engine)
        entries.append(
            {
                "id": f"e{number}",
                "address": engine.address,
                "zone": ZONE,
                "domain": DOMAIN,
            }
        )
    processes.request(platform.address, "PUT", "/standin/instances", entries)
    _apply_configuration(fleet, platform, engines)
    controller = fleet.start_controller("controller-1", ZONE, platform.address)
    router = fleet.start_router("router-1", ZONE, platform.address)
    processes.wait_for(lambda: _count_endpoints(router) == engines)
    _warm_up_endpoints(router, engines)
    return Site(platform, started, controller, router)


def cpu_seconds(process: processes.Process) -> float:
    """Return the CPU time of a process, user and system."""
    stat = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def resident_bytes(process: processes.Process) -> int:
    """Return the resident memory of a process."""
    statm = pathlib.Path(f"/proc/{process.popen.pid}/statm").read_text()
    return int(statm.split()[1]) * PAGE_BYTES


def report(measure: str, value: float, unit: str, **facts: object) -> None:
    """Print one figure as a JSON line."""
    line = {"measure": measure, "value": round(value, 6), "unit": unit}
    print(json.dumps({**line, **facts}), flush=True)


def _warm_up_endpoints(router: processes.Process, engines: int) -> None:
    """Call the endpoints until all have ended their cold start."""
    body = {"model": "assistant", "prompt": "warm", "max_tokens": 1}
    headers = {"Authorization": f"Bearer {API_KEY}"}

    def count_warm_endpoints() -> int:
        for _ in range(engines):
            processes.request(
                router.address, "POST", "/v1/completions", body, headers
            )
        return sum("cold_start_ended" in x for x in router.log_lines)

    processes.wait_for(
        lambda: count_warm_endpoints() >= engines, COLD_START_SECONDS
    )


def _count_endpoints(router: processes.Process) -> int:
    health = processes.request(router.address, "GET", "/healthz")
    return int(health.json()["endpoints"])


def _apply_configuration(
    fleet: processes.Fleet, platform: processes.Process, replicas: int
) -> None:
    digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    configuration = {
        "services": [
            {
                "name": "assistant",
                "kind": "model",
                "replicas": replicas,
                "version": "v1",
                "capacity": 1000,
                "cold_limit": 1000,
            }
        ],
        "versions": [{"name": "v1", "service": "assistant", "weights": "w1"}],
        "organisations": [
            {
                "name": "benchmark",
                "key_sha256": digest,
                "max_concurrent": 100000,
            }
        ],
        "zones": [{"name": ZONE}],
    }
    with tempfile.TemporaryDirectory() as directory:
        file = pathlib.Path(directory) / "site.yaml"
        file.write_text(json.dumps(configuration))
        applied = fleet.start(
            "sycamoredale", "apply", str(file), "--platform", platform.address
        )
        if applied.popen.wait(20):
            raise RuntimeError("".join(applied.log_lines))
