"""Remember which instances have said that they leave, and tell peers.

The list shows a leaving instance late, or not at all.  What an instance says
of itself in an answer holds at once and for the rest of its life: neither the
list nor a peer takes it back.  A later life of the same id starts without it.
Peers hear of it in the next updates, and again while the instance is known,
for those that have started since.
"""

import collections.abc
import dataclasses
import enum
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale.forwarding import instance_state
from sycamoredale import ids
from sycamoredale.observability import exposition
from sycamoredale.observability import logs

# A quarter of the instances of the largest supported site: fewer leave while
# the statement of one matters.
MAX_REMEMBERED: Final = 10_000
# Single datagrams are lost now and then, three in a row rarely.
SENDS_AT_ONCE: Final = 3
REPEAT_SECONDS: Final = 1.0
# About 750 bytes of a datagram; further ones follow in the next ones.
MAX_PER_DATAGRAM: Final = 32
LOG: Final = logs.get("instances")


class Source(enum.Enum):
    """Tell how this daemon learned that an instance leaves."""

    ANSWER = "answer"
    REPORT = "report"
    PEER = "peer"
    LIST = "list"


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """Identify one life of an instance by its id and start time."""

    instance: ids.InstanceId
    started_ms: int


def incarnation_of(instance: instance_state.Instance) -> Incarnation:
    """Return the present life of an instance."""
    return Incarnation(instance.id, instance.started_ms)


class DepartureUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Tell a peer that an instance has said that it leaves."""

    instance: ids.InstanceId
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Schedule:
    """Hold when to tell peers again, and how often that was done."""

    due_at: clock.MonotonicTime = clock.MonotonicTime(float("-inf"))
    sends: int = 0

    def after_send(self, now: clock.MonotonicTime) -> "_Schedule":
        sends = self.sends + 1
        pause = 0.0 if sends < SENDS_AT_ONCE else REPEAT_SECONDS
        return _Schedule(clock.MonotonicTime(now + pause), sends)


IsKnown = collections.abc.Callable[[Incarnation], bool]


@dataclasses.dataclass
class DepartureLog:
    """Record the incarnations that have said that they leave.

    Those that have said so to this daemon itself are in its updates.
    """

    metrics: exposition.MetricRegistry = dataclasses.field(
        default_factory=exposition.MetricRegistry
    )
    # The oldest one comes first.
    _recorded: dict[Incarnation, None] = dataclasses.field(
        default_factory=dict
    )
    # The next one to tell peers of comes first.
    _schedule_by_incarnation: dict[Incarnation, _Schedule] = dataclasses.field(
        default_factory=dict
    )

    def includes(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation has said that it leaves."""
        return incarnation in self._recorded

    def record(self, incarnation: Incarnation, source: Source) -> bool:
        """Record a departure; return whether it was unknown."""
        if source is not Source.PEER:
            self._schedule_by_incarnation.setdefault(incarnation, _Schedule())
        if self.includes(incarnation):
            return False
        self._recorded[incarnation] = None
        if len(self._recorded) > MAX_REMEMBERED:
            del self._recorded[next(iter(self._recorded))]
        self.log(incarnation, source)
        return True

    def take_updates(
        self, is_known: IsKnown, now: clock.MonotonicTime
    ) -> list[DepartureUpdate]:
        """Return what peers are to hear now, and count it as sent.

        Incarnations that are no longer known are dropped.
        """
        self._schedule_by_incarnation = {
            incarnation: schedule
            for incarnation, schedule in self._schedule_by_incarnation.items()
            if is_known(incarnation)
        }
        due = [
            incarnation
            for incarnation, schedule in self._schedule_by_incarnation.items()
            if schedule.due_at <= now
        ][:MAX_PER_DATAGRAM]
        for incarnation in due:
            schedule = self._schedule_by_incarnation.pop(incarnation)
            self._schedule_by_incarnation[incarnation] = schedule.after_send(
                now
            )
        return [DepartureUpdate(i.instance, i.started_ms) for i in due]

    def log(self, incarnation: Incarnation, source: Source) -> None:
        """Log and count how a departure was learned."""
        self.metrics.count("departures", source.value)
        LOG.info(
            "instance_leaving",
            instance=incarnation.instance,
            started_ms=incarnation.started_ms,
            source=source.value,
        )
