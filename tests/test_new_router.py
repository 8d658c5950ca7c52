"""Test that a router refuses calls until it has read a configuration."""

from tests import processes
from tests.scenarios import load


def test_router_without_configuration_is_not_ready() -> None:
    with processes.Fleet() as fleet:
        platform = fleet.start_standin("platform")
        processes.request(
            platform.address, "PUT", "/standin/faults", {"down": True}
        )
        router = fleet.start_router("router-1", "kochi", platform.address)
        answer = processes.request(
            router.address,
            "POST",
            "/v1/completions",
            {"model": "assistant", "prompt": "x"},
            {"Authorization": f"Bearer {load.API_KEY}"},
        )
    assert answer.status == 503
    assert answer.json()["error"]["execution"] == "not_run"
    assert answer.headers["Retry-After"]
