"""Track the staging orders in progress.

A load takes many seconds, during which no report shows it, and only a few
loads may run concurrently.
"""

import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.groups import cluster_snapshot
from sycamoredale import ids

# The largest model loads in 16 s if no more loads run than allowed.
REPEAT_STAGE_SECONDS: Final = 30.0
# An unanswered order may still have been accepted; if so, the repeated order
# is answered at once.
UNANSWERED_RETRY_SECONDS: Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Staging:
    model: str
    until: clock.MonotonicTime


@dataclasses.dataclass
class StagingTracker:
    """Track the model being staged and its timeout for each instance."""

    _by_instance: dict[ids.InstanceId, _Staging] = dataclasses.field(
        default_factory=dict
    )

    def record_order(
        self,
        instance: ids.InstanceId,
        model: str,
        now: clock.MonotonicTime,
    ) -> None:
        """Record that an order to stage a model is about to be sent."""
        self._put(instance, model, now + REPEAT_STAGE_SECONDS)

    def record_unanswered(
        self,
        instance: ids.InstanceId,
        model: str,
        now: clock.MonotonicTime,
    ) -> None:
        """Allow an unanswered order to be repeated soon."""
        self._put(instance, model, now + UNANSWERED_RETRY_SECONDS)

    def in_progress(
        self, snapshot: cluster_snapshot.ClusterSnapshot
    ) -> dict[ids.InstanceId, str]:
        """Return the models being staged, by instance.

        Stagings that are complete or timed out are dropped, and those of
        missing instances.
        """
        found: dict[ids.InstanceId, str] = {}
        for instance, staging in list(self._by_instance.items()):
            current = snapshot.instances.get(instance)
            timed_out = snapshot.now >= staging.until
            if current is None or staging.model in current.staged or timed_out:
                del self._by_instance[instance]
            else:
                found[instance] = staging.model
        return found

    def _put(self, instance: ids.InstanceId, model: str, until: float) -> None:
        self._by_instance[instance] = _Staging(
            model, clock.MonotonicTime(until)
        )
