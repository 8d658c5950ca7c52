"""Tell whether a request had an endpoint to itself while it was there.

A crash weighs heavily against a request that ran alone.  Others may begin
after it, and all of them end at the same moment, so neither its beginning
nor its end alone shows whether it had company.
"""

import dataclasses
import typing


class Host(typing.Protocol):
    """Count the requests of this daemon on an endpoint."""

    in_flight: int
    begun: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stay:
    """Hold the time of one request on an endpoint."""

    host: Host
    number: int
    was_joining_others: bool

    @property
    def is_alone(self) -> bool:
        """Tell whether no other request was there at any time so far."""
        return not self.was_joining_others and self.host.begun == self.number

    def end(self) -> None:
        """Count the request as gone."""
        self.host.in_flight -= 1


def begin(host: Host) -> Stay:
    """Count a request as running on an endpoint."""
    was_joining_others = host.in_flight > 0
    host.in_flight += 1
    host.begun += 1
    return Stay(host, host.begun, was_joining_others)
