"""Test that a request which crashes endpoints is stopped, and only that."""

import concurrent.futures
import json

import msgspec
import pytest

from sycamoredale.config import model
from sycamoredale import errors
from sycamoredale.http import messages
from sycamoredale.membership import gossip
from sycamoredale.requests import call
from sycamoredale.requests import poison
from tests import processes
from tests import sites

NOW = 1000.0
POISON = "crash me"


def test_two_crashes_alone_stop_a_request_of_whoever_sends_it() -> None:
    crashes = poison.PoisonList()
    crashes.observe(_crash("e1", "d1"), NOW)
    crashes.check(_call(), NOW)
    crashes.observe(_crash("e2", "d1"), NOW + 1)
    with pytest.raises(errors.Refusal) as refused:
        crashes.check(_call(organisation="another", max_tokens=5), NOW + 2)
    assert refused.value.code.name == "request_crashes_endpoints"
    crashes.check(_call(prompt="another"), NOW + 2)
    crashes.check(_call(), NOW + poison.KEPT_SECONDS + 2)


def test_one_endpoint_counts_once() -> None:
    crashes = poison.PoisonList()
    for _ in range(5):
        crashes.observe(_crash("e1", "d1"), NOW)
    crashes.check(_call(), NOW)


def test_crashes_in_company_need_one_more() -> None:
    crashes = poison.PoisonList()
    for number in range(2):
        crashes.observe(_crash(f"e{number}", "d1", alone=False), NOW)
        crashes.check(_call(), NOW)
    crashes.observe(_crash("e2", "d1", alone=False), NOW)
    with pytest.raises(errors.Refusal):
        crashes.check(_call(), NOW)


def test_crash_of_a_domain_condemns_nobody() -> None:
    """Lose two domains one after the other, with all that ran there."""
    crashes = poison.PoisonList()
    calls = [_call(prompt=f"innocent {n}") for n in range(8)]
    for domain in ("d1", "d2"):
        for number, innocent in enumerate(calls):
            endpoint = f"{domain}-{number}"
            crash = _crash(endpoint, domain, innocent)
            crashes.observe(crash, NOW)
    for innocent in calls:
        crashes.check(innocent, NOW)


def test_a_crashing_request_is_found_while_domains_crash() -> None:
    crashes = poison.PoisonList()
    for number in range(4):
        other = _call(prompt=f"innocent {number}")
        crashes.observe(_crash(f"d1-{number}", "d1", other), NOW)
    crashes.observe(_crash("e1", "d2"), NOW)
    crashes.observe(_crash("e2", "d2"), NOW)
    with pytest.raises(errors.Refusal):
        crashes.check(_call(), NOW)


def test_crashes_are_counted_over_all_routers() -> None:
    lists = [poison.PoisonList() for _ in range(2)]
    for number, crashes in enumerate(lists):
        crash = _crash(f"e{number}", "d1")
        crashes.observe(crash, NOW)
        payload = msgspec.Raw(msgspec.json.encode(crash))
        notice = gossip.Notice(gossip.Topic.POISON, "k", "r", 1, payload)
        lists[1 - number].hear(notice, NOW)
    for crashes in lists:
        with pytest.raises(errors.Refusal):
            crashes.check(_call(), NOW)


def test_memory_is_bounded() -> None:
    crashes = poison.PoisonList()
    for number in range(poison.MAX_FINGERPRINTS + 100):
        crash = poison.Crash(f"f{number}", "e1", "d1", True)
        crashes.observe(crash, NOW + number / 1000)
    assert len(crashes._seen_by_fingerprint) == poison.MAX_FINGERPRINTS


def test_engines_crash_twice_at_most() -> None:
    """Send a poison request to four engines, twice, beside innocents."""
    with processes.Fleet() as fleet:
        settings: dict[str, object] = {"cold_limit": 64}
        site = sites.start(fleet, engines=4, engine_settings=settings)
        for engine in site.engines:
            sites.set_faults(engine, poison=POISON, poison_after_tokens=3)
        first = _send(site, POISON)
        assert first.status == 422
        error = first.json()["error"]
        assert error["code"] == "request_crashes_endpoints"
        assert error["execution"] == "unknown"
        again = _send(site, POISON).json()["error"]
        assert again["code"] == "request_crashes_endpoints"
        assert again["execution"] == "not_run"
        assert _dead(site) == 2
        with concurrent.futures.ThreadPoolExecutor() as pool:
            texts = [f"innocent {n}" for n in range(6)]
            for answer in pool.map(lambda t: _send(site, t), texts):
                assert answer.status == 200
        assert _dead(site) == 2


def _dead(site: sites.Site) -> int:
    return sum(e.popen.poll() is not None for e in site.engines)


def _send(site: sites.Site, text: str) -> processes.Answer:
    return processes.request(
        site.routers[0].address,
        "POST",
        "/v1/completions",
        {"model": "assistant", "prompt": text},
        sites.HEADERS,
    )


def _call(
    prompt: str = POISON, organisation: str = "one", max_tokens: int = 16
) -> call.Call:
    service = model.Service("assistant", model.ServiceKind.MODEL, 1)
    body = {"max_tokens": max_tokens, "prompt": prompt, "model": "assistant"}
    request = messages.Request(
        "POST", "/v1/completions", body=json.dumps(body).encode()
    )
    configuration = model.Configuration(services=[service])
    sender = model.Organisation(organisation, "")
    return call.read(request, sender, configuration, "request-1")


def _crash(
    endpoint: str,
    domain: str,
    crashed: call.Call | None = None,
    alone: bool = True,
) -> poison.Crash:
    fingerprint = poison.fingerprint_of(crashed or _call())
    return poison.Crash(fingerprint, endpoint, domain, alone)
