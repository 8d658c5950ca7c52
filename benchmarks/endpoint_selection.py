"""Compare policies of endpoint selection in a simulation.

Each endpoint is a first come first served queue with CAPACITY servers.  The
service time of a request is the sum of a time per prompt block that is not
cached and a time for its tokens.  Four routers select independently; load
reports reach a router only with answers, and lag.  All policies run on the
same seeded load, without processes or network.

Run: python -m benchmarks.endpoint_selection
"""

import collections
import dataclasses
import heapq
import itertools
import random
import statistics
import typing

from benchmarks import site
from sycamoredale import clock
from sycamoredale.config import model
from sycamoredale.engines import reports
from sycamoredale.groups import model as groups_model
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.membership import gossip
from sycamoredale.requests import call as call_module
from sycamoredale.routing import cold_start_limiter
from sycamoredale.routing import cold_start_records
from sycamoredale.routing import endpoint_selection
from sycamoredale.routing import health
from sycamoredale.routing import table

ROUTERS: typing.Final = 4
ENDPOINTS: typing.Final = 24
CAPACITY: typing.Final = 8
REQUESTS: typing.Final = 20_000
UTILISATION: typing.Final = 0.8
PREFILL_SECONDS_PER_BLOCK: typing.Final = 0.04
MEAN_DECODE_SECONDS: typing.Final = 0.8
CACHED_PROMPTS_PER_ENDPOINT: typing.Final = 24
PROMPTS: typing.Final = 400
REPORT_LAG_SECONDS: typing.Final = 1.0
STRAGGLER_FACTOR: typing.Final = 3.0
START_SECONDS: typing.Final = 1e6
SERVICE: typing.Final = model.Service(
    ids.ServiceName("assistant"),
    model.ServiceKind.MODEL,
    ENDPOINTS,
    capacity=CAPACITY,
)


@dataclasses.dataclass
class Engine:
    """Simulate the queue and the prefix cache of one endpoint."""

    slowdown: float
    servers_free_at: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * CAPACITY
    )
    cached: collections.OrderedDict[int, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    open_end_times: list[float] = dataclasses.field(default_factory=list)
    history: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )

    def run(
        self, prompt: int, blocks: int, tokens: float, now: float
    ) -> tuple[float, float, bool]:
        """Run a request; return its first token, its end and a cache hit."""
        hit = prompt in self.cached
        self.cached[prompt] = None
        self.cached.move_to_end(prompt)
        if len(self.cached) > CACHED_PROMPTS_PER_ENDPOINT:
            self.cached.popitem(last=False)
        prefill = 0.0 if hit else blocks * PREFILL_SECONDS_PER_BLOCK
        started = max(now, heapq.heappop(self.servers_free_at))
        first = started + (prefill + 0.02) * self.slowdown
        end = first + tokens * self.slowdown
        heapq.heappush(self.servers_free_at, end)
        heapq.heappush(self.open_end_times, end)
        self.history.append((now, self.count_open(now)))
        return first, end, hit

    def count_open(self, now: float) -> int:
        """Return the number of requests queued or running."""
        while self.open_end_times and self.open_end_times[0] <= now:
            heapq.heappop(self.open_end_times)
        return len(self.open_end_times)

    def reported_load(self, now: float) -> int:
        """Return the number of requests REPORT_LAG_SECONDS ago."""
        while (
            len(self.history) > 1
            and self.history[1][0] <= now - REPORT_LAG_SECONDS
        ):
            self.history.popleft()
        return self.history[0][1] if self.history else 0


SelectEndpoint = typing.Callable[
    [int, call_module.Call, float], table.Endpoint
]


@dataclasses.dataclass
class Result:
    """Collect the times to first token and cache hits of one policy."""

    seconds: list[float] = dataclasses.field(default_factory=list)
    hits: int = 0

    def report(self, variant: str) -> None:
        """Print the figures of one policy."""
        percentiles = statistics.quantiles(self.seconds, n=100)
        share = self.hits / len(self.seconds)
        site.report(
            "choice.first_token_p50", percentiles[49], "s", variant=variant
        )
        site.report(
            "choice.first_token_p95", percentiles[94], "s", variant=variant
        )
        site.report(
            "choice.first_token_p99", percentiles[98], "s", variant=variant
        )
        site.report("choice.cached_share", share, "", variant=variant)


def main() -> None:
    """Run all policies on the same load and print their figures."""
    for name, build in POLICIES.items():
        _run(build).report(name)


