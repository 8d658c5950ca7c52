"""Select the daemons that gather the updates of their zone.

In a small fleet each daemon sends its updates to all others.  In a larger one
that would cost each daemon more with every other one, so it sends them to the
two hubs of its zone.  The first hub adds them up, exchanges the sums with the
hubs of other zones, and sends the total to the daemons of its zone; the second
one takes over when the first one is silent.

Every daemon ranks the members by their cores and a hash of their ids, so all
with the same view select the same hubs without an agreement.  A hub is one
because others ask it for totals; daemons with different views merely use more
hubs.
"""

import collections.abc
import dataclasses
from typing import Final

import xxhash

from sycamoredale import clock
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale import loop_delays
from sycamoredale.membership import view
from sycamoredale.observability import logs

# Up to so many peers, all daemons send to each other.
MAX_MESH_PEERS: Final = 15
HUBS_PER_ZONE: Final = 2
# A hub sends five totals a second.
SILENT_SECONDS: Final = 1.0
# Until a silent hub is asked again, if it is still a member.
RETRY_SECONDS: Final = 5.0
LOG: Final = logs.get("peer_updates")
NEVER: Final = clock.MonotonicTime(float("-inf"))


@dataclasses.dataclass(frozen=True, slots=True)
class UpdatePeer:
    """Identify a daemon that updates are sent to.

    Builds without hubs tell no `cores` and get each update.
    """

    id: ids.DaemonId
    zone: ids.ZoneName
    address: messages.Address
    cores: float = 0.0


GetPeers = collections.abc.Callable[[], collections.abc.Sequence[UpdatePeer]]


@dataclasses.dataclass
class HubSelector:
    """Rank the live daemons of each zone, and pass over silent hubs."""

    own: UpdatePeer
    get_peers: GetPeers
    delays: loop_delays.LoopDelays = dataclasses.field(
        default_factory=loop_delays.LoopDelays
    )
    _peers: collections.abc.Sequence[UpdatePeer] = ()
    _ranked_by_zone: dict[ids.ZoneName, list[UpdatePeer]] = dataclasses.field(
        default_factory=dict
    )
    _asked: ids.DaemonId | None = None
    _asked_since: clock.MonotonicTime = NEVER
    _heard_at: dict[ids.DaemonId, clock.MonotonicTime] = dataclasses.field(
        default_factory=dict
    )
    _silent_until: dict[ids.DaemonId, clock.MonotonicTime] = dataclasses.field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        """Rank this daemon alone until peers are known."""
        self._zone_by_id: dict[ids.DaemonId, ids.ZoneName] = {}
        self._address_by_id: dict[ids.DaemonId, messages.Address] = {}

    @property
    def peers(self) -> collections.abc.Sequence[UpdatePeer]:
        """Return the live daemons without this one."""
        self._refresh()
        return self._peers

    @property
    def uses_hubs(self) -> bool:
        """Return whether the fleet is too large for a mesh."""
        return len(self.peers) > MAX_MESH_PEERS

    @property
    def legacy_peers(self) -> list[UpdatePeer]:
        """Return the peers whose build knows no hubs."""
        return [p for p in self.peers if not p.cores]

    def own_hubs(self, now: clock.MonotonicTime) -> list[UpdatePeer]:
        """Return the hubs of the own zone; the first one is asked for totals.

        This daemon may be one of them.
        """
        self._refresh()
        ranked = [
            peer
            for peer in self._ranked_by_zone.get(self.own.zone, ())
            if self._silent_until.get(peer.id, NEVER) <= now
        ]
        while ranked and self._is_silent(ranked[0], now):
            silent = ranked.pop(0)
            until = clock.MonotonicTime(now + RETRY_SECONDS)
            self._silent_until[silent.id] = until
            LOG.warning("hub_silent", hub=silent.id)
        return ranked[:HUBS_PER_ZONE]

    def remote_hubs(self) -> collections.abc.Iterator[UpdatePeer]:
        """Yield the hubs of the other zones."""
        self._refresh()
        for zone, ranked in self._ranked_by_zone.items():
            if zone != self.own.zone:
                yield from ranked[:HUBS_PER_ZONE]

    @property
    def address_by_id(self) -> dict[ids.DaemonId, messages.Address]:
        """Return the addresses of the peers."""
        self._refresh()
        return self._address_by_id

    def zone_of(self, daemon: ids.DaemonId) -> ids.ZoneName | None:
        """Return the zone of a live daemon."""
        self._refresh()
        return self._zone_by_id.get(daemon)

    def record_total(
        self, hub: ids.DaemonId, now: clock.MonotonicTime
    ) -> None:
        """Record that a hub has sent a total."""
        self._heard_at[hub] = now
        self._silent_until.pop(hub, None)

    def _is_silent(self, hub: UpdatePeer, now: clock.MonotonicTime) -> bool:
        if hub.id != self._asked:
            self._asked, self._asked_since = hub.id, now
            LOG.info("hub_asked", hub=hub.id)
        if hub.id == self.own.id:
            return False
        since = max(self._heard_at.get(hub.id, NEVER), self._asked_since)
        if now - since <= SILENT_SECONDS:
            return False
        return self.delays.attentive_seconds(since, now) > SILENT_SECONDS

    def _refresh(self) -> None:
        peers = self.get_peers()
        if peers is self._peers:
            return
        self._peers = peers
        members = [*peers, self.own]
        self._zone_by_id = {peer.id: peer.zone for peer in members}
        self._address_by_id = {peer.id: peer.address for peer in peers}
        ranked_by_zone: dict[ids.ZoneName, list[UpdatePeer]] = {}
        for peer in sorted(members, key=_rank):
            if peer.cores:
                ranked_by_zone.setdefault(peer.zone, []).append(peer)
        self._ranked_by_zone = ranked_by_zone


def _rank(peer: UpdatePeer) -> tuple[float, int]:
    """Return the sort key by which the largest machines come first."""
    return -peer.cores, xxhash.xxh64_intdigest(f"hub/{peer.id}".encode())


@dataclasses.dataclass
class MemberPeers:
    """Convert the members to peers, again only when they change."""

    members: view.MembershipView
    port_offset: int
    _revision: int = -1
    _peers: list[UpdatePeer] = dataclasses.field(default_factory=list)

    def get(self) -> collections.abc.Sequence[UpdatePeer]:
        """Return the live routers without this daemon."""
        if self._revision != self.members.revision:
            self._revision = self.members.revision
            self._peers = [
                self.convert(peer)
                for peer in self.members.live_routers()
                if peer.id != self.members.own.id
            ]
        return self._peers

    def convert(self, peer: view.Peer) -> UpdatePeer:
        """Return a member with the address for its updates."""
        address = messages.parse_address(peer.address)
        return UpdatePeer(
            peer.id,
            peer.zone,
            messages.Address(address.host, address.port + self.port_offset),
            peer.cores,
        )
