"""Know which instances answer the daemon that keeps the groups."""

import dataclasses
import statistics
from typing import Final

from sycamoredale import clock
from sycamoredale import ids

# Two in a row, so that one lost packet takes no group down.
FAILURES_UNTIL_UNREACHABLE: Final = 2
# A group runs as slowly as its slowest member.  At half its speed it still
# keeps most objectives, at a third none.
SLOW_FACTOR: Final = 2.5


@dataclasses.dataclass
class ProbeStatus:
    """Count the probes of one instance that failed in a row."""

    failures: int = 0
    answered_at: clock.MonotonicTime | None = None
    slowness: float = 1.0

    @property
    def is_unreachable(self) -> bool:
        """Tell whether the instance does not answer any more."""
        return self.failures >= FAILURES_UNTIL_UNREACHABLE


@dataclasses.dataclass
class ProbeStatusTable:
    """Hold the contact to instances by id."""

    by_id: dict[ids.InstanceId, ProbeStatus] = dataclasses.field(
        default_factory=dict
    )

    def record_success(
        self,
        instance: ids.InstanceId,
        now: clock.MonotonicTime,
        slowness: float = 1.0,
    ) -> None:
        """Note an answer, and how slow the instance says it is."""
        self.by_id[instance] = ProbeStatus(answered_at=now, slowness=slowness)

    def record_failure(self, instance: ids.InstanceId) -> None:
        """Count a probe that failed, refused or without an answer."""
        self.by_id.setdefault(instance, ProbeStatus()).failures += 1

    def is_unreachable(self, instance: ids.InstanceId) -> bool:
        """Tell whether an instance does not answer any more."""
        status = self.by_id.get(instance)
        return status is not None and status.is_unreachable

    def stragglers(self) -> frozenset[ids.InstanceId]:
        """Return the instances that are much slower than most are.

        All are slow for some seconds after they have started together.
        """
        if not self.by_id:
            return frozenset()
        median = statistics.median(c.slowness for c in self.by_id.values())
        return frozenset(
            instance
            for instance, status in self.by_id.items()
            if status.slowness >= SLOW_FACTOR * median
        )

    def responds(self, instance: ids.InstanceId) -> bool:
        """Tell whether an instance has answered its last probe."""
        status = self.by_id.get(instance)
        return status is not None and status.failures == 0
