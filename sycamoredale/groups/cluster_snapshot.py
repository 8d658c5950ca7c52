"""Hold what the keeper of groups knows at one moment."""

import collections.abc
import dataclasses

from sycamoredale import clock
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import listing
from sycamoredale.groups import probe_status
from sycamoredale import ids


@dataclasses.dataclass(frozen=True)
class ClusterSnapshot:
    """Hold what a decision rests on.

    The unlisted instances have left the list and still answer; at the
    address of those that have ended another instance answers.
    """

    instances: collections.abc.Mapping[ids.InstanceId, listing.Instance]
    services: collections.abc.Mapping[ids.ServiceName, catalogue.Service]
    probe_statuses: probe_status.ProbeStatusTable
    zones_out: frozenset[ids.ZoneName]
    stall_seconds: float
    now: clock.MonotonicTime
    unlisted: frozenset[ids.InstanceId] = frozenset()
    stragglers: frozenset[ids.InstanceId] = frozenset()
    replaced: frozenset[ids.InstanceId] = frozenset()
