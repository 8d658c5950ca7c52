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
ENDED_KEPT: Final = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Life:
    instance: ids.InstanceId
    started_ms: int


@dataclasses.dataclass
class Lives:
    """Hold the latest instance at each address, and who has ended."""

    _latest_by_address: dict[messages.Address, _Life] = dataclasses.field(
        default_factory=dict
    )
    # When the ended life had started, by id; the oldest entry comes first.
    _ended: dict[ids.InstanceId, int] = dataclasses.field(default_factory=dict)

    def note_listed(
        self,
        address: messages.Address,
        instance: ids.InstanceId,
        started_ms: int,
    ) -> ids.InstanceId | None:
        """Return who has ended, as one of two ids with this address."""
        life = _Life(instance, started_ms)
        if self._ended.get(instance, started_ms) < started_ms:
            del self._ended[instance]
        latest = self._latest_by_address.get(address, life)
        if latest.instance != instance and latest.started_ms > started_ms:
            self.note_ended(instance, started_ms)
            return instance
        self._latest_by_address[address] = life
        if latest.instance == instance or latest.started_ms == started_ms:
            return None
        self.note_ended(latest.instance, latest.started_ms)
        return latest.instance

    def note_ended(self, instance: ids.InstanceId, started_ms: int) -> None:
        """Remember that a life of an instance has ended."""
        self._ended[instance] = started_ms
        if len(self._ended) > ENDED_KEPT:
            del self._ended[next(iter(self._ended))]

    def has_ended(self, instance: ids.InstanceId) -> bool:
        """Tell whether the last known life of an instance has ended."""
        return instance in self._ended

    def ended(self) -> frozenset[ids.InstanceId]:
        """Return the instances that have ended."""
        return frozenset(self._ended)

    def forget(
        self, address: messages.Address, instance: ids.InstanceId
    ) -> None:
        """Drop an address if this instance was the latest there."""
        latest = self._latest_by_address.get(address)
        if latest is not None and latest.instance == instance:
            del self._latest_by_address[address]
