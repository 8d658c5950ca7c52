"""Measure the latency of claims and the store writes per claim.

One writer takes and records claims, with and without batching, against a
platform stand-in that answers after a delay.  Each claim is two operations.
The second part sends withdrawals through a router with and without a key.
"""

import itertools
import statistics
import time
import typing

import click
import curio

from benchmarks import site as site_module
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.requests import claim_writer
from sycamoredale.requests import claims
from tests import processes
from tests import sites

SECONDS: typing.Final = 30.0


class SingleWriter(claim_writer.ClaimWriter):
    """Write each operation separately, without batching."""

    async def _write_batch(self, shard: int, batch: list[typing.Any]) -> None:
        for pending in batch:
            await super()._write_batch(shard, [pending])


@click.command()
@click.option(
    "--claims-count", default=1000, help="Number of claims in each run."
)
@click.option("--delay", default=0.003, help="Delay of the store in seconds.")
def main(claims_count: int, delay: float) -> None:
    """Run the benchmark and print one JSON line for each figure."""
    with processes.Fleet() as fleet:
        platform = fleet.start_standin("platform")
        sites.set_faults(platform, delay=delay)
        numbers = itertools.count()
        for concurrency in (1, 16, 128):
            for writer_type in (SingleWriter, claim_writer.ClaimWriter):
                _measure(
                    platform, writer_type, concurrency, claims_count, numbers
                )
    with processes.Fleet() as fleet:
        started = sites.start(fleet)
        sites.set_faults(started.platform, delay=delay)
        _measure_calls(started)


def _measure(
    platform: processes.Process,
    writer_type: type[claim_writer.ClaimWriter],
    concurrency: int,
    count: int,
    numbers: typing.Iterator[int],
) -> None:
    counts: dict[objects.CallKind, int] = dict.fromkeys(objects.CallKind, 0)

    def on_call(called: objects.CallKind) -> None:
        counts[called] += 1

    store = objects.ObjectStore(
        messages.parse_address(platform.address), client.Pool(), on_call
    )
    writer = writer_type(store, lambda: 86400.0)
    latencies: list[float] = []
    started = time.perf_counter()
    claims_per_task = count // concurrency
    curio.run(
        _run_all, writer, concurrency, claims_per_task, numbers, latencies
    )
    seconds = time.perf_counter() - started
    labels = {"concurrency": concurrency, "writer": writer_type.__name__}
    done = claims_per_task * concurrency
    writes = counts[objects.CallKind.WRITE] / done
    reads = counts[objects.CallKind.READ] / done
    site_module.report("claim_store_writes", writes, "per claim", **labels)
    site_module.report("claim_store_reads", reads, "per claim", **labels)
    site_module.report("claims_rate", done / seconds, "1/s", **labels)
    _report_latency("claim_take", latencies, **labels)


async def _run_all(
    writer: claim_writer.ClaimWriter,
    concurrency: int,
    claims_per_task: int,
    numbers: typing.Iterator[int],
    latencies: list[float],
) -> None:
    tasks = [
        await curio.spawn(
            _run_one, writer, claims_per_task, numbers, latencies
        )
        for _ in range(concurrency)
    ]
    for task in tasks:
        await task.join()


async def _run_one(
    writer: claim_writer.ClaimWriter,
    claims_per_task: int,
    numbers: typing.Iterator[int],
    latencies: list[float],
) -> None:
    record_tasks = []
    for _ in range(claims_per_task):
        key = ids.IdempotencyKey(f"key-{next(numbers)}")
        name = claims.claim_name(
            ids.OrganisationName("o"), ids.ServiceName("s"), key
        )
        attempt = ids.RequestId(name)
        claim = claims.Claim(
            name, attempt, ids.DaemonId("d"), ids.Incarnation(0), time.time()
        )
        shard = claims.shard_number(name)
        before = time.perf_counter()
        result = await writer.apply(shard, claims.Take(name, claim), SECONDS)
        latencies.append(time.perf_counter() - before)
        assert result.decision is claims.Decision.GRANTED
        record = claims.Record(
            name, attempt, claims.build_outcome(200, (), b"x" * 60)
        )
        record_tasks.append(
            await curio.spawn(writer.apply, shard, record, SECONDS)
        )
    for task in record_tasks:
        await task.join()


def _measure_calls(started: sites.Site) -> None:
    for kind in ("without a key", "with a key"):
        latencies = []
        for number in range(300):
            key = f"call-{number}" if kind == "with a key" else None
            before = time.perf_counter()
            answer = started.withdraw(key)
            latencies.append(time.perf_counter() - before)
            assert answer.status == 200, answer.body
        _report_latency("withdrawal", latencies, kind=kind)


def _report_latency(
    name: str, latencies: list[float], **labels: object
) -> None:
    cuts = statistics.quantiles(latencies, n=100)
    site_module.report(f"{name}_p50", cuts[49] * 1e3, "ms", **labels)
    site_module.report(f"{name}_p95", cuts[94] * 1e3, "ms", **labels)


if __name__ == "__main__":
    main()
