"""Measure what one router process spends on relaying streams.

Many streams run at 39 ms between tokens, first straight to the engines and
then through the router, in one run.  Printed are the router's processor
time per relayed token event, its memory per open stream, and the time that
it adds to the first token and to the gaps between tokens.
"""

import collections.abc
import json
import statistics
import subprocess
import sys
import time
import typing

import click

from benchmarks import site
from tests import processes

TOKEN_SECONDS: typing.Final = 0.039
ENGINES: typing.Final = 8
CLIENTS: typing.Final = 4


@click.command()
@click.option("--streams", default=400, help="Open streams at a time.")
@click.option("--tokens", default=200, help="Tokens of each stream.")
def main(streams: int, tokens: int) -> None:
    """Run the measurement and print one JSON line a figure."""
    with processes.Fleet() as fleet:
        settings: dict[str, object] = {
            "token_seconds": TOKEN_SECONDS,
            "cold_seconds": 0.0,
            "cold_limit": 1000,
            "capacity": 1000,
        }
        started = site.start(fleet, ENGINES, settings)
        _report_idle(started.router)
        direct = _run_clients(
            [e.address for e in started.engines[:CLIENTS]], "", streams, tokens
        )
        _report_times("direct", streams, direct)
        _measure_router(started.router, streams, tokens)


def _report_idle(router: processes.Process) -> None:
    resident = site.resident_bytes(router)
    site.report("router_idle_memory", resident / 1e6, "MB")


def _measure_router(
    router: processes.Process, streams: int, tokens: int
) -> None:
    headers = f"Authorization: Bearer {site.KEY}\r\n"
    cpu_before = site.cpu_seconds(router)
    memory_before = site.resident_bytes(router)
    clients = _start_clients(
        [router.address] * CLIENTS, headers, streams, tokens
    )
    time.sleep(tokens * TOKEN_SECONDS / 2)
    memory = site.resident_bytes(router) - memory_before
    results = [_result(client) for client in clients]
    cpu = site.cpu_seconds(router) - cpu_before
    events = sum(r["events"] for r in results)
    _report_times("router", streams, results)
    facts = {"streams": streams, "events": events}
    site.report("relay_cpu", cpu / events * 1e6, "us/token event", **facts)
    site.report("stream_memory", memory / streams / 1e3, "kB/stream", **facts)


def _report_times(
    name: str, streams: int, results: list[dict[str, typing.Any]]
) -> None:
    complete = sum(r["complete"] for r in results)
    site.report(f"{name}_complete", complete, "streams", streams=streams)
    for key in ("first", "gaps"):
        values = [v for r in results for v in r[key]]
        cuts = statistics.quantiles(values, n=100)
        site.report(f"{name}_{key}_p50", cuts[49] * 1e3, "ms")
        site.report(f"{name}_{key}_p95", cuts[94] * 1e3, "ms")


def _run_clients(
    addresses: collections.abc.Sequence[str],
    headers: str,
    streams: int,
    tokens: int,
) -> list[dict[str, typing.Any]]:
    started = _start_clients(addresses, headers, streams, tokens)
    return [_result(client) for client in started]


def _start_clients(
    addresses: collections.abc.Sequence[str],
    headers: str,
    streams: int,
    tokens: int,
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
                str(tokens),
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
