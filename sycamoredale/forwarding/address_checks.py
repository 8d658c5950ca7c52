"""Ask the addresses that several entries name which instance is there.

Mostly an instance has ended, and the later one has taken over its address.
The later entry may also be that of another writer, who names an address that
is in use.  Only the address itself can tell which of them holds.
"""

import collections.abc
import dataclasses
import enum
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale import ids
from sycamoredale.observability import exposition
from sycamoredale.observability import logs

SCHEDULING_INTERVAL_SECONDS: Final = 0.1
RETRY_SECONDS: Final = 0.5
# Of all daemons together, since each of them asks: all entries of a zone that
# restarts name addresses of their predecessors.
MAX_CHECKS_PER_SECOND: Final = 400.0
LOG: Final = logs.get("address_checks")


class Occupant(enum.Enum):
    """Tell which instance has answered at the address of an instance."""

    SAME = "same"
    OTHER = "other"
    UNKNOWN = "unknown"


# Raises ConnectionFailed, ConnectionBroken or, if malformed, ValueError.
GetOccupant = collections.abc.Callable[
    [instance_state.Instance, catalogue.Service],
    collections.abc.Awaitable[Occupant],
]


@dataclasses.dataclass
class AddressChecker:
    """Check the contested instances of the table, within a rate."""

    instances: instance_table.InstanceTable
    get_services: endpoints.GetServices
    get_occupant: GetOccupant
    count_daemons: collections.abc.Callable[[], int] = lambda: 1
    metrics: exposition.MetricRegistry = dataclasses.field(
        default_factory=exposition.MetricRegistry
    )
    _allowance: float = 1.0
    _checking: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    _checked_at: dict[ids.InstanceId, clock.MonotonicTime] = dataclasses.field(
        default_factory=dict
    )

    async def run(self) -> None:
        """Check what is contested, and repeat it until an address answers."""
        while True:
            for instance in self.take_due(clock.monotonic()):
                self._checking.add(instance.id)
                await curio.spawn(self._check, instance, daemon=True)
            await curio.sleep(SCHEDULING_INTERVAL_SECONDS)

    def take_due(
        self, now: clock.MonotonicTime
    ) -> list[instance_state.Instance]:
        """Return the instances to check now, and count them as checked."""
        contested = self.instances.contested()
        names = {instance.id for instance in contested}
        self._checked_at = {
            name: at for name, at in self._checked_at.items() if name in names
        }
        rate = MAX_CHECKS_PER_SECOND / max(1, self.count_daemons())
        share = rate * SCHEDULING_INTERVAL_SECONDS
        self._allowance = min(self._allowance + share, max(1.0, share))
        due = [
            instance
            for instance in contested
            if instance.id not in self._checking
            and self._is_due(instance, now)
        ][: int(self._allowance)]
        self._allowance -= len(due)
        self._checked_at.update((instance.id, now) for instance in due)
        return due

    def _is_due(
        self, instance: instance_state.Instance, now: clock.MonotonicTime
    ) -> bool:
        checked_at = self._checked_at.get(instance.id)
        return checked_at is None or now - checked_at >= RETRY_SECONDS

    async def _check(self, instance: instance_state.Instance) -> None:
        occupant, reason = Occupant.UNKNOWN, "service is not configured"
        service = self.get_services().get(instance.service)
        try:
            if service is not None:
                occupant = await self.get_occupant(instance, service)
                reason = "answered"
        except (errors.SycamoredaleError, ValueError) as error:
            reason = str(error)
        finally:
            self._checking.discard(instance.id)
        self.metrics.count("address_checks", occupant.value)
        LOG.info(
            "address_checked",
            instance=instance.id,
            address=str(instance.address),
            occupant=occupant.value,
            reason=reason,
        )
        self.apply(instance, occupant)

    def apply(
        self, instance: instance_state.Instance, occupant: Occupant
    ) -> None:
        """Put what an address has answered in force."""
        if occupant is Occupant.SAME:
            self.instances.record_answering(instance)
        elif occupant is Occupant.OTHER:
            self.instances.record_replaced(instance)


def compare(expected: object, found: object | None) -> Occupant:
    """Return whether an answer has the expected identity, if it has any."""
    if found is None:
        return Occupant.UNKNOWN
    return Occupant.SAME if found == expected else Occupant.OTHER
