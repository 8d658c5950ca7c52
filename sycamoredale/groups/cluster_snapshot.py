"""Define the input of the decisions on reported groups."""

import collections.abc
import dataclasses

from sycamoredale import clock
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import instance_state
from sycamoredale.groups import probe_status
from sycamoredale import ids


@dataclasses.dataclass(frozen=True)
class ClusterSnapshot:
    """Represent the instances, services and probe results at one time.

    Unlisted instances are no longer in the instance list but still answer
    probes.  At the address of a replaced instance a newer one answers.
    """

    instances: collections.abc.Mapping[ids.InstanceId, instance_state.Instance]
    services: collections.abc.Mapping[ids.ServiceName, catalogue.Service]
    probe_statuses: probe_status.ProbeStatusTable
    zones_out: frozenset[ids.ZoneName]
    stall_seconds: float
    now: clock.MonotonicTime
    unlisted: frozenset[ids.InstanceId] = frozenset()
    stragglers: frozenset[ids.InstanceId] = frozenset()
    replaced: frozenset[ids.InstanceId] = frozenset()
