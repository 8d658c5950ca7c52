"""Measure the cost of relaying streams in one router process.

Many streams run with 39 ms between tokens, first directly from the engines
and then through the router.  Prints the router's CPU time per relayed token
event, its memory with all streams open, and for both paths the time to the
first token and between tokens.
"""

import collections.abc
import json
import statistics
import subprocess
import sys
import time
import typing

from benchmarks import site
from tests import processes

TOKEN_SECONDS: typing.Final = 0.039
TOKENS: typing.Final = 150
STREAMS: typing.Final = (100, 200, 400, 600)
ENGINES: typing.Final = 8
CLIENTS: typing.Final = 4
ENGINE_SETTINGS: typing.Final = {
    "token_seconds": TOKEN_SECONDS,
    "cold_seconds": 0.0,
    "cold_limit": 1000,
    "capacity": 1000,
}


def main() -> None:
    """Measure each number of concurrent streams."""
    for streams in STREAMS:
        with processes.Fleet() as fleet:
            started = site.start(fleet, ENGINES, dict(ENGINE_SETTINGS))
            _measure_direct(started, streams)
            _measure_router(started.router, streams)


def _measure_direct(started: site.Site, streams: int) -> None:
    addresses = [e.address for e in started.engines[:CLIENTS]]
    _report_times("direct", streams, _run_clients(addresses, "", streams))


def _measure_router(router: processes.Process, streams: int) -> None:
    headers = f"Authorization: Bearer {site.API_KEY}\r\n"
    idle_memory = site.resident_bytes(router)
    _report("relay.idle_memory", idle_memory / 1e6, "MB", streams)
    cpu_before = site.cpu_seconds(router)
    clients = _start_clients([router.address] * CLIENTS, headers, streams)
    time.sleep(TOKENS * TOKEN_SECONDS / 2)
    memory = site.resident_bytes(router) - idle_memory
    results = [_result(client) for client in clients]
    cpu = site.cpu_seconds(router) - cpu_before
    events = sum(r["events"] for r in results)
    _report_times("router", streams, results)
    _report("relay.cpu_per_token", cpu / events * 1e6, "us", streams)
    _report("relay.cpu_of_run", cpu, "s", streams, events=events)
    _report("relay.memory_of_streams", memory / 1e3, "kB", streams)


def _report_times(
    name: str, streams: int, results: list[dict[str, typing.Any]]
) -> None:
    complete = sum(r["complete"] for r in results)
    _report("relay.complete", complete, "streams", streams, variant=name)
    for key in ("first", "gap"):
        values = [v for r in results for v in r[key]]
        percentiles = statistics.quantiles(values, n=100)
        for percentile in (50, 95):
            measure = f"relay.{key}_p{percentile}"
            milliseconds = percentiles[percentile - 1] * 1e3
            _report(measure, milliseconds, "ms", streams, variant=name)


def _report(
    measure: str, value: float, unit: str, streams: int, **labels: object
) -> None:
    site.report(
        measure, value, unit, size=streams, size_unit="streams", **labels
    )


def _run_clients(
    addresses: collections.abc.Sequence[str],
    headers: str,
    streams: int,
) -> list[dict[str, typing.Any]]:
    started = _start_clients(addresses, headers, streams)
    return [_result(client) for client in started]


def _start_clients(
    addresses: collections.abc.Sequence[str],
    headers: str,
    streams: int,
) -> list[subprocess.Popen[str]]:
    share = str(streams // len(addresses))
    return [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "benchmarks.stream_client",
                address,
                headers,
                share,
                str(TOKENS),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        for address in addresses
    ]


def _result(client: subprocess.Popen[str]) -> dict[str, typing.Any]:
    output, _ = client.communicate()
    result: dict[str, typing.Any] = json.loads(output)
    return result


if __name__ == "__main__":
    main()
