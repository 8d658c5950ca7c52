"""Measure fairness at twice the capacity, against first come first served.

Two large organisations offer most of the load and four small ones a little
each.  In the second run all callers belong to one organisation, whose calls
a router serves in order of arrival.  Jain's index is computed over the
throughput of each caller relative to its max-min fair share.

Run: python -m benchmarks.fairness
"""

import collections
import dataclasses
import hashlib
import json
import pathlib
import random
import statistics
import tempfile
import typing

import curio

from benchmarks import site
from sycamoredale.admission import shares
from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from tests import processes

ENGINES: typing.Final = 2
CAPACITY: typing.Final = 4
TOKENS: typing.Final = 20
FIRST_TOKEN_SECONDS: typing.Final = 0.05
TOKEN_SECONDS: typing.Final = 0.01
DEADLINE_SECONDS: typing.Final = 5.0
WARMUP_SECONDS: typing.Final = 7.0
MEASURED_SECONDS: typing.Final = 13.0
CALLS_PER_SECOND_BY_CALLER: typing.Final = {
    "large-1": 26.0,
    "large-2": 26.0,
    **{f"small-{n}": 3.0 for n in range(4)},
}


@dataclasses.dataclass
class Outcome:
    """Collect the answers and refusals of one caller."""

    seconds: list[float] = dataclasses.field(default_factory=list)
    refused_seconds: list[float] = dataclasses.field(default_factory=list)
    codes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    sent: int = 0


def main() -> None:
    """Run both variants and print their figures."""
    service_seconds = FIRST_TOKEN_SECONDS + TOKENS * TOKEN_SECONDS
    capacity = ENGINES * CAPACITY / service_seconds
    site.report("fairness.capacity", capacity, "calls/s")
    site.report(
        "fairness.offered", sum(CALLS_PER_SECOND_BY_CALLER.values()), "calls/s"
    )
    demands = {
        ids.OrganisationName(name): shares.Demand(rate)
        for name, rate in CALLS_PER_SECOND_BY_CALLER.items()
    }
    fair = shares.divide(capacity, demands)
    for variant, shared in (("fair", False), ("first-come", True)):
        _report(variant, _measure(shared), fair)


def _report(
    variant: str,
    outcomes: dict[str, Outcome],
    fair: dict[ids.OrganisationName, float],
) -> None:
    relative = [
        len(outcome.seconds)
        / MEASURED_SECONDS
        / fair[ids.OrganisationName(name)]
        for name, outcome in outcomes.items()
    ]
    jain = sum(relative) ** 2 / (len(relative) * sum(x * x for x in relative))
    site.report("fairness.jain_index", jain, "", variant=variant)
    for kind in ("small", "large"):
        names = [name for name in outcomes if name.startswith(kind)]
        offered = sum(outcomes[name].sent for name in names)
        seconds = [s for n in names for s in outcomes[n].seconds]
        refused = [s for n in names for s in outcomes[n].refused_seconds]
        answered = len(seconds) / offered
        figures = [
            ("answered_share", answered, ""),
            ("answer_p50", _percentile(seconds, 50), "s"),
            ("answer_p99", _percentile(seconds, 99), "s"),
            ("refused", len(refused), "calls"),
            ("refusal_p50", _percentile(refused, 50), "s"),
            ("refusal_p99", _percentile(refused, 99), "s"),
        ]
        for name, value, unit in figures:
            measure = f"fairness.{kind}_{name}"
            site.report(measure, value, unit, variant=variant)


def _percentile(values: list[float], percent: int) -> float:
    if len(values) < 2:
        return 0.0
    return statistics.quantiles(values, n=100)[percent - 1]


def _measure(shared: bool) -> dict[str, Outcome]:
    with processes.Fleet() as fleet:
        router = _start_site(fleet)
        outcomes: dict[str, Outcome] = {}
        address = messages.parse_address(router.address)
        curio.run(_run_callers, address, shared, outcomes)
        return outcomes


