"""Limit concurrent fetches from the weight store by shared slots.

One object lists the groups that may fetch weights and how many engines of
each may do so.  Slots are reserved for a group by a conditional update
before its engines are ordered to load, and released when it has loaded.
Slots of a group that no longer loads are ignored regardless of who reserved
them, so a failed controller leaks no slots and no clocks are compared.
"""

import collections.abc
import dataclasses
from typing import Final
import uuid

import msgspec

from sycamoredale import decoding
from sycamoredale import errors
from sycamoredale.groups import model
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.object_api import weights

SLOTS_KIND: Final = "load-slots"
SLOTS_NAME: Final = "weights"


class Slot(msgspec.Struct, frozen=True):
    """Reserve a number of concurrent fetches for one group."""

    domain: ids.DomainName
    group: ids.GroupId
    fetches: int


class Slots(msgspec.Struct, frozen=True):
    """Store all reserved slots."""

    slots: list[Slot] = []
    write_id: ids.WriteId = ids.WriteId("")


IsLoading = collections.abc.Callable[[Slot], bool]


@dataclasses.dataclass
class LoadSlots:
    """Reserve and release slots; none are granted while limits are unknown."""

    store: objects.ObjectStore
    limits: weights.WeightLimits | None = None

    async def reserve(
        self,
        domain: ids.DomainName,
        wanted: collections.abc.Sequence[Slot],
        still_loads: IsLoading,
    ) -> dict[ids.GroupId, int]:
        """Replace the slots of a domain and return the fetches by group.

        `still_loads` returns whether the group of another domain still loads.
        Raises StoreUnavailable, OutcomeUnknown or VersionConflict; the
        caller must then not exceed the fetches granted before.
        """
        if self.limits is None:
            return {}
        limit = self.limits.concurrent_fetches
        if limit is None:
            return {slot.group: slot.fetches for slot in wanted}
        stored = await self.store.get(SLOTS_KIND, SLOTS_NAME)
        version = stored.version if stored else objects.ABSENT_VERSION
        before = _decode(stored).slots
        others = [s for s in before if s.domain != domain and still_loads(s)]
        own = admit(others, wanted, limit)
        if others + own != before:
            await self._write(others + own, version)
        return {slot.group: slot.fetches for slot in own}

    async def _write(
        self, slots: list[Slot], version: ids.ObjectVersion
    ) -> None:
        write_id = ids.WriteId(uuid.uuid4().hex)
        value = msgspec.json.encode(Slots(slots, write_id))
        try:
            await self.store.put(SLOTS_KIND, SLOTS_NAME, value, version)
        except errors.OutcomeUnknown:
            stored = await self.store.get(SLOTS_KIND, SLOTS_NAME)
            if _decode(stored).write_id != write_id:
                raise


def admit(
    others: collections.abc.Iterable[Slot],
    wanted: collections.abc.Iterable[Slot],
    limit: int,
) -> list[Slot]:
    """Return the wanted slots, reduced to what the limit leaves."""
    remaining = limit - sum(slot.fetches for slot in others)
    admitted: list[Slot] = []
    for slot in wanted:
        fetches = min(slot.fetches, remaining)
        if fetches > 0:
            admitted.append(msgspec.structs.replace(slot, fetches=fetches))
            remaining -= fetches
    return admitted


def is_loading(slot: Slot, assignment: model.Assignment | None) -> bool:
    """Return whether the group of a slot is still forming.

    True if the assignment is unknown.
    """
    if assignment is None:
        return True
    return any(
        group.id == slot.group and group.state is model.GroupState.FORMING
        for group in assignment.groups
    )


def _decode(stored: objects.StoredObject | None) -> Slots:
    if stored is None:
        return Slots()
    return decoding.decode_json(stored.value, Slots)