def _run(
    build: typing.Callable[
        [list[endpoint_selection.EndpointSelector]], SelectEndpoint
    ],
) -> Result:
    rng = random.Random(7)
    selectors = [_selector(number) for number in range(ROUTERS)]
    select = build(selectors)
    engines = {
        endpoint: Engine(STRAGGLER_FACTOR if number == 0 else 1.0)
        for number, endpoint in enumerate(selectors[0].routing_table.by_id)
    }
    blocks_by_prompt = [rng.randint(2, 40) for _ in range(PROMPTS)]
    mean = MEAN_DECODE_SECONDS + PREFILL_SECONDS_PER_BLOCK * statistics.mean(
        blocks_by_prompt
    )
    rate = UTILISATION * ENDPOINTS * CAPACITY / mean
    pending_ends: list[tuple[float, int, int, table.Endpoint, float]] = []
    sequence = itertools.count()
    result = Result()
    now = START_SECONDS
    for _ in range(REQUESTS):
        now += rng.expovariate(rate)
        _end_requests(pending_ends, now, selectors, engines)
        prompt = int(PROMPTS * rng.random() ** 2)
        tokens = rng.expovariate(1 / MEAN_DECODE_SECONDS)
        router = rng.randrange(ROUTERS)
        blocks = blocks_by_prompt[prompt]
        endpoint = select(router, _call(prompt, blocks), now)
        endpoint.in_flight += 1
        first, end, hit = engines[endpoint.id].run(prompt, blocks, tokens, now)
        heapq.heappush(
            pending_ends, (end, next(sequence), router, endpoint, first - now)
        )
        result.seconds.append(first - now)
        result.hits += hit
    return result


def _end_requests(
    pending_ends: list[tuple[float, int, int, table.Endpoint, float]],
    now: float,
    selectors: list[endpoint_selection.EndpointSelector],
    engines: dict[ids.EndpointId, Engine],
) -> None:
    while pending_ends and pending_ends[0][0] <= now:
        end, _, router, endpoint, first_token = heapq.heappop(pending_ends)
        endpoint.in_flight -= 1
        selector = selectors[router]
        at = clock.MonotonicTime(end)
        open_requests = engines[endpoint.id].reported_load(end)
        running = min(open_requests, CAPACITY)
        load = reports.Load(running, open_requests - running)
        selector.load_estimates.apply_report(endpoint, load, at)
        selector.record_end(
            endpoint, health.Outcome.ANSWERED, True, first_token, None, at
        )


def _selector(seed: int) -> endpoint_selection.EndpointSelector:
    routing_table = table.RoutingTable()
    cold_limiter = cold_start_limiter.ColdStartLimiter(routing_table)
    tracker = health.HealthTracker(gossip.Gossip(ids.DaemonId(f"r{seed}")))
    zone = ids.ZoneName("kochi")
    selector = endpoint_selection.EndpointSelector(
        routing_table, zone, tracker, cold_limiter, random.Random(seed)
    )
    groups = [
        groups_model.Group(
            id=ids.GroupId(f"g{n}"),
            service=SERVICE.name,
            version=ids.VersionName("v1"),
            zone=zone,
            epoch=ids.Epoch(1),
            state=groups_model.GroupState.READY,
            members=[
                groups_model.Member(ids.InstanceId(f"i{n}"), "127.0.0.1:1")
            ],
        )
        for n in range(ENDPOINTS)
    ]
    routing_table.apply_assignment(
        groups_model.Assignment(ids.DomainName("d"), ids.Epoch(1), groups)
    )
    for endpoint in routing_table.by_id:
        record = cold_start_records.ColdStartRecord(endpoint, 9, True)
        cold_limiter.apply_record(record, clock.MonotonicTime(0.0))
    return selector


def _call(prompt: int, blocks: int) -> call_module.Call:
    text = f"{prompt:08d}" * (blocks * reports.BLOCK_BYTES // 8)
    body = b'{"prompt": "' + text.encode() + b'"}'
    return call_module.Call(
        id=ids.RequestId("r"),
        organisation=ids.OrganisationName("o"),
        service=SERVICE,
        upstream=messages.Request("POST", "/", body=body),
        idempotent=True,
        stream=True,
        key=None,
        deadline_seconds=60.0,
    )


def _endpoints(
    selector: endpoint_selection.EndpointSelector,
) -> list[table.Endpoint]:
    return list(selector.routing_table.by_id.values())


def _at_random(
    selectors: list[endpoint_selection.EndpointSelector],
) -> SelectEndpoint:
    rng = random.Random(3)
    return lambda router, call, now: rng.choice(_endpoints(selectors[router]))


def _round_robin(
    selectors: list[endpoint_selection.EndpointSelector],
) -> SelectEndpoint:
    turns = [itertools.cycle(_endpoints(selector)) for selector in selectors]
    return lambda router, call, now: next(turns[router])


def _least_in_flight(
    selectors: list[endpoint_selection.EndpointSelector],
) -> SelectEndpoint:
    return lambda router, call, now: min(
        _endpoints(selectors[router]), key=lambda e: e.in_flight
    )


def _ours(
    selectors: list[endpoint_selection.EndpointSelector],
) -> SelectEndpoint:
    def select(
        router: int, call: call_module.Call, now: float
    ) -> table.Endpoint:
        selected = selectors[router].select(
            call, frozenset(), clock.MonotonicTime(now)
        )
        return selected or _endpoints(selectors[router])[0]

    return select


def _ours_without_prefixes(
    selectors: list[endpoint_selection.EndpointSelector],
) -> SelectEndpoint:
    select = _ours(selectors)
    return lambda router, call, now: select(
        router,
        dataclasses.replace(call, upstream=messages.Request("POST", "/")),
        now,
    )


POLICIES: typing.Final = {
    "random": _at_random,
    "round-robin": _round_robin,
    "least-in-flight": _least_in_flight,
    "ours-without-prefixes": _ours_without_prefixes,
    "ours": _ours,
}


if __name__ == "__main__":
    main()