async def _run_callers(
    address: messages.Address, shared: bool, outcomes: dict[str, Outcome]
) -> None:
    pool = client.Pool()
    warmup_ends_at = clock.monotonic() + WARMUP_SECONDS
    ends_at = warmup_ends_at + MEASURED_SECONDS
    async with curio.TaskGroup() as callers:
        for name, rate in CALLS_PER_SECOND_BY_CALLER.items():
            outcomes[name] = Outcome()
            key = "large-1" if shared else name
            await callers.spawn(
                _call_at_rate,
                pool,
                address,
                key,
                rate,
                warmup_ends_at,
                ends_at,
                outcomes[name],
                random.Random(name),
            )


async def _call_at_rate(
    pool: client.Pool,
    address: messages.Address,
    key: str,
    rate: float,
    warmup_ends_at: float,
    ends_at: float,
    outcome: Outcome,
    rng: random.Random,
) -> None:
    async with curio.TaskGroup() as calls:
        while (now := clock.monotonic()) < ends_at:
            recorded = outcome if now >= warmup_ends_at else Outcome()
            await calls.spawn(_call, pool, address, key, recorded)
            await curio.sleep(rng.expovariate(rate))


async def _call(
    pool: client.Pool, address: messages.Address, key: str, outcome: Outcome
) -> None:
    body = {"model": "assistant", "prompt": "x", "max_tokens": TOKENS}
    request = messages.json_request("POST", "/v1/completions", body)
    headers = request.headers.with_field("Authorization", f"Bearer {key}")
    headers = headers.with_field("X-Deadline-Seconds", f"{DEADLINE_SECONDS:g}")
    request = dataclasses.replace(request, headers=headers)
    started = clock.monotonic()
    outcome.sent += 1
    try:
        response = await pool.call(address, request, 2 * DEADLINE_SECONDS)
    except errors.SycamoredaleError as error:
        outcome.codes[error.code.name] += 1
        return
    seconds = clock.monotonic() - started
    if response.status == 200:
        outcome.seconds.append(seconds)
        return
    outcome.refused_seconds.append(seconds)
    outcome.codes[json.loads(response.body)["error"]["code"]] += 1


def _start_site(fleet: processes.Fleet) -> processes.Process:
    platform = fleet.start_standin("platform")
    settings = {
        "capacity": CAPACITY,
        "first_token_seconds": FIRST_TOKEN_SECONDS,
        "token_seconds": TOKEN_SECONDS,
    }
    listed = []
    for number in range(ENGINES):
        instance = {"instance": f"e{number}", **settings}
        engine = fleet.start_standin(
            "engine", "--settings", json.dumps(instance)
        )
        listed.append(
            {
                "id": f"e{number}",
                "address": engine.address,
                "zone": site.ZONE,
                "domain": site.DOMAIN,
            }
        )
    processes.request(platform.address, "PUT", "/standin/instances", listed)
    _apply_configuration(fleet, platform)
    fleet.start_controller("controller-1", site.ZONE, platform.address)
    router = fleet.start_router("router-1", site.ZONE, platform.address)
    processes.wait_for(
        lambda: processes.request(router.address, "GET", "/healthz").json()[
            "endpoints"
        ]
        == ENGINES
    )
    return router


def _apply_configuration(
    fleet: processes.Fleet, platform: processes.Process
) -> None:
    configuration = {
        "services": [
            {
                "name": "assistant",
                "kind": "model",
                "replicas": ENGINES,
                "version": "v1",
                "capacity": CAPACITY,
            }
        ],
        "versions": [{"name": "v1", "service": "assistant", "weights": "w"}],
        "organisations": [
            {
                "name": name,
                "key_sha256": hashlib.sha256(name.encode()).hexdigest(),
            }
            for name in CALLS_PER_SECOND_BY_CALLER
        ],
        "zones": [{"name": site.ZONE}],
        "limits": {"queue_per_organisation": 2000},
    }
    with tempfile.TemporaryDirectory() as directory:
        file = pathlib.Path(directory) / "site.yaml"
        file.write_text(json.dumps(configuration))
        applied = fleet.start(
            "sycamoredale", "apply", str(file), "--platform", platform.address
        )
        assert applied.popen.wait(20) == 0


if __name__ == "__main__":
    main()
