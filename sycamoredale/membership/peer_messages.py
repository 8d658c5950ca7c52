"""Define the messages that daemons exchange about each other.

They are encoded as JSON arrays in the order of their fields, to spare the
bytes of the field names.
"""

import msgspec

from sycamoredale import ids
from sycamoredale.membership import gossip
from sycamoredale.membership import view

HEARTBEAT_PATH = "/peer/heartbeat"
PROBE_PATH = "/peer/probe"
MEMBERS_PATH = "/peer/members"


class StateVersions(msgspec.Struct, frozen=True, array_like=True):
    """Tell how new the shared state of a daemon is."""

    generation: ids.Generation = ids.Generation(0)
    assignments: ids.ObjectVersion = ids.ObjectVersion(0)


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Carry the state of the sender and news, as question and answer.

    `age` is the sender's freshness in seconds, negative for none;
    `progress` what it has in force; `digest` the hash of its view.
    """

    sender: view.Peer
    age_seconds: float
    versions: StateVersions
    digest: int
    members: list[view.Peer] = []
    notices: list[gossip.Notice] = []


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask a peer to try to reach a third daemon."""

    target: view.Peer


class ProbeAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Tell whether the third daemon answered."""

    reached: bool


class MembersAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Carry a page of a view."""

    members: list[view.Peer]


class KnownMember(msgspec.Struct, frozen=True, array_like=True):
    """Name a peer and the latest word on it."""

    id: ids.DaemonId
    incarnation: ids.Incarnation
    state: view.PeerState


class MembersRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask for all that is newer than what the sender knows."""

    known: list[KnownMember]
