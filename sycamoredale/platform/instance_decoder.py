"""Decode instances from list entries and from their own reports.

Other writers may leave malformed entries, which are rejected.
"""

import msgspec

from sycamoredale.forwarding import instance_state
from sycamoredale.http import messages
from sycamoredale import ids


class _Group(msgspec.Struct):
    name: str
    epoch: int
    rank: int
    state: str


class _Lifetime(msgspec.Struct, kw_only=True):
    # Number of orders that the instance has begun since its start.
    seq: int
    # Unix time of the start, in milliseconds.
    born: int = 0
    staged: list[str] = []
    group: _Group | None = None


class _Entry(_Lifetime, kw_only=True):
    # The platform's "backend" is the name of a service.
    backend: str
    addr: str
    zone: str
    state: str
    slots: int = 1
    cold_left_ms: float = 0
    domain: str = ""


class _Report(_Lifetime, kw_only=True):
    # Not a rate: a factor on the usual duration of the work.
    pace: float = 1.0


_ENTRY_DECODER = msgspec.json.Decoder(_Entry)
_REPORT_DECODER = msgspec.json.Decoder(_Report)


def decode_entry(name: str, data: msgspec.Raw) -> instance_state.Instance:
    """Decode the list entry of an instance; raise ValueError."""
    entry = _ENTRY_DECODER.decode(data)
    if entry.state not in ("ready", "draining"):
        raise ValueError(f"instance {name} has unknown state {entry.state!r}")
    return instance_state.Instance(
        id=ids.InstanceId(name),
        service=ids.ServiceName(entry.backend),
        address=messages.parse_address(entry.addr),
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
