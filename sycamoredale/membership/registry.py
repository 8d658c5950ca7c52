"""Register this daemon in the object API and find its peers there.

The list is read at the start until it succeeds, and then at intervals that
grow long.  A daemon object whose daemon has been believed dead for the
whole removal time is deleted by whoever notices first, if that daemon
sees most of the fleet alive; the conditional delete spares an object that
was written again meanwhile.
"""

import dataclasses
import random
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.membership import view
from sycamoredale.object_api import objects
from sycamoredale.observability import logs

MAX_LIST_INTERVAL_SECONDS: Final = 300.0
# Daemons that start together do not see each other in their first lists,
# so the pauses between lists begin short and double.
FIRST_LIST_INTERVAL_SECONDS: Final = 1.0
FIRST_RETRY_SECONDS: Final = 1.0
MAX_RETRY_SECONDS: Final = 30.0
STALE_REMOVAL_SECONDS: Final = 300.0
MAJORITY_SHARE: Final = 0.5
LOG: Final = logs.get("membership.registry")


class Registration(msgspec.Struct, frozen=True):
    """Hold what a daemon object says."""

    id: ids.DaemonId
    address: str
    zone: ids.ZoneName
    role: view.Role
    incarnation: ids.Incarnation


@dataclasses.dataclass
class Registry:
    """Keep the daemon object of this daemon and read those of others."""

    store: objects.ObjectStore
    members: view.MembershipView
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    has_listed: bool = False

    async def run(self) -> None:
        """Register and read the list, now and then again."""
        retry_seconds = FIRST_RETRY_SECONDS
        list_interval = FIRST_LIST_INTERVAL_SECONDS
        while True:
            try:
                await self.refresh()
                retry_seconds = FIRST_RETRY_SECONDS
                wait_seconds = list_interval * self.rng.uniform(0.8, 1.2)
                list_interval = min(
                    2 * list_interval, MAX_LIST_INTERVAL_SECONDS
                )
            except errors.SycamoredaleError as error:
                LOG.info("registration_failed", reason=error.message)
                wait_seconds = retry_seconds * self.rng.uniform(0.5, 1.0)
                retry_seconds = min(2 * retry_seconds, MAX_RETRY_SECONDS)
            await curio.sleep(wait_seconds)

    async def refresh(self) -> None:
        """Read the list, write this daemon; raise StoreUnavailable."""
        listing = await self.store.list(view.DAEMON_KIND)
        now = clock.monotonic()
        own_version = objects.ABSENT
        registered = False
        for stored in listing.objects:
            registration = msgspec.json.decode(stored.value, type=Registration)
            if registration.id == self.members.own.id:
                own_version = stored.version
                registered = registration == registration_of(self.members.own)
                self._outrank(registration)
                continue
            if self._is_stale(registration, now):
                await self._remove(registration.id, stored.version)
                continue
            self.members.merge(_peer_of(registration), now)
        self.has_listed = True
        if not registered:
            await self._write(own_version)

    async def deregister(self) -> None:
        """Remove the object of this daemon; raise nothing."""
        name = self.members.own.id
        try:
            stored = await self.store.get(view.DAEMON_KIND, name)
            if stored is not None:
                await self.store.delete(view.DAEMON_KIND, name, stored.version)
        except errors.SycamoredaleError as error:
            LOG.info("deregistration_failed", reason=error.message)

    def _outrank(self, registration: Registration) -> None:
        own = self.members.own
        if registration.incarnation > own.incarnation:
            incarnation = ids.Incarnation(registration.incarnation + 1)
            self.members.update_own(incarnation=incarnation)

    def _is_stale(
        self, registration: Registration, now: clock.MonotonicTime
    ) -> bool:
        recorded = self.members.by_id.get(registration.id)
        if recorded is None or registration.incarnation > recorded.incarnation:
            return False
        if self.members.alive_share() <= MAJORITY_SHARE:
            return False
        since = self.members.state_since_by_id.get(registration.id, now)
        if recorded.state is view.PeerState.LEFT:
            return True
        return (
            recorded.state is view.PeerState.DEAD
            and now - since > STALE_REMOVAL_SECONDS
        )

    async def _remove(
        self, name: ids.DaemonId, version: ids.ObjectVersion
    ) -> None:
        try:
            await self.store.delete(view.DAEMON_KIND, name, version)
            LOG.info("stale_daemon_removed", id=name)
        except (errors.VersionConflict, errors.OutcomeUnknown) as error:
            LOG.info("stale_daemon_kept", id=name, reason=error.message)

    async def _write(self, version: ids.ObjectVersion) -> None:
        own = registration_of(self.members.own)
        value = msgspec.json.encode(own)
        await self.store.put(view.DAEMON_KIND, own.id, value, version)
        LOG.info("registered", id=own.id, address=own.address)


def registration_of(peer: view.Peer) -> Registration:
    """Return what the daemon object of a peer says."""
    return Registration(
        peer.id, peer.address, peer.zone, peer.role, peer.incarnation
    )


def _peer_of(registration: Registration) -> view.Peer:
    return view.Peer(
        registration.id,
        registration.address,
        registration.zone,
        registration.role,
        registration.incarnation,
    )
