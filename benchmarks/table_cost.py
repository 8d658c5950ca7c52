"""Measure the cost of a router's routing table as the fleet grows.

Groups have 16 members, and there are eight groups per fabric domain.  For
each size a separate process measures the memory of the table, the time to
apply one changed assignment, and the time to select an endpoint for a call.
"""

import collections.abc
import pathlib
import random
import subprocess
import sys
import time
import typing

from benchmarks import site
from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.groups import model
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.membership import gossip
from sycamoredale.requests import call as call_module
from sycamoredale.routing import cold_start_limiter
from sycamoredale.routing import cold_start_records
from sycamoredale.routing import endpoint_selection
from sycamoredale.routing import health
from sycamoredale.routing import table

SIZES: typing.Final = (350, 700, 1400, 2800)
MEMBERS: typing.Final = 16
GROUPS_PER_DOMAIN: typing.Final = 8
ZONES: typing.Final = 15
CHANGES: typing.Final = 50
SELECTIONS: typing.Final = 2000
SERVICE: typing.Final = config_model.Service(
    ids.ServiceName("assistant"),
    config_model.ServiceKind.MODEL,
    max(SIZES),
    MEMBERS,
)
NOW: typing.Final = clock.MonotonicTime(1e6)


def main() -> None:
    """Run each size in a separate process."""
    for size in SIZES:
        subprocess.run(
            [sys.executable, "-m", "benchmarks.table_cost", str(size)],
            check=True,
        )


def measure(size: int) -> None:
    """Print the figures of one size."""
    facts: dict[str, object] = {"size": size, "size_unit": "groups"}
    assignments = list(_assignments(size))
    routing_table = table.RoutingTable()
    selector = _selector(routing_table)
    before = _resident_bytes()
    started = time.process_time()
    routing_table.apply(assignments)
    site.report(
        "table.first_fill", time.process_time() - started, "s", **facts
    )
    site.report(
        "table.memory", (_resident_bytes() - before) / 1e6, "MB", **facts
    )
    for endpoint in routing_table.by_id:
        selector.cold_limiter.apply_record(
            cold_start_records.ColdStartRecord(endpoint, 0, True),
            clock.MonotonicTime(0.0),
        )
    site.report(
        "table.one_change",
        _measure_change(routing_table, assignments),
        "ms",
        **facts,
    )
    site.report(
        "table.one_choice", _measure_selection(selector), "us", **facts
    )


def _measure_change(
    routing_table: table.RoutingTable, assignments: list[model.Assignment]
) -> float:
    started = time.process_time()
    for assignment in assignments[:CHANGES]:
        routing_table.apply_assignment(assignment)
    changed = min(CHANGES, len(assignments))
    return (time.process_time() - started) / changed * 1e3


def _measure_selection(selector: endpoint_selection.EndpointSelector) -> float:
    call = call_module.Call(
        id=ids.RequestId("r"),
        organisation=ids.OrganisationName("o"),
        service=SERVICE,
        upstream=messages.Request("POST", "/", body=b"{}"),
        idempotent=True,
        stream=True,
        key=None,
        deadline_seconds=10.0,
    )
    started = time.process_time()
    for _ in range(SELECTIONS):
        if selector.select(call, frozenset(), NOW) is None:
            raise RuntimeError("no endpoint was chosen")
    return (time.process_time() - started) / SELECTIONS * 1e6


def _selector(
    routing_table: table.RoutingTable,
) -> endpoint_selection.EndpointSelector:
    return endpoint_selection.EndpointSelector(
        routing_table,
        ids.ZoneName("z0"),
        health.HealthTracker(gossip.Gossip(ids.DaemonId("router"))),
        cold_start_limiter.ColdStartLimiter(routing_table),
        random.Random(1),
    )


def _assignments(size: int) -> collections.abc.Iterator[model.Assignment]:
    for start in range(0, size, GROUPS_PER_DOMAIN):
        domain = ids.DomainName(f"d{start}")
        numbers = range(start, min(start + GROUPS_PER_DOMAIN, size))
        groups = [_group(number) for number in numbers]
        yield model.Assignment(domain, ids.Epoch(1), groups)


def _group(number: int) -> model.Group:
    return model.Group(
        id=ids.GroupId(f"g{number}"),
        service=SERVICE.name,
        version=ids.VersionName("v1"),
        zone=ids.ZoneName(f"z{number // GROUPS_PER_DOMAIN % ZONES}"),
        epoch=ids.Epoch(1),
        state=model.GroupState.READY,
        members=[
            model.Member(
                ids.InstanceId(f"i{number}-{rank}"),
                f"10.{number // 250}.{number % 250}.{rank + 1}:8000",
            )
            for rank in range(MEMBERS)
        ],
    )


def _resident_bytes() -> int:
    statm = pathlib.Path("/proc/self/statm").read_text()
    return int(statm.split()[1]) * site.PAGE_BYTES


if __name__ == "__main__":
    if len(sys.argv) > 1:
        measure(int(sys.argv[1]))
    else:
        main()
