"""Test that every caller receives the complete answer to its request."""

import collections.abc
import concurrent.futures
import contextlib
import json
import socket
import time

import pytest

from tests import processes
from tests import sites

TOKENS = 30


@pytest.fixture(scope="module")
def site() -> collections.abc.Iterator[sites.Site]:
    """Run three engines behind one router."""
    with processes.Fleet() as fleet:
        settings: dict[str, object] = {"cold_limit": 64}
        yield sites.start(fleet, engines=3, engine_settings=settings)


@pytest.fixture(autouse=True)
def no_faults(site: sites.Site) -> collections.abc.Iterator[None]:
    """Clear all faults after each test."""
    yield
    for engine in site.engines:
        sites.set_faults(engine)


@pytest.mark.parametrize(
    "fault",
    [
        {"cut_after_tokens": 0},
        {"cut_after_tokens": 7},
        {"cut_after_tokens": TOKENS - 1},
        {"cut_inside_token": 6},
        {"error_after_tokens": 5},
        {"silent_after_tokens": 7},
        {"swap_request_ids": True},
    ],
    ids=lambda fault: next(iter(fault)),
)
def test_stream_resumes_without_gap_or_repetition(
    site: sites.Site, fault: dict[str, object]
) -> None:
    """Break two of three engines; the third finishes every stream."""
    for engine in site.engines[:2]:
        sites.set_faults(engine, **fault)
    prompts = [_prompt(f"{fault} {n}", stream=True) for n in range(4)]
    with concurrent.futures.ThreadPoolExecutor() as pool:
        answers = list(pool.map(lambda p: _complete(site, p), prompts))
    for prompt, answer in zip(prompts, answers):
        assert answer.status == 200
        text = sites.streamed_text(answer.body)
        assert text == sites.expected_text(prompt)


@pytest.mark.parametrize(
    "fault",
    [
        {"cut_after_tokens": 3},
        {"malformed": True},
        {"swap_request_ids": True},
    ],
    ids=lambda fault: next(iter(fault)),
)
def test_call_without_streaming_is_retried_on_another_engine(
    site: sites.Site, fault: dict[str, object]
) -> None:
    for engine in site.engines[:2]:
        sites.set_faults(engine, **fault)
    prompt = _prompt(f"no streaming {fault}", stream=False)
    answer = _complete(site, prompt)
    assert answer.json()["choices"][0]["text"] == sites.expected_text(prompt)


def test_interrupted_stream_ends_with_an_error(site: sites.Site) -> None:
    for engine in site.engines:
        sites.set_faults(engine, cut_after_tokens=4)
    answer = _raw_stream(site, _prompt("interrupted everywhere", stream=True))
    assert b"[DONE]" not in answer
    assert not answer.endswith(b"0\r\n\r\n")
    event = answer.split(b"event: error\ndata: ")[1].split(b"\n\n")[0]
    error = json.loads(event)["error"]
    assert error["code"] == "endpoint_failed"
    assert error["execution"] == "unknown"


def test_stream_ends_with_an_error_at_its_deadline(site: sites.Site) -> None:
    prompt = _prompt("slow", stream=True)
    for engine in site.engines:
        sites.set_faults(engine, slow_factor=20.0)
    answer = _raw_stream(site, prompt, "X-Deadline-Seconds: 1\r\n")
    assert b'"code":"deadline_exceeded"' in answer
    assert not answer.endswith(b"0\r\n\r\n")


def test_request_is_refused_if_all_engines_answer_another(
    site: sites.Site,
) -> None:
    for engine in site.engines:
        sites.set_faults(engine, swap_request_ids=True)
    answer = _complete(site, _prompt("crossed", stream=True))
    assert answer.status == 502
    assert answer.json()["error"]["execution"] == "unknown"


@pytest.mark.parametrize("stream", [True, False])
def test_disconnect_of_the_caller_cancels_at_the_engine(
    site: sites.Site, stream: bool
) -> None:
    """Disconnect; without streaming, before any response is written."""
    prompt = _prompt("disconnected", stream=stream, tokens=4000)
    with contextlib.closing(_open_stream(site, prompt)):
        processes.wait_for(lambda: _count_running(site) == 1)
    processes.wait_for(lambda: _count_running(site) == 0, 5.0)


def test_streams_move_from_a_paused_engine(site: sites.Site) -> None:
    prompts = [
        _prompt(f"pause {n}", stream=True, tokens=200) for n in range(6)
    ]
    with concurrent.futures.ThreadPoolExecutor() as pool:
        futures = [pool.submit(_complete, site, p) for p in prompts]
        time.sleep(0.3)
        site.engines[0].pause()
        try:
            answers = [future.result() for future in futures]
        finally:
            site.engines[0].resume()
    for prompt, answer in zip(prompts, answers):
        text = sites.streamed_text(answer.body)
        assert text == sites.expected_text(prompt)


def test_every_answer_carries_ids(site: sites.Site) -> None:
    headers = {"X-Request-Id": "caller-1"}
    answers = [
        _complete(site, _prompt("ids", stream=False), **headers),
        processes.request(
            site.routers[0].address, "GET", "/nowhere", headers=headers
        ),
    ]
    for answer in answers:
        assert answer.headers["X-Caller-Request-Id"] == "caller-1"
        assert len(answer.headers["X-Request-Id"]) == 32


def test_killed_engines_interrupt_no_stream() -> None:
    """Kill two engines in turn, which must not count as poison requests."""
    with processes.Fleet() as fleet:
        settings: dict[str, object] = {"cold_limit": 64}
        site = sites.start(fleet, engines=3, engine_settings=settings)
        prompts = [
            _prompt(f"kill {n}", stream=True, tokens=250) for n in range(12)
        ]
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            futures = [pool.submit(_complete, site, p) for p in prompts]
            for engine in site.engines[:2]:
                time.sleep(0.4)
                engine.kill()
            answers = [future.result() for future in futures]
        for prompt, answer in zip(prompts, answers):
            text = sites.streamed_text(answer.body)
            assert text == sites.expected_text(prompt)


def _prompt(
    text: str, stream: bool, tokens: int = TOKENS
) -> dict[str, object]:
    return {
        "model": "assistant",
        "prompt": text,
        "max_tokens": tokens,
        "stream": stream,
    }


def _complete(
    site: sites.Site, prompt: dict[str, object], **headers: str
) -> processes.Answer:
    return processes.request(
        site.routers[0].address,
        "POST",
        "/v1/completions",
        prompt,
        {**sites.HEADERS, **headers},
        seconds=60.0,
    )


def _open_stream(
    site: sites.Site, prompt: dict[str, object], headers: str = ""
) -> socket.socket:
    host, _, port = site.routers[0].address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=20)
    body = json.dumps(prompt)
    sock.sendall(
        f"POST /v1/completions HTTP/1.1\r\nHost: {host}\r\n{headers}"
        f"Authorization: Bearer {sites.KEY}\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    return sock


def _raw_stream(
    site: sites.Site, prompt: dict[str, object], headers: str = ""
) -> bytes:
    with contextlib.closing(_open_stream(site, prompt, headers)) as sock:
        parts = list(iter(lambda: sock.recv(65536), b""))
    return b"".join(parts)


def _count_running(site: sites.Site) -> int:
    states = [
        processes.request(e.address, "GET", "/v1/state").json()
        for e in site.engines
    ]
    return sum(state["running"] for state in states)
