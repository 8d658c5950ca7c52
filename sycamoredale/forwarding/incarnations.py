"""Track which instance is the latest at each address, and which have ended.

A restarted instance mostly has a new id and the address of its predecessor.
Of two instances with the same address, the one that started later is running
and the other has ended, even if the platform still lists it.
"""

import dataclasses
from typing import Final

from sycamoredale.http import messages
from sycamoredale import ids

# A quarter of the instances of the largest supported site: fewer end while the
# group membership of an ended one matters.
MAX_ENDED: Final = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Incarnation:
    instance: ids.InstanceId
    started_ms: int


@dataclasses.dataclass
class IncarnationTracker:
    """Track the latest instance at each address and the ended instances."""

    _latest_by_address: dict[messages.Address, _Incarnation] = (
        dataclasses.field(default_factory=dict)
    )
    # Start times of the ended incarnations; the oldest entry comes first.
    _started_ms_by_ended_id: dict[ids.InstanceId, int] = dataclasses.field(
        default_factory=dict
    )

    def record_listed(
        self,
        address: messages.Address,
        instance: ids.InstanceId,
        started_ms: int,
    ) -> ids.InstanceId | None:
        """Record a listed instance and return the one that has ended, if any.

        Of two instances at the address, that is the one that started
        earlier, which may be the listed one.
        """
        listed = _Incarnation(instance, started_ms)
        if self._started_ms_by_ended_id.get(instance, started_ms) < started_ms:
            del self._started_ms_by_ended_id[instance]
        latest = self._latest_by_address.get(address, listed)
        if latest.instance != instance and latest.started_ms > started_ms:
            self.record_ended(instance, started_ms)
            return instance
        self._latest_by_address[address] = listed
        if latest.instance == instance or latest.started_ms == started_ms:
            return None
        self.record_ended(latest.instance, latest.started_ms)
        return latest.instance

    def record_ended(self, instance: ids.InstanceId, started_ms: int) -> None:
        """Record that an incarnation of an instance has ended."""
        self._started_ms_by_ended_id[instance] = started_ms
        if len(self._started_ms_by_ended_id) > MAX_ENDED:
            del self._started_ms_by_ended_id[
                next(iter(self._started_ms_by_ended_id))
            ]

    def has_ended(self, instance: ids.InstanceId) -> bool:
        """Return whether the last known incarnation has ended."""
        return instance in self._started_ms_by_ended_id

    def ended_ids(self) -> frozenset[ids.InstanceId]:
        """Return the ids of the instances that have ended."""
        return frozenset(self._started_ms_by_ended_id)

    def remove_address(
        self, address: messages.Address, instance: ids.InstanceId
    ) -> None:
        """Remove an address if this instance is the latest there."""
        latest = self._latest_by_address.get(address)
        if latest is not None and latest.instance == instance:
            del self._latest_by_address[address]
