"""Register this daemon in the object API and discover its peers.

The daemon objects are listed at the start, with retries until that succeeds,
and then at increasing intervals.  A daemon that considers most of the fleet
alive deletes the objects of daemons that have left, or that have been dead
for STALE_REMOVAL_SECONDS.  The delete is conditional on the version, so that
an object written again in the meantime is preserved.
"""

import dataclasses
import random
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.membership import view
from sycamoredale.object_api import objects
from sycamoredale.observability import logs

MAX_LIST_INTERVAL_SECONDS: Final = 300.0
# Daemons that start together are missing from each other's first lists, so
# the interval starts short and doubles.
FIRST_LIST_INTERVAL_SECONDS: Final = 1.0
# A list may be so old that it lacks what this daemon has written since.
MAX_STALE_SECONDS: Final = 20.0
FIRST_RETRY_SECONDS: Final = 1.0
MAX_RETRY_SECONDS: Final = 30.0
STALE_REMOVAL_SECONDS: Final = 300.0
# Stale objects are removed only while more of the fleet than this is alive.
MAJORITY_SHARE: Final = 0.5
LOG: Final = logs.get("membership.registry")


class Registration(msgspec.Struct, frozen=True):
    """Store the identity and address of a daemon in its object."""

    id: ids.DaemonId
    address: str
    zone: ids.ZoneName
    role: view.Role
    incarnation: ids.Incarnation
    cores: float = 0.0


@dataclasses.dataclass
class Registry:
    """Maintain the object of this daemon and read those of others."""

    store: objects.ObjectStore
    members: view.MembershipView
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    has_listed: bool = False
    _written_at: clock.MonotonicTime = clock.MonotonicTime(float("-inf"))

    async def run(self) -> None:
        """Refresh at intervals until cancelled."""
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
        """List the daemons and write the object of this one if it differs.

        Raises StoreUnavailable, VersionConflict or OutcomeUnknown.
        """
        # Only the first list must be current: it says how many daemons share
        # a limit.  News of later daemons arrive by gossip as well.
        stale = self.has_listed
        listing = await self.store.list(view.DAEMON_KIND, stale=stale)
        now = clock.monotonic()
        own_version = objects.ABSENT_VERSION
        registered = False
        for stored in listing.objects:
            registration = _decode(stored)
            if registration is None:
                continue
            if registration.id == self.members.own.id:
                own_version = stored.version
                registered = registration == registration_of(self.members.own)
                self._raise_incarnation_above(registration)
                continue
            if self._is_stale(registration, now):
                await self._remove(registration.id, stored.version)
                continue
            self.members.merge(_peer_of(registration), now)
        self.has_listed = True
        may_lag = stale and now - self._written_at < MAX_STALE_SECONDS
        if not registered and not may_lag:
            await self._write(own_version)

    async def deregister(self) -> None:
        """Delete the object of this daemon; log errors of the store."""
        name = self.members.own.id
        try:
            stored = await self.store.get(view.DAEMON_KIND, name)
            if stored is not None:
                await self.store.delete(view.DAEMON_KIND, name, stored.version)
        except errors.SycamoredaleError as error:
            LOG.info("deregistration_failed", reason=error.message)

    def _raise_incarnation_above(self, registration: Registration) -> None:
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
        since = self.members.state_since_by_id.get(registration.id, now)
        has_ended = recorded.state is view.PeerState.LEFT or (
            recorded.state is view.PeerState.DEAD
            and now - since > STALE_REMOVAL_SECONDS
        )
        return has_ended and self.members.alive_share() > MAJORITY_SHARE

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
        self._written_at = clock.monotonic()
        LOG.info("registered", id=own.id, address=own.address)


def _decode(stored: objects.StoredObject) -> Registration | None:
    """Return a registration, or None if another writer malformed it."""
    try:
        registration = decoding.decode_json(stored.value, Registration)
        view.check_peer(registration.address, registration.incarnation)
        return registration
    except ValueError as error:
        LOG.warning("entry_malformed", entry=stored.name, reason=str(error))
        return None


def registration_of(peer: view.Peer) -> Registration:
    """Return the registration of a peer."""
    return Registration(
        peer.id,
        peer.address,
        peer.zone,
        peer.role,
        peer.incarnation,
        peer.cores,
    )


def _peer_of(registration: Registration) -> view.Peer:
    return view.Peer(
        registration.id,
        registration.address,
        registration.zone,
        registration.role,
        registration.incarnation,
        cores=registration.cores,
    )
