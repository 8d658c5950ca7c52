"""Test calls from a caller through a router to endpoints."""

import collections.abc
import dataclasses
import hashlib
import json
import pathlib

import msgspec
import pytest

from sycamoredale.standins import generation
from tests import processes

KEY = "test-key"
CONFIGURATION = f"""
services:
  - name: assistant
    kind: model
    replicas: 1
    instances_per_replica: 2
    version: v1
  - name: bookings
    kind: plain
    replicas: 1
    routes:
      - path: /withdrawals
        methods: [POST]
        idempotent: false
versions:
  - name: v1
    service: assistant
    weights: assistant-v1
organisations:
  - name: concierge
    key_sha256: {hashlib.sha256(KEY.encode()).hexdigest()}
zones:
  - name: kochi
"""
HEADERS = {"Authorization": f"Bearer {KEY}"}


@dataclasses.dataclass
class Site:
    """List the processes of a small deployment."""

    fleet: processes.Fleet
    platform: processes.Process
    router: processes.Process
    ledger: processes.Process


@pytest.fixture(scope="module")
def site(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[Site]:
    """Run a platform, two engines, a ledger, a controller and a router."""
    with processes.Fleet() as fleet:
        platform = fleet.start_standin("platform")
        engines = [
            fleet.start_standin(
                "engine", "--settings", json.dumps({"instance": f"e{n}"})
            )
            for n in range(2)
        ]
        ledger = fleet.start_standin("ledger")
        _list_instances(platform, engines, ledger)
        file = tmp_path_factory.mktemp("site") / "site.yaml"
        _apply(fleet, platform, file)
        fleet.start_controller("controller-1", "kochi", platform.address)
        router = fleet.start_router("router-1", "kochi", platform.address)
        processes.wait_for(
            lambda: processes.request(
                router.address, "GET", "/healthz"
            ).json()["endpoints"]
            == 2
        )
        yield Site(fleet, platform, router, ledger)


def test_streamed_answer_is_complete(site: Site) -> None:
    prompt = {
        "model": "assistant",
        "messages": [{"role": "user", "content": "Is the 1996 ready?"}],
        "max_tokens": 8,
        "stream": True,
    }
    answer = processes.request(
        site.router.address, "POST", "/v1/chat/completions", prompt, HEADERS
    )
    assert answer.status == 200
    assert _streamed_text(answer.body) == _expected(prompt)


def test_answer_without_streaming(site: Site) -> None:
    prompt = {"model": "assistant", "prompt": "humidity", "max_tokens": 3}
    answer = processes.request(
        site.router.address, "POST", "/v1/completions", prompt, HEADERS
    )
    assert answer.json()["choices"][0]["text"] == _expected(prompt)


def test_withdrawal_runs_once(site: Site) -> None:
    answer = processes.request(
        site.router.address,
        "POST",
        "/services/bookings/withdrawals",
        {"bottle": 7},
        {**HEADERS, "Idempotency-Key": "w-1"},
    )
    assert answer.json() == {"booked": "w-1", "execution": 1}
    executions = processes.request(
        site.ledger.address, "GET", "/standin/executions"
    )
    assert executions.json() == {"w-1": 1}


@pytest.mark.parametrize(
    ("path", "headers", "status", "code"),
    [
        ("/v1/completions", {}, 401, "unknown_key"),
        ("/nowhere", HEADERS, 404, "not_found"),
        ("/services/none/x", HEADERS, 404, "unknown_service"),
        ("/v1/completions", HEADERS, 400, "malformed_request"),
    ],
)
def test_refusals_carry_a_code(
    site: Site, path: str, headers: dict[str, str], status: int, code: str
) -> None:
    answer = processes.request(site.router.address, "POST", path, [1], headers)
    assert answer.status == status
    assert answer.json()["error"]["code"] == code
    assert answer.json()["error"]["execution"] == "not_run"


def test_histograms_count_the_calls_of_each_class(site: Site) -> None:
    headers = {**HEADERS, "X-Priority": "batch"}
    prompt = {"model": "assistant", "prompt": "count", "max_tokens": 2}
    path = "/v1/completions"
    for _ in range(3):
        processes.request(site.router.address, "POST", path, prompt, headers)
    shown = site.fleet.start(
        "sycamoredale",
        "histogram",
        "--json",
        "--platform",
        site.platform.address,
    )
    output, _ = shown.popen.communicate(timeout=20)
    report = json.loads(output)
    assert (report["routers"], report["answered"]) == (1, 1)
    counts = {
        (h["organisation"], h["group"], h["measure"]): h["count"]
        for h in report["histograms"]
    }
    assert counts["concierge", "assistant/batch", "total"] == 3
    assert counts["concierge", "assistant/batch", "first_byte"] == 3


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
            "domain": "kochi-1",
        }
        for n, process in enumerate(engines)
    ]
    listed.append(
        {
            "id": "ledger",
            "address": ledger.address,
            "zone": "kochi",
            "domain": "kochi-1",
            "runs": "bookings",
        }
    )
    processes.request(platform.address, "PUT", "/standin/instances", listed)


def _apply(
    fleet: processes.Fleet, platform: processes.Process, file: pathlib.Path
) -> None:
    file.write_text(CONFIGURATION)
    applied = fleet.start(
        "sycamoredale", "apply", str(file), "--platform", platform.address
    )
    assert applied.popen.wait(20) == 0, applied.log_lines


def _streamed_text(body: bytes) -> str:
    events = [e for e in body.decode().split("\n\n") if e]
    assert events[-1] == "data: [DONE]"
    choices = [
        json.loads(e.removeprefix("data: "))["choices"][0] for e in events[:-1]
    ]
    return "".join(choice["delta"]["content"] for choice in choices)


def _expected(prompt: dict[str, object]) -> str:
    decoded = msgspec.convert(prompt, generation.CompletionRequest)
    return generation.expected_text(decoded)
