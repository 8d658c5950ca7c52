"""Build instances, services and snapshots for tests of reported groups."""

from sycamoredale import clock
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import cold_quota
from sycamoredale.forwarding import daemon_shares
from sycamoredale.forwarding import instance_state
from sycamoredale.groups import cluster_snapshot
from sycamoredale.groups import probe_status
from sycamoredale.groups import reported
from sycamoredale.http import messages
from sycamoredale import ids

SERVICE = ids.ServiceName("llm")
LARGE = catalogue.Model("large", 4, 0.57, 1.0, 16.0, 1.6)
SMALL = catalogue.Model("small", 3, 0.43, 0.6, 12.0, 1.1)
ENGINE = catalogue.BatchEngine(
    slots=13,
    step_seconds=0.006,
    step_seconds_per_request=0.0001,
    prefill_tokens_per_second=50_000.0,
    loads_per_second=4.5,
    max_concurrent_loads=6,
    cross_domain_factor=3.0,
    models=(LARGE, SMALL),
)
MODEL_SERVICE = catalogue.Service(SERVICE, "/healthz", 350, 3.0, 26.0, ENGINE)
PLAIN_SERVICE = catalogue.Service(
    ids.ServiceName("app"), "/healthz", 110, 0.0, 0.0
)
SERVICES = {s.name: s for s in (MODEL_SERVICE, PLAIN_SERVICE)}


def instance(
    name,
    *,
    domain="d0",
    zone="a",
    staged=(),
    membership=None,
    leaving=False,
    started_ms=1000,
    orders_taken=0,
    service=SERVICE,
    address=None,
):
    """Return one instance; `membership` is (key, rank, state)."""
    if membership is not None:
        key, rank, state = membership
        membership = instance_state.Membership(
            key.group, key.epoch, rank, state
        )
    return instance_state.Instance(
        id=ids.InstanceId(name),
        service=service,
        address=address or messages.Address("127.0.0.1", 1),
        zone=ids.ZoneName(zone),
        domain=ids.DomainName(domain),
        slots=13,
        leaving=leaving,
        cold_seconds=0.0,
        started_ms=started_ms,
        orders_taken=orders_taken,
        membership=membership,
        staged=tuple(staged),
    )


def members(key, names, state, head_state=None, **changes):
    """Return the members of a group, the head first."""
    return [
        instance(
            name,
            staged=(key.model,),
            membership=(
                key,
                rank,
                head_state if head_state and not rank else state,
            ),
            **changes,
        )
        for rank, name in enumerate(names)
    ]


def key(model="small", epoch=1):
    """Return the key of a group."""
    return reported.new_key(model, ids.Epoch(epoch))


def snapshot(
    instances,
    now,
    silent=(),
    zones_out=(),
    unlisted=(),
    slow=(),
    replaced=(),
):
    """Return a snapshot in which all but the silent instances answered."""
    statuses = probe_status.ProbeStatusTable()
    for known in instances:
        statuses.record_success(known.id, clock.MonotonicTime(now))
    for name in silent:
        for _ in range(probe_status.FAILURES_UNTIL_UNREACHABLE):
            statuses.record_failure(ids.InstanceId(name))
    return cluster_snapshot.ClusterSnapshot(
        {i.id: i for i in instances},
        SERVICES,
        statuses,
        frozenset(zones_out),
        5.0,
        clock.MonotonicTime(now),
        frozenset(unlisted),
        frozenset(slow),
        frozenset(replaced),
    )


def cold_quota_of(count, own=0):
    """Return the quota of one of `count` daemons."""
    names = [ids.DaemonId(f"d{n}") for n in range(count)]
    return cold_quota.ColdQuota(
        cold_quota.ColdLimits(1.5, 5.0),
        daemon_shares.DaemonShares(names[own], lambda: count, lambda: names),
    )
