"""Write the events that stand-ins observe to a file of JSON lines.

A checker reads the files of all stand-ins after a run.  Lines are written
without buffering, so that no line is lost when a process is killed.  Times
are of the monotonic clock, which all processes of one machine share.
"""

import pathlib
import typing
from typing import Final

import msgspec

from sycamoredale.engines import orders
from sycamoredale import ids
from sycamoredale.object_api import instances


class RequestStarted(msgspec.Struct, frozen=True, tag="Executed"):
    """Record that an endpoint started to execute a request.

    `marker` is the prompt or body that identifies the request of a caller.
    """

    time: float
    instance: ids.InstanceId
    request_id: str
    marker: str
    key: str = ""
    group: str = ""
    epoch: int = 0
    members: list[str] = []


class RequestEnded(msgspec.Struct, frozen=True, tag="Ended"):
    """Record that an execution ended, completely or interrupted."""

    time: float
    instance: ids.InstanceId
    request_id: str
    complete: bool


class OrderApplied(msgspec.Struct, frozen=True, tag="Obeyed"):
    """Record an order that an engine applied."""

    time: float
    instance: ids.InstanceId
    order: orders.Order
    running: int


class ColdStartLoad(msgspec.Struct, frozen=True, tag="ColdLoad"):
    """Record the load of an engine in cold start at a new request."""

    time: float
    instance: ids.InstanceId
    running: int
    limit: int


class ObjectChanged(msgspec.Struct, frozen=True, tag="Changed"):
    """Record a change of an object; a deletion has the value null."""

    time: float
    kind: str
    name: str
    version: int
    value: msgspec.Raw


class InstancesListed(msgspec.Struct, frozen=True, tag="Listed"):
    """Record the instance list when it changes, without the list lag."""

    time: float
    instances: list[instances.Instance]


Record: typing.TypeAlias = (
    RequestStarted
    | RequestEnded
    | OrderApplied
    | ColdStartLoad
    | ObjectChanged
    | InstancesListed
)


class Recorder:
    """Append records to a file; discard them without a file."""

    def __init__(self, path: pathlib.Path | None = None) -> None:
        """Open the file for appending, if there is one."""
        self._file: Final = path.open("ab", buffering=0) if path else None

    def write(self, record: Record) -> None:
        """Append one record."""
        if self._file is not None:
            self._file.write(msgspec.json.encode(record) + b"\n")
