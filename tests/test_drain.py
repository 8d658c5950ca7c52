"""Test that draining an engine or a router completes open requests."""

import collections.abc
import concurrent.futures
import time

import pytest

from sycamoredale.engines import orders
from tests import processes
from tests import sites

LATER_EPOCH = 1_000_000


@pytest.fixture(scope="module")
def site() -> collections.abc.Iterator[sites.Site]:
    """Run two routers, two engines and a ledger."""
    with processes.Fleet() as fleet:
        settings: dict[str, object] = {"cold_limit": 64}
        yield sites.start(
            fleet, engines=2, routers=2, engine_settings=settings
        )


def test_draining_engine_completes_streams_and_takes_no_more(
    site: sites.Site,
) -> None:
    with concurrent.futures.ThreadPoolExecutor(24) as pool:
        open_streams = [
            pool.submit(_stream, site, f"open {n}", 150, 1) for n in range(6)
        ]
        time.sleep(0.3)
        # The controller would load the engine again and end the drain.
        site.controller.pause()
        _order(site.engines[0], orders.Action.DRAIN)
        before = _executed(site.engines[0])
        new = [pool.submit(_stream, site, f"new {n}", 5, 1) for n in range(12)]
        for future in [*open_streams, *new]:
            prompt, answer = future.result()
            text = sites.streamed_text(answer.body)
            assert text == sites.expected_text(prompt)
    assert _executed(site.engines[0]) == before
    resumed = processes.request(
        site.engines[1].address, "GET", "/standin/resumed"
    )
    assert resumed.json() == {}


def test_stopping_router_completes_open_requests(site: sites.Site) -> None:
    stopping = site.routers[0]
    sites.set_faults(site.ledger, delay=0.8)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        streams = [
            pool.submit(_stream, site, f"last {n}", 200, 0) for n in range(4)
        ]
        booked = pool.submit(site.withdraw, "last", 0)
        processes.wait_for(lambda: "last" in site.executions())
        stopping.popen.terminate()
        health = processes.wait_for(lambda: _unhealthy(stopping))
        refused = site.withdraw("too late", 0)
        for future in streams:
            prompt, answer = future.result()
            text = sites.streamed_text(answer.body)
            assert text == sites.expected_text(prompt)
    assert health.json()["draining"] is True
    assert refused.json()["error"]["code"] == "draining"
    assert refused.json()["error"]["execution"] == "not_run"
    assert "too late" not in site.executions()
    assert booked.result().status == 200
    assert stopping.popen.wait(20) == 0
    again = site.withdraw("last", 1)
    assert again.headers["Idempotent-Replayed"] == "true"
    assert again.body == booked.result().body


def _unhealthy(router: processes.Process) -> processes.Answer | None:
    answer = processes.request(router.address, "GET", "/healthz")
    return answer if answer.status == 503 else None


def _order(engine: processes.Process, action: orders.Action) -> None:
    state = processes.request(engine.address, "GET", "/v1/state").json()
    order = {
        "action": action.value,
        "epoch": LATER_EPOCH,
        "group": state["group"],
    }
    answer = processes.request(engine.address, "POST", "/v1/orders", order)
    assert answer.status == 200, answer.body


def _executed(engine: processes.Process) -> int:
    path = "/standin/executed"
    return len(processes.request(engine.address, "GET", path).json())


def _stream(
    site: sites.Site, text: str, tokens: int, router: int
) -> tuple[dict[str, object], processes.Answer]:
    prompt: dict[str, object] = {
        "model": "assistant",
        "prompt": text,
        "max_tokens": tokens,
        "stream": True,
    }
    answer = processes.request(
        site.routers[router].address,
        "POST",
        "/v1/completions",
        prompt,
        sites.HEADERS,
    )
    return prompt, answer
