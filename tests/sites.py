"""Start small sites of processes: platform, endpoints, routers, controller."""

import dataclasses
import hashlib
import json
import pathlib
import tempfile
import typing

import msgspec

from sycamoredale.standins import generation
from tests import processes

KEY = "test-key"
HEADERS = {"Authorization": f"Bearer {KEY}"}
DOMAINS = 2


@dataclasses.dataclass
class Site:
    """Run the processes of one small site."""

    platform: processes.Process
    engines: list[processes.Process]
    ledger: processes.Process
    routers: list[processes.Process]
    controller: processes.Process

    def executions(self, by: str = "executions") -> dict[str, int]:
        """Return the number of executions in the ledger by idempotency key.

        `by` selects another counter of the ledger, such as by request id.
        """
        path = f"/standin/{by}"
        counts = processes.request(self.ledger.address, "GET", path).json()
        return typing.cast("dict[str, int]", counts)

    def withdraw(
        self,
        key: str | None,
        router: int = 0,
        body: object = "bottle",
        **headers: str,
    ) -> processes.Answer:
        """Book a withdrawal through a router."""
        sent = {**HEADERS, **headers}
        if key is not None:
            sent["Idempotency-Key"] = key
        return processes.request(
            self.routers[router].address,
            "POST",
            "/services/bookings/withdrawals",
            body,
            sent,
        )


def start(
    fleet: processes.Fleet,
    engines: int = 0,
    routers: int = 1,
    engine_settings: dict[str, object] | None = None,
) -> Site:
    """Start a site and wait until its routers list all endpoints."""
    platform = fleet.start_standin("platform")
    ledger = fleet.start_standin("ledger")
    started = [
        fleet.start_standin(
            "engine",
            "--settings",
            json.dumps(
                {
                    "instance": f"e{n}",
                    "load_seconds": 0.0,
                    "cold_seconds": 0.0,
                    **(engine_settings or {}),
                }
            ),
        )
        for n in range(engines)
    ]
    _list_instances(platform, started, ledger)
    _apply(fleet, platform, engines)
    controller = fleet.start_controller(
        "controller-1", "kochi", platform.address
    )
    running = [
        fleet.start_router(f"router-{n}", "kochi", platform.address)
        for n in range(routers)
    ]
    for router in running:
        processes.wait_for(lambda: endpoints(router) == engines + 1)
    return Site(platform, started, ledger, running, controller)


def endpoints(router: processes.Process) -> int:
    """Return the number of endpoints of a router."""
    health = processes.request(router.address, "GET", "/healthz")
    return int(health.json()["endpoints"])


def set_faults(standin: processes.Process, **faults: object) -> None:
    """Set the faults of a stand-in, clearing all others."""
    answer = processes.request(
        standin.address, "PUT", "/standin/faults", faults
    )
    assert answer.status == 200


def expected_text(prompt: dict[str, object]) -> str:
    """Return the complete text that answers a prompt."""
    return generation.expected_text(
        msgspec.convert(prompt, generation.CompletionRequest)
    )


def streamed_text(body: bytes) -> str:
    """Return the text of a complete stream."""
    events = body.decode().split("\n\n")
    assert events[-2:] == ["data: [DONE]", ""], events[-2:]
    choices = [
        json.loads(e.removeprefix("data: "))["choices"][0] for e in events[:-2]
    ]
    return "".join(choice["text"] for choice in choices)


def _list_instances(
    platform: processes.Process,
    engines: list[processes.Process],
    ledger: processes.Process,
) -> None:
    listed = [
        {
            "id": f"e{n}",
            "address": process.address,
            "zone": "kochi",
            "domain": f"kochi-{n % DOMAINS}",
        }
        for n, process in enumerate(engines)
    ]
    listed.append(
        {
            "id": "ledger",
            "address": ledger.address,
            "zone": "kochi",
            "domain": "kochi-0",
            "runs": "bookings",
        }
    )
    processes.request(platform.address, "PUT", "/standin/instances", listed)


def _apply(
    fleet: processes.Fleet, platform: processes.Process, engines: int
) -> None:
    services: list[dict[str, object]] = [
        {
            "name": "bookings",
            "kind": "plain",
            "replicas": 1,
            "cold_limit": 64,
            "capacity": 64,
            "routes": [
                {
                    "path": "/withdrawals",
                    "methods": ["POST"],
                    "idempotent": False,
                }
            ],
        }
    ]
    if engines:
        services.append(
            {
                "name": "assistant",
                "kind": "model",
                "replicas": engines,
                "version": "v1",
                "cold_limit": 64,
                "capacity": 64,
            }
        )
    configuration = {
        "services": services,
        "versions": [{"name": "v1", "service": "assistant", "weights": "w"}],
        "organisations": [
            {
                "name": "concierge",
                "key_sha256": hashlib.sha256(KEY.encode()).hexdigest(),
            }
        ],
        "zones": [{"name": "kochi"}],
    }
    if not engines:
        del configuration["versions"]
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "site.yaml"
        file.write_text(json.dumps(configuration))
        applied = fleet.start(
            "sycamoredale", "apply", str(file), "--platform", platform.address
        )
        assert applied.popen.wait(20) == 0, applied.log_lines
