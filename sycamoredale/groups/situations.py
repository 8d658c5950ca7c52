"""Hold what the keeper of groups knows at one moment."""

import collections.abc
import dataclasses

from sycamoredale import clock
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import listing
from sycamoredale.groups import contact
from sycamoredale import ids


@dataclasses.dataclass(frozen=True)
class Situation:
    """Hold what a decision rests on.

    The unlisted instances have left the list and still answer; at the
    address of those that have ended another instance answers.
    """

    instances: collections.abc.Mapping[ids.InstanceId, listing.Instance]
    services: collections.abc.Mapping[ids.ServiceName, catalogue.Service]
    contacts: contact.ContactBook
    zones_out: frozenset[ids.ZoneName]
    stall_seconds: float
    now: clock.MonotonicTime
    unlisted: frozenset[ids.InstanceId] = frozenset()
    slow: frozenset[ids.InstanceId] = frozenset()
    ended: frozenset[ids.InstanceId] = frozenset()
