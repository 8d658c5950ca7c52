"""Merge the records of stand-ins, callers and the scenario runner."""

import collections
import collections.abc
import dataclasses
import enum
import pathlib
import typing
from typing import Final

import msgspec

from sycamoredale.object_api import instances
from sycamoredale.standins import records


class Outcome(enum.Enum):
    """Classify how a call ended for its caller."""

    COMPLETE = "whole"
    MISMATCHED = "wrong"
    TRUNCATED = "cut"
    TIMED_OUT = "silent"
    REFUSED = "refused"
    UNREACHABLE = "unreached"


class Call(msgspec.Struct, frozen=True, tag=True):
    """Record one attempt of a caller.

    The outcome is UNREACHABLE if the router refused the connection.
    """

    time: float
    ended: float
    marker: str
    router: str
    outcome: Outcome
    idempotent: bool = True
    key: str = ""
    status: int = 0
    code: str = ""
    execution: str = ""


class Outage(msgspec.Struct, frozen=True, tag=True):
    """Record that a process was paused, partitioned or killed.

    A daemon that lost only the store or its peers is still reachable by
    callers.
    """

    time: float
    until: float
    name: str
    killed: bool = False
    reachable_by_callers: bool = False


class PlannedStop(msgspec.Struct, frozen=True, tag=True):
    """Record when a router was asked to stop and when it ended."""

    time: float
    until: float
    daemon: str


class ConfigurationAccepted(msgspec.Struct, frozen=True, tag=True):
    """Record when a configuration was sent and when it was accepted."""

    time: float
    sent_at: float
    generation: int
    zones_out: list[str] = []


class GenerationSample(msgspec.Struct, frozen=True, tag=True):
    """Record the generation in force that a daemon reported."""

    time: float
    daemon: str
    generation: int


Record: typing.TypeAlias = (
    records.Record
    | Call
    | Outage
    | PlannedStop
    | ConfigurationAccepted
    | GenerationSample
)


@dataclasses.dataclass(frozen=True)
class Limits:
    """Set how long a change may take to have effect, in seconds."""

    new_work_seconds: float = 5.0
    configuration_seconds: float = 18.0
    list_lag_seconds: float = 0.0


_Record = typing.TypeVar("_Record")


class Recording:
    """Query the records of one run in order of time."""

    def __init__(
        self,
        unsorted: collections.abc.Iterable[Record],
        limits: Limits = Limits(),
    ) -> None:
        """Sort the records by type and time."""
        self.limits: Final = limits
        self._by_type: dict[type, list[typing.Any]] = collections.defaultdict(
            list
        )
        for record in sorted(unsorted, key=lambda r: r.time):
            self._by_type[type(record)].append(record)

    def of_type(self, kind: type[_Record]) -> list[_Record]:
        """Return the records of a type in order of time."""
        return self._by_type[kind]

    def instance_by_address(self) -> dict[str, instances.Instance]:
        """Return every instance that was listed at any time."""
        return {
            instance.address: instance
            for listed in self.of_type(records.InstancesListed)
            for instance in listed.instances
        }

    def had_outage(self, name: str, start: float, end: float) -> bool:
        """Return whether a process had an outage between two times."""
        return any(self._outages(name, start, end))

    def was_unreachable(self, name: str, start: float, end: float) -> bool:
        """Return whether callers could not reach a process for a time."""
        return any(
            not outage.reachable_by_callers
            for outage in self._outages(name, start, end)
        )

    def _outages(
        self, name: str, start: float, end: float
    ) -> collections.abc.Iterator[Outage]:
        for outage in self.of_type(Outage):
            if outage.name == name and outage.time <= end:
                if start < outage.until:
                    yield outage

    def find_state_loss(self, name: str, time: float) -> float:
        """Return when a process last lost its state before a time, or 0."""
        return max(
            (
                outage.time
                for outage in self.of_type(Outage)
                if outage.name == name
                and outage.killed
                and outage.until <= time
            ),
            default=0.0,
        )


def read(
    directory: pathlib.Path,
) -> collections.abc.Iterator[Record]:
    """Yield the records in all files of a directory."""
    decoder = msgspec.json.Decoder(Record)
    for path in sorted(directory.glob("*.jsonl")):
        for line in path.read_bytes().splitlines():
            yield decoder.decode(line)
