"""Track which instance is the latest at each address, and which have ended.

A restarted instance mostly has a new id and the address of its predecessor.
Of two listed instances with the same address, the one that started later is
used.  The other one has ended only once the address itself has said so: an
entry of another writer may name the address of an instance that still runs.
"""

import dataclasses
from typing import Final

from sycamoredale.http import messages
from sycamoredale import ids

# A quarter of the instances of the largest supported site: fewer end while the
# group membership of an ended one matters.
MAX_ENDED: Final = 10_000
# A forgotten one is found out again, once its entry is applied.
MAX_REFUTED: Final = 1000


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
    # The oldest entry comes first.
    _refuted: dict[_Incarnation, None] = dataclasses.field(
        default_factory=dict
    )

    def record_started(
        self, instance: ids.InstanceId, started_ms: int
    ) -> None:
        """Forget the end of an earlier incarnation of an instance."""
        if self._started_ms_by_ended_id.get(instance, started_ms) < started_ms:
            del self._started_ms_by_ended_id[instance]

    def record_listed(
        self,
        address: messages.Address,
        instance: ids.InstanceId,
        started_ms: int,
    ) -> ids.InstanceId | None:
        """Record a listed instance and return the superseded one, if any.

        Of two instances at the address, that is the one that started
        earlier, which may be the listed one.
        """
        listed = _Incarnation(instance, started_ms)
        if listed in self._refuted:
            return instance
        latest = self._latest_by_address.get(address, listed)
        if latest.instance != instance and latest.started_ms > started_ms:
            return instance
        self._latest_by_address[address] = listed
        if latest.instance == instance or latest.started_ms == started_ms:
            return None
        return latest.instance

    def is_latest(
        self, address: messages.Address, instance: ids.InstanceId
    ) -> bool:
        """Return whether no later instance is listed at an address."""
        latest = self._latest_by_address.get(address)
        return latest is None or latest.instance == instance

    def set_latest(
        self,
        address: messages.Address,
        instance: ids.InstanceId,
        started_ms: int,
    ) -> None:
        """Record the instance that has answered at an address."""
        self._latest_by_address[address] = _Incarnation(instance, started_ms)

    def refute(self, instance: ids.InstanceId, started_ms: int) -> None:
        """Record that an incarnation is not at the address of its entry."""
        self._refuted[_Incarnation(instance, started_ms)] = None
        if len(self._refuted) > MAX_REFUTED:
            del self._refuted[next(iter(self._refuted))]

    def is_refuted(self, instance: ids.InstanceId, started_ms: int) -> bool:
        """Return whether an incarnation is not at its address."""
        return _Incarnation(instance, started_ms) in self._refuted

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
