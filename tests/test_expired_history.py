"""Test reads of the store after it has discarded its history."""

import curio

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.membership import gossip
from sycamoredale.routing import cold_start_limiter
from sycamoredale.routing import cold_start_record_store
from sycamoredale.routing import table
from tests import fake_store


class CompactedStore(fake_store.FakeStore):
    """Answer each watch by saying that its history has ended."""

    async def watch(self, kind, after, wait_seconds, limits=None):
        """Raise WatchExpired."""
        raise errors.WatchExpired(error_codes.WATCH_EXPIRED, "history ended")


# Guards against cold start records that are neither read nor written again
# after the store has discarded the history of the last read.
def test_cold_start_records_are_listed_after_an_expired_watch():
    store = CompactedStore()
    records = cold_start_record_store.ColdStartRecordStore(
        cold_start_limiter.ColdStartLimiter(table.RoutingTable()),
        store,
        gossip.Gossip(ids.DaemonId("r1")),
        ids.ZoneName("kochi"),
    )
    store.version = 7

    async def main():
        return await records._read(ids.ObjectVersion(3))

    assert curio.run(main) == 7
