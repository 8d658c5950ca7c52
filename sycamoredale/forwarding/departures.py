"""Remember which instances have said that they leave.

The list shows a leaving instance late, or not at all.  What an instance says
of itself in an answer holds at once and for the rest of its life: neither the
list nor a peer takes it back.  A later life of the same id starts without it.
"""

import dataclasses
import enum
from typing import Final

from sycamoredale.forwarding import instance_state
from sycamoredale import ids
from sycamoredale.observability import exposition
from sycamoredale.observability import logs

# A quarter of the instances of the largest supported site: fewer leave while
# the statement of one matters.
MAX_REMEMBERED: Final = 10_000
LOG: Final = logs.get("instances")


class Source(enum.Enum):
    """Tell how this daemon learned that an instance leaves."""

    ANSWER = "answer"
    LIST = "list"


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """Identify one life of an instance by its id and start time."""

    instance: ids.InstanceId
    started_ms: int


def incarnation_of(instance: instance_state.Instance) -> Incarnation:
    """Return the present life of an instance."""
    return Incarnation(instance.id, instance.started_ms)


@dataclasses.dataclass
class DepartureLog:
    """Record the incarnations that have said that they leave."""

    metrics: exposition.MetricRegistry = dataclasses.field(
        default_factory=exposition.MetricRegistry
    )
    # The oldest entry comes first.
    _source_by_incarnation: dict[Incarnation, Source] = dataclasses.field(
        default_factory=dict
    )

    def record(self, incarnation: Incarnation, source: Source) -> bool:
        """Record a departure; return whether it was unknown."""
        if incarnation in self._source_by_incarnation:
            return False
        self._source_by_incarnation[incarnation] = source
        if len(self._source_by_incarnation) > MAX_REMEMBERED:
            del self._source_by_incarnation[
                next(iter(self._source_by_incarnation))
            ]
        self.log(incarnation, source)
        return True

    def log(self, incarnation: Incarnation, source: Source) -> None:
        """Log and count how a departure was learned."""
        self.metrics.count("departures", source.value)
        LOG.info(
            "instance_leaving",
            instance=incarnation.instance,
            started_ms=incarnation.started_ms,
            source=source.value,
        )
