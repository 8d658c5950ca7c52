"""Remember which models instances were ordered to stage.

A load takes many seconds in which nothing shows it, and only a few may run
at once.
"""

import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.groups import cluster_snapshot
from sycamoredale import ids

# A staging that shows no result by then is ordered again; the largest
# model takes 16 s where no more loads than allowed run at once.
REPEAT_STAGE_SECONDS: Final = 30.0
# An order that nothing answered may still have been taken; one that was is
# answered at once when it comes again.
UNANSWERED_RETRY_SECONDS: Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Staging:
    model: str
    until: clock.MonotonicTime


@dataclasses.dataclass
class StagingTracker:
    """Hold the stagings under way by instance."""

    _by_instance: dict[ids.InstanceId, _Staging] = dataclasses.field(
        default_factory=dict
    )

    def record_order(
        self,
        instance: ids.InstanceId,
        model: str,
        now: clock.MonotonicTime,
    ) -> None:
        """Remember that an instance is about to be ordered to stage."""
        self._put(instance, model, now + REPEAT_STAGE_SECONDS)

    def record_unanswered(
        self,
        instance: ids.InstanceId,
        model: str,
        now: clock.MonotonicTime,
    ) -> None:
        """Let an order that nothing answered be given again soon."""
        self._put(instance, model, now + UNANSWERED_RETRY_SECONDS)

    def in_progress(
        self, snapshot: cluster_snapshot.ClusterSnapshot
    ) -> dict[ids.InstanceId, str]:
        """Return the models that are being staged, by instance."""
        found: dict[ids.InstanceId, str] = {}
        for instance, staging in list(self._by_instance.items()):
            known = snapshot.instances.get(instance)
            late = snapshot.now >= staging.until
            if known is None or staging.model in known.staged or late:
                del self._by_instance[instance]
            else:
                found[instance] = staging.model
        return found

    def _put(self, instance: ids.InstanceId, model: str, until: float) -> None:
        self._by_instance[instance] = _Staging(
            model, clock.MonotonicTime(until)
        )
