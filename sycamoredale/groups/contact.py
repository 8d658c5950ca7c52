"""Know which instances answer the daemon that keeps the groups."""

import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale import ids

# Two in a row, so that one lost packet takes no group down.
FAILURES_UNTIL_LOST: Final = 2


@dataclasses.dataclass
class Contact:
    """Count the probes of one instance that failed in a row."""

    failures: int = 0
    answered_at: clock.MonotonicTime | None = None

    @property
    def is_lost(self) -> bool:
        """Tell whether the instance does not answer any more."""
        return self.failures >= FAILURES_UNTIL_LOST


@dataclasses.dataclass
class ContactBook:
    """Hold the contact to instances by id."""

    by_id: dict[ids.InstanceId, Contact] = dataclasses.field(
        default_factory=dict
    )

    def answered(
        self, instance: ids.InstanceId, now: clock.MonotonicTime
    ) -> None:
        """Note an answer."""
        self.by_id[instance] = Contact(answered_at=now)

    def failed(self, instance: ids.InstanceId) -> None:
        """Count a probe that failed, refused or without an answer."""
        self.by_id.setdefault(instance, Contact()).failures += 1

    def is_lost(self, instance: ids.InstanceId) -> bool:
        """Tell whether an instance does not answer any more."""
        contact = self.by_id.get(instance)
        return contact is not None and contact.is_lost

    def answers(self, instance: ids.InstanceId) -> bool:
        """Tell whether an instance has answered its last probe."""
        contact = self.by_id.get(instance)
        return contact is not None and contact.failures == 0
