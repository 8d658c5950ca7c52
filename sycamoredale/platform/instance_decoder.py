"""Decode instances from list entries and from their own reports.

Other writers may leave malformed entries, which are rejected.
"""

import typing
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale.forwarding import instance_state
from sycamoredale.http import messages
from sycamoredale import ids

# Clocks differ by seconds; an instance that claims to have started later would
# displace the one that runs at its address.
MAX_CLOCK_DIFFERENCE_SECONDS: Final = 3600.0
MAX_COLD_MS: Final = 24 * 3600 * 1000
MAX_SLOTS: Final = 65536
MAX_SLOWDOWN: Final = 1e6


class _Group(msgspec.Struct):
    name: str
    epoch: decoding.Count
    rank: decoding.Count
    state: str


class _Lifetime(msgspec.Struct, kw_only=True):
    # Number of orders that the instance has begun since its start.
    seq: decoding.Count
    # Unix time of the start, in milliseconds.
    born: decoding.Count = 0
    staged: list[str] = []
    group: _Group | None = None


class _Entry(_Lifetime, kw_only=True):
    # The platform's "backend" is the name of a service.
    backend: str
    addr: str
    zone: str
    state: str
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = 1
    cold_left_ms: typing.Annotated[float, msgspec.Meta(le=MAX_COLD_MS)] = 0
    domain: str = ""


class _Report(_Lifetime, kw_only=True):
    # Not a rate: a factor on the usual duration of the work.
    pace: typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_SLOWDOWN)] = 1.0


_ENTRY_DECODER = decoding.JsonDecoder(_Entry)
_REPORT_DECODER = decoding.JsonDecoder(_Report)


def decode_entry(
    name: str, data: bytes | msgspec.Raw, now: clock.WallTime
) -> instance_state.Instance:
    """Decode the list entry of an instance; raise ValueError."""
    entry = _ENTRY_DECODER.decode(data)
    if entry.state not in ("ready", "draining"):
        raise ValueError(f"instance {name} has unknown state {entry.state!r}")
    if entry.born > 1000 * (now + MAX_CLOCK_DIFFERENCE_SECONDS):
        raise ValueError(f"instance {name} starts in the future: {entry.born}")
    return instance_state.Instance(
        id=ids.InstanceId(name),
        service=ids.ServiceName(entry.backend),
        address=messages.parse_destination(entry.addr),
        zone=ids.ZoneName(entry.zone),
        domain=ids.DomainName(entry.domain),
        slots=entry.slots,
        leaving=entry.state == "draining",
        cold_seconds=max(0.0, entry.cold_left_ms) / 1000,
        started_ms=entry.born,
        orders_taken=entry.seq,
        membership=_membership(entry.group),
        staged=tuple(entry.staged),
    )


def decode_report(data: bytes) -> instance_state.Report:
    """Decode the report of an instance; raise ValueError."""
    report = _REPORT_DECODER.decode(data)
    return instance_state.Report(
        started_ms=report.born,
        orders_taken=report.seq,
        membership=_membership(report.group),
        staged=tuple(report.staged),
        slowdown=report.pace,
    )


def _membership(group: _Group | None) -> instance_state.Membership | None:
    if group is None or not group.name:
        return None
    return instance_state.Membership(
        ids.GroupId(group.name),
        ids.Epoch(group.epoch),
        group.rank,
        instance_state.MemberState(group.state),
    )
