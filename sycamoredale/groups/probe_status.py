"""Record which instances answer the probes of the group controller."""

import dataclasses
import statistics
from typing import Final

from sycamoredale import clock
from sycamoredale import ids

# Consecutive failures; one lost packet must not take a group down.
FAILURES_UNTIL_UNREACHABLE: Final = 2
# A group is as slow as its slowest member.  At half speed it still meets most
# objectives, at a third none.
SLOW_FACTOR: Final = 2.5


@dataclasses.dataclass
class ProbeStatus:
    """Represent the latest probe results of one instance."""

    failures: int = 0
    answered_at: clock.MonotonicTime | None = None
    slowdown: float = 1.0

    @property
    def is_unreachable(self) -> bool:
        """Return whether the last probes failed in a row."""
        return self.failures >= FAILURES_UNTIL_UNREACHABLE


@dataclasses.dataclass
class ProbeStatusTable:
    """Map instance ids to probe status."""

    by_id: dict[ids.InstanceId, ProbeStatus] = dataclasses.field(
        default_factory=dict
    )

    def record_success(
        self,
        instance: ids.InstanceId,
        now: clock.MonotonicTime,
        slowdown: float = 1.0,
    ) -> None:
        """Record an answer and the slowdown that the instance reports."""
        self.by_id[instance] = ProbeStatus(answered_at=now, slowdown=slowdown)

    def record_failure(self, instance: ids.InstanceId) -> None:
        """Record a probe that was refused or not answered."""
        self.by_id.setdefault(instance, ProbeStatus()).failures += 1

    def forget_failures(self, instance: ids.InstanceId) -> None:
        """Forget the failures of probes that were not the instance's fault."""
        status = self.by_id.get(instance)
        if status is not None:
            status.failures = 0

    def is_unreachable(self, instance: ids.InstanceId) -> bool:
        """Return whether the last probes of an instance failed in a row."""
        status = self.by_id.get(instance)
        return status is not None and status.is_unreachable

    def stragglers(self) -> frozenset[ids.InstanceId]:
        """Return the instances that are much slower than the median.

        No absolute limit is used, because all instances are slow for some
        seconds after they have started together.
        """
        if not self.by_id:
            return frozenset()
        median = statistics.median(c.slowdown for c in self.by_id.values())
        return frozenset(
            instance
            for instance, status in self.by_id.items()
            if status.slowdown >= SLOW_FACTOR * median
        )

    def responds(self, instance: ids.InstanceId) -> bool:
        """Return whether an instance answered its last probe."""
        status = self.by_id.get(instance)
        return status is not None and status.failures == 0
