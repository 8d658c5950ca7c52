"""Test how routers write cold start records."""

import curio

from sycamoredale import clock
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.membership import gossip
from sycamoredale.routing import cold_start_limiter
from sycamoredale.routing import cold_start_record_store
from sycamoredale.routing import cold_start_records
from sycamoredale.routing import cold_start_state
from sycamoredale.routing import table
from tests import fake_store


def test_concurrent_writers_of_one_domain_do_not_fail() -> None:
    """Remove the written record during the write, as another task may."""
    store = fake_store.FakeStore()
    own_table = table.RoutingTable()
    record_store = cold_start_record_store.ColdStartRecordStore(
        cold_start_limiter.ColdStartLimiter(own_table),
        store,
        gossip.Gossip(ids.DaemonId("r1")),
        ids.ZoneName("kochi"),
    )
    domain = ids.DomainName("kochi-1")
    record = cold_start_records.ColdStartRecord(ids.EndpointId("e1"), 0, True)
    conflicts = []

    def finish_concurrent_write() -> None:
        store.on_effect = lambda: None
        record_store._remove_written(domain, {record.endpoint: record})
        conflicts.append(domain)

    store.on_effect = finish_concurrent_write
    state = cold_start_state.ColdStartState(record, clock.MonotonicTime(0.0))
    record_store.cold_limiter.by_id[record.endpoint] = state
    own_table.by_id[record.endpoint] = table.Endpoint(
        record.endpoint,
        ids.ServiceName("assistant"),
        ids.VersionName("v1"),
        ids.ZoneName("kochi"),
        messages.Address("127.0.0.1", 1),
        domain=domain,
    )
    curio.run(record_store.publish, domain, record)
    assert conflicts == [domain]
