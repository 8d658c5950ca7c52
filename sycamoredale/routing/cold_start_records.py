"""Record which endpoints have ended their cold start.

An endpoint without a record is cold.  `round` counts how often the endpoint
has turned cold.  Of two records, the one with the higher round is newer;
within a round, warm is newer than cold.  Merging is therefore commutative,
and records may arrive in any order and from any router.
"""

from typing import Final

import msgspec

from sycamoredale import ids

KIND: Final = "warm-endpoints"


class ColdStartRecord(msgspec.Struct, frozen=True):
    """State whether an endpoint is warm in a round."""

    endpoint: ids.EndpointId
    round: int = 0
    warm: bool = False


class DomainColdStartRecords(msgspec.Struct, frozen=True):
    """Store the records of one fabric domain."""

    domain: ids.DomainName
    records: list[ColdStartRecord] = []


def newest(left: ColdStartRecord, right: ColdStartRecord) -> ColdStartRecord:
    """Return the newer of two records of one endpoint."""
    return max(left, right, key=lambda x: (x.round, x.warm))


def mark_cold(record: ColdStartRecord) -> ColdStartRecord:
    """Return the record after a warm endpoint has turned cold.

    A record of a cold endpoint is returned unchanged.
    """
    if not record.warm:
        return record
    return ColdStartRecord(record.endpoint, record.round + 1, False)


def merge(
    stored: DomainColdStartRecords,
    records: dict[ids.EndpointId, ColdStartRecord],
) -> DomainColdStartRecords:
    """Return the newest of the stored and the given records.

    Stored records of endpoints that are not in `records` are dropped.
    """
    by_id = {x.endpoint: x for x in stored.records}
    merged = [
        newest(record, by_id.get(endpoint, record))
        for endpoint, record in sorted(records.items())
    ]
    return msgspec.structs.replace(stored, records=merged)
