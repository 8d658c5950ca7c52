"""Share the weight store among all groups that load.

One object lists the groups that may fetch at present and how many engines
of each do so.  A group takes its slots by a conditional update before its
engines are ordered to load, and gives them back when it has loaded.  Slots
of a group that no longer loads are void, whoever took them, so a lost
holder leaves nothing behind and no clock is compared.
"""

import collections.abc
import dataclasses
from typing import Final
import uuid

import msgspec

from sycamoredale import errors
from sycamoredale.groups import model
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.object_api import weights

SLOTS_KIND: Final = "load-slots"
SLOTS_NAME: Final = "weights"


class Slot(msgspec.Struct, frozen=True):
    """Count the engines of one group that fetch weights."""

    domain: ids.DomainName
    group: ids.GroupId
    fetches: int


class Slots(msgspec.Struct, frozen=True):
    """Hold all slots that are taken."""

    slots: list[Slot] = []
    write_id: ids.WriteId = ids.WriteId("")


IsLoading = collections.abc.Callable[[Slot], bool]


@dataclasses.dataclass
class LoadSlots:
    """Take and give back slots; nothing is fetched under unknown limits."""

    store: objects.ObjectStore
    limits: weights.WeightLimits | None = None

    async def take(
        self,
        domain: ids.DomainName,
        wanted: collections.abc.Sequence[Slot],
        loading: IsLoading,
    ) -> dict[ids.GroupId, int]:
        """Replace the slots of a domain and return the fetches by group.

        `loading` tells whether the group of another domain still loads.
        Raises StoreUnavailable, OutcomeUnknown or VersionConflict; the
        caller may then fetch no more than before.
        """
        if self.limits is None:
            return {}
        limit = self.limits.concurrent_fetches
        if limit is None:
            return {slot.group: slot.fetches for slot in wanted}
        stored = await self.store.get(SLOTS_KIND, SLOTS_NAME)
        version = stored.version if stored else objects.ABSENT
        before = _decode(stored).slots
        others = [s for s in before if s.domain != domain and loading(s)]
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
    """Return the wanted slots as far as the others leave room for them."""
    remaining = limit - sum(slot.fetches for slot in others)
    admitted: list[Slot] = []
    for slot in wanted:
        fetches = min(slot.fetches, remaining)
        if fetches > 0:
            admitted.append(msgspec.structs.replace(slot, fetches=fetches))
            remaining -= fetches
    return admitted


def is_loading(slot: Slot, assignment: model.Assignment | None) -> bool:
    """Tell whether an assignment still has the group of a slot forming."""
    if assignment is None:
        return True
    return any(
        group.id == slot.group and group.state is model.GroupState.FORMING
        for group in assignment.groups
    )


def _decode(stored: objects.StoredObject | None) -> Slots:
    if stored is None:
        return Slots()
    return msgspec.json.decode(stored.value, type=Slots)
