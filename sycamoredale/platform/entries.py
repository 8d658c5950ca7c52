"""Decode what instances say of themselves, in the list and when asked.

Another writer may leave malformed entries; those name no instance.
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


class _Life(msgspec.Struct, kw_only=True):
    # Counts the orders that the instance has begun in this life.
    seq: int
    # Unix milliseconds of the start of this life.
    born: int = 0
    staged: list[str] = []
    group: _Group | None = None


class _Entry(_Life, kw_only=True):
    # The platform's "backend" is the name of a service.
    backend: str
    addr: str
    zone: str
    state: str
    slots: int = 1
    cold_left_ms: float = 0
    domain: str = ""


class _Report(_Life, kw_only=True):
    # Not a rate: how many times as long as usual the work takes.
    pace: float = 1.0


_ENTRY_DECODER = msgspec.json.Decoder(_Entry)
_REPORT_DECODER = msgspec.json.Decoder(_Report)


def decode_entry(name: str, data: msgspec.Raw) -> instance_state.Instance:
    """Return the instance of a list entry; raise ValueError if it is none."""
    entry = _ENTRY_DECODER.decode(data)
    if entry.state not in ("ready", "draining"):
        raise ValueError(f"state {entry.state!r} is unknown")
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
    """Return the report in an answer; raise ValueError if it is none."""
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
