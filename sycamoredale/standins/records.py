"""Record what stand-ins saw, as JSON lines in a file.

A checker reads the files of all stand-ins after a run.  Lines reach the
file at once, so that those of a killed process are kept.  Times are of the
monotonic clock, which all processes of one machine share.
"""

import pathlib
import typing
from typing import Final

import msgspec

from sycamoredale.engines import orders
from sycamoredale import ids
from sycamoredale.object_api import instances


class RequestStarted(msgspec.Struct, frozen=True, tag="Executed"):
    """Report that an endpoint began to execute a request.

    `marker` is the text or body by which the caller knows the request.
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
    """Report that an execution ended, complete or cut."""

    time: float
    instance: ids.InstanceId
    request_id: str
    complete: bool


class OrderApplied(msgspec.Struct, frozen=True, tag="Obeyed"):
    """Report an order that an engine carried out."""

    time: float
    instance: ids.InstanceId
    order: orders.Order
    running: int


class ColdStartLoad(msgspec.Struct, frozen=True, tag="ColdLoad"):
    """Report the requests that an engine in cold start was given."""

    time: float
    instance: ids.InstanceId
    running: int
    limit: int


class ObjectChanged(msgspec.Struct, frozen=True, tag="Changed"):
    """Report a change of an object; a deletion has the value null."""

    time: float
    kind: str
    name: str
    version: int
    value: msgspec.Raw


class InstancesListed(msgspec.Struct, frozen=True, tag="Listed"):
    """Report the true list of instances, without its lag."""

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
    """Append records to a file, or to nothing."""

    def __init__(self, path: pathlib.Path | None = None) -> None:
        """Open the file."""
        self._file: Final = path.open("ab", buffering=0) if path else None

    def write(self, record: Record) -> None:
        """Append one record."""
        if self._file is not None:
            self._file.write(msgspec.json.encode(record) + b"\n")
