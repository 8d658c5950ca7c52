"""Record which endpoints have ended their cold start.

An endpoint of which nothing is known is cold.  A round counts how often
it has turned cold.  Of two records the one with the higher round holds,
and in one round warm holds over cold, so records may arrive in any order
and from anyone.
"""

from typing import Final

import msgspec

from sycamoredale import ids

KIND: Final = "warm-endpoints"


class ColdStartRecord(msgspec.Struct, frozen=True):
    """Tell whether an endpoint is warm in one round of its life."""

    endpoint: ids.EndpointId
    round: int = 0
    warm: bool = False


class DomainColdStartRecords(msgspec.Struct, frozen=True):
    """Hold the records of one fabric domain."""

    domain: ids.DomainName
    records: list[ColdStartRecord] = []


def newest(left: ColdStartRecord, right: ColdStartRecord) -> ColdStartRecord:
    """Return the record that holds."""
    return max(left, right, key=lambda x: (x.round, x.warm))


def mark_cold(record: ColdStartRecord) -> ColdStartRecord:
    """Return the record of a warm endpoint that has turned cold."""
    if not record.warm:
        return record
    return ColdStartRecord(record.endpoint, record.round + 1, False)


def merge(
    stored: DomainColdStartRecords,
    records: dict[ids.EndpointId, ColdStartRecord],
) -> DomainColdStartRecords:
    """Return the stored records joined with those that exist here.

    Records of endpoints that are not among `records` are dropped.
    """
    by_id = {x.endpoint: x for x in stored.records}
    merged = [
        newest(record, by_id.get(endpoint, record))
        for endpoint, record in sorted(records.items())
    ]
    return msgspec.structs.replace(stored, records=merged)
