"""Tell apart the instances that have one address one after the other.

An instance that starts again mostly has another id and the address of the
one before.  Of two with one address the one that started later lives, and
the other has ended, whatever the list still says of it.
"""

import dataclasses
from typing import Final

from sycamoredale.http import messages
from sycamoredale import ids

# More than end while the place of one of them in a group matters: a quarter
# of the instances of the largest site that is aimed at.
MAX_ENDED: Final = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Incarnation:
    instance: ids.InstanceId
    started_ms: int


@dataclasses.dataclass
class IncarnationTracker:
    """Hold the latest instance at each address, and who has ended."""

    _latest_by_address: dict[messages.Address, _Incarnation] = (
        dataclasses.field(default_factory=dict)
    )
    # When the ended life had started, by id; the oldest entry comes first.
    _started_ms_by_ended_id: dict[ids.InstanceId, int] = dataclasses.field(
        default_factory=dict
    )

    def record_listed(
        self,
        address: messages.Address,
        instance: ids.InstanceId,
        started_ms: int,
    ) -> ids.InstanceId | None:
        """Return who has ended, as one of two ids with this address."""
        life = _Incarnation(instance, started_ms)
        if self._started_ms_by_ended_id.get(instance, started_ms) < started_ms:
            del self._started_ms_by_ended_id[instance]
        latest = self._latest_by_address.get(address, life)
        if latest.instance != instance and latest.started_ms > started_ms:
            self.record_ended(instance, started_ms)
            return instance
        self._latest_by_address[address] = life
        if latest.instance == instance or latest.started_ms == started_ms:
            return None
        self.record_ended(latest.instance, latest.started_ms)
        return latest.instance

    def record_ended(self, instance: ids.InstanceId, started_ms: int) -> None:
        """Remember that a life of an instance has ended."""
        self._started_ms_by_ended_id[instance] = started_ms
        if len(self._started_ms_by_ended_id) > MAX_ENDED:
            del self._started_ms_by_ended_id[
                next(iter(self._started_ms_by_ended_id))
            ]

    def has_ended(self, instance: ids.InstanceId) -> bool:
        """Tell whether the last known life of an instance has ended."""
        return instance in self._started_ms_by_ended_id

    def ended_ids(self) -> frozenset[ids.InstanceId]:
        """Return the instances that have ended."""
        return frozenset(self._started_ms_by_ended_id)

    def remove_address(
        self, address: messages.Address, instance: ids.InstanceId
    ) -> None:
        """Drop an address if this instance was the latest there."""
        latest = self._latest_by_address.get(address)
        if latest is not None and latest.instance == instance:
            del self._latest_by_address[address]
