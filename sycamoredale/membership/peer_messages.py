"""Define the membership messages between daemons.

Messages are encoded as JSON arrays in field order, which omits the field
names to save bytes.
"""

import msgspec

from sycamoredale import ids
from sycamoredale.membership import gossip
from sycamoredale.membership import view

HEARTBEAT_PATH = "/peer/heartbeat"
PROBE_PATH = "/peer/probe"
MEMBERS_PATH = "/peer/members"


class StateVersions(msgspec.Struct, frozen=True, array_like=True):
    """Describe which versions of the shared state a daemon has."""

    generation: ids.Generation = ids.Generation(0)
    assignments: ids.ObjectVersion = ids.ObjectVersion(0)


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Carry the sender's state and pending updates, in both directions.

    `age_seconds` is the time since the sender was last in sync with the
    object API, negative if it never was.  `versions` are the state versions
    in force at the sender, and `digest` is the hash of its view.
    """

    sender: view.Peer
    age_seconds: float
    versions: StateVersions
    digest: int
    members: list[view.Peer] = []
    notices: list[gossip.Notice] = []


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask a peer to probe a third daemon."""

    target: view.Peer


class ProbeAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Report whether the probed daemon answered."""

    reached: bool


class MembersAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Return the members that are newer than those in the request."""

    members: list[view.Peer]


class KnownMember(msgspec.Struct, frozen=True, array_like=True):
    """Identify the latest state of a peer that the sender has recorded."""

    id: ids.DaemonId
    incarnation: ids.Incarnation
    state: view.PeerState


class MembersRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask for members newer than those that the sender has recorded."""

    known: list[KnownMember]
