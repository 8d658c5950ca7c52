"""Compare this project's router with a naive one on the same calls."""

import collections.abc
import dataclasses
import pathlib
import random

import pytest

from tests import processes
from tests.scenarios import load
from tests.scenarios import site as site_module

SEED = 7
PROMPTS = 12
HEADERS = {"Authorization": f"Bearer {load.API_KEY}"}


@dataclasses.dataclass
class Pair:
    """Bundle a site with the addresses of both routers."""

    site: site_module.Site
    ours: str
    naive: str


@pytest.fixture(scope="module")
def pair(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[Pair]:
    """Run a small site with this project's router and a naive one."""
    shape = site_module.Topology(
        zones=("kochi",), engines_per_zone=4, routers=1, controllers=1
    )
    with processes.Fleet() as fleet:
        directory: pathlib.Path = tmp_path_factory.mktemp("site")
        site = site_module.Site(
            fleet, directory, shape, site_module.EngineSettings()
        )
        ours = site.balanced_routers()[0].address
        site.start_naive_router()
        yield Pair(site, ours, site.balanced_routers()[0].address)


def test_same_completions_without_faults(pair: Pair) -> None:
    rng = random.Random(SEED)
    for number in range(PROMPTS):
        prompt = {
            "model": "assistant",
            "messages": [{"role": "user", "content": f"question {number}"}],
            "max_tokens": rng.randint(1, 20),
            "stream": rng.random() < 0.5,
        }
        path = "/v1/chat/completions"
        ours, naive = (
            processes.request(address, "POST", path, prompt, HEADERS)
            for address in (pair.ours, pair.naive)
        )
        assert ours.status == naive.status == 200
        assert ours.body == naive.body


def test_same_bookings_without_faults(pair: Pair) -> None:
    for number in range(PROMPTS):
        ours, naive = (
            processes.request(
                address,
                "POST",
                "/services/bookings/withdrawals",
                {"bottle": number},
                {**HEADERS, "Idempotency-Key": f"{router}-{number}"},
            )
            for router, address in zip(("one", "two"), (pair.ours, pair.naive))
        )
        assert ours.status == naive.status == 200
        assert ours.json() == {"booked": f"one-{number}", "execution": 1}
        assert naive.json() == {"booked": f"two-{number}", "execution": 1}


def test_lost_answers_duplicate_bookings_of_naive_router_only(
    pair: Pair,
) -> None:
    assert _count_duplicates(pair, pair.ours, "three") == 0
    assert _count_duplicates(pair, pair.naive, "four") > 0


def _count_duplicates(pair: Pair, address: str, prefix: str) -> int:
    target = load.Router(prefix, address)
    generator = load.LoadGenerator(lambda: [target], SEED, prefix)
    pair.site.fleet.set_faults(
        pair.site.link_address("kochi-ledger"),
        cut_answers=4,
        cut_answers_to="POST",
    )
    bookings = load.CallRates(assistant=0, bookings=10)
    generator.run(load.schedule(bookings, 2.0, SEED))
    ledger = pair.site.process("kochi-ledger").address
    answer = processes.request(ledger, "GET", "/standin/executions")
    return sum(
        count > 1
        for key, count in answer.json().items()
        if key.startswith(prefix)
    )
