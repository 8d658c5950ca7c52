"""Replicate cold start records through the object API and by gossip.

Each read requests only the changes since the previous one.  Reads are
frequent while endpoints in the router's own zone are cold, and rare
otherwise.
"""

import dataclasses
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.membership import gossip
from sycamoredale.object_api import objects
from sycamoredale.observability import logs
from sycamoredale.routing import cold_start_limiter
from sycamoredale.routing import cold_start_records
from sycamoredale.routing import cold_start_state

COLD_POLL_INTERVAL_SECONDS: Final = 1.0
WATCH_TIMEOUT_SECONDS: Final = 0.01
WARM_POLL_INTERVAL_SECONDS: Final = 10.0
WRITE_ATTEMPTS: Final = 4
LOG: Final = logs.get("routing.cold_start_records")


@dataclasses.dataclass
class ColdStartRecordStore:
    """Exchange cold start records with the object API and peers."""

    cold_limiter: cold_start_limiter.ColdStartLimiter
    store: objects.ObjectStore
    notices: gossip.Gossip
    own_zone: ids.ZoneName
    _unwritten_by_domain: dict[
        ids.DomainName,
        dict[ids.EndpointId, cold_start_records.ColdStartRecord],
    ] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        """Subscribe to notices of peers and to this router's observations."""
        self.notices.subscribe(gossip.Topic.COLD_SLOTS, self._handle_notice)
        self.cold_limiter.on_turned_cold = self.publish_turned_cold

    async def run(self) -> None:
        """Read and write records until cancelled."""
        version = objects.ABSENT_VERSION
        read_at = cold_start_state.NEVER
        while True:
            now = clock.monotonic()
            if (
                now - read_at >= WARM_POLL_INTERVAL_SECONDS
                or self._has_cold_demand(now)
            ):
                try:
                    version = await self._read(version)
                    read_at = now
                    await self._write_all()
                except errors.SycamoredaleError as error:
                    LOG.warning(
                        "cold_start_records_sync_failed", reason=error.message
                    )
            await curio.sleep(COLD_POLL_INTERVAL_SECONDS)

    async def publish(
        self,
        domain: ids.DomainName,
        record: cold_start_records.ColdStartRecord,
    ) -> None:
        """Send a record to peers and write it to the object API.

        A write that fails is retried by `run`.
        """
        self._queue(domain, record)
        try:
            await self._write(domain)
        except errors.SycamoredaleError as error:
            LOG.warning(
                "cold_start_records_write_failed", reason=error.message
            )

    def publish_turned_cold(
        self, record: cold_start_records.ColdStartRecord
    ) -> None:
        """Send the record of an endpoint that turned cold to peers.

        `run` writes it to the object API.
        """
        endpoint = self.cold_limiter.routing_table.find(record.endpoint)
        if endpoint is not None:
            LOG.warning("endpoint_turned_cold", endpoint=record.endpoint)
            self._queue(endpoint.domain, record)

    def _queue(
        self,
        domain: ids.DomainName,
        record: cold_start_records.ColdStartRecord,
    ) -> None:
        self.notices.publish(gossip.Topic.COLD_SLOTS, record.endpoint, record)
        unwritten = self._unwritten_by_domain.setdefault(domain, {})
        unwritten[record.endpoint] = record

    def _handle_notice(self, notice: gossip.Notice) -> None:
        try:
            record = decoding.decode_json(
                notice.payload, cold_start_records.ColdStartRecord
            )
        except msgspec.DecodeError:
            return
        self.cold_limiter.apply_record(record, clock.monotonic())

    async def _read(self, version: ids.ObjectVersion) -> ids.ObjectVersion:
        listing = await self._changes_since(version)
        for stored in listing.objects:
            for record in _decode(stored).records:
                self.cold_limiter.apply_record(record, clock.monotonic())
        return max(version, listing.version)

    async def _changes_since(
        self, version: ids.ObjectVersion
    ) -> objects.Listing:
        """Return what changed since a version, or all if that is unknown."""
        kind = cold_start_records.KIND
        if version != objects.ABSENT_VERSION:
            try:
                return await self.store.watch(
                    kind, version, WATCH_TIMEOUT_SECONDS
                )
            except errors.WatchExpired:
                LOG.info("watch_expired", kind=kind, version=version)
        return await self.store.list(kind)

    async def _write_all(self) -> None:
        for domain in list(self._unwritten_by_domain):
            await self._write(domain)

    async def _write(self, domain: ids.DomainName) -> None:
        for _ in range(WRITE_ATTEMPTS):
            if not self._unwritten_by_domain.get(domain):
                return
            written = dict(self._unwritten_by_domain[domain])
            try:
                await self._write_once(domain)
            except errors.VersionConflict:
                continue
            self._remove_written(domain, written)

    async def _write_once(self, domain: ids.DomainName) -> None:
        stored = await self.store.get(cold_start_records.KIND, domain)
        current = cold_start_records.DomainColdStartRecords(domain)
        version = objects.ABSENT_VERSION
        if stored is not None:
            current = _decode(stored)
            version = stored.version
        merged = cold_start_records.merge(current, self._records(domain))
        if merged.records != current.records:
            value = msgspec.json.encode(merged)
            await self.store.put(
                cold_start_records.KIND, domain, value, version
            )

    def _remove_written(
        self,
        domain: ids.DomainName,
        written: dict[ids.EndpointId, cold_start_records.ColdStartRecord],
    ) -> None:
        # Another task may have written and removed the same records, and
        # newer ones may have been queued during the write.
        unwritten = self._unwritten_by_domain.get(domain, {})
        for endpoint, record in written.items():
            if unwritten.get(endpoint) == record:
                del unwritten[endpoint]
        if not unwritten:
            self._unwritten_by_domain.pop(domain, None)

    def _records(
        self, domain: ids.DomainName
    ) -> dict[ids.EndpointId, cold_start_records.ColdStartRecord]:
        routing_table = self.cold_limiter.routing_table
        return {
            id: state.record
            for id, state in self.cold_limiter.by_id.items()
            if (endpoint := routing_table.find(id))
            and endpoint.domain == domain
        }

    def _has_cold_demand(self, now: clock.MonotonicTime) -> bool:
        return any(
            endpoint.zone == self.own_zone
            for endpoint in self.cold_limiter.all_cold_endpoints_in_demand(now)
        )


def _decode(
    stored: objects.StoredObject,
) -> cold_start_records.DomainColdStartRecords:
    return decoding.decode_json(
        stored.value, cold_start_records.DomainColdStartRecords
    )
