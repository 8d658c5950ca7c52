"""Follow the configuration and the assignments in the object API.

The watchers of each zone poll the object API, and the other daemons fetch
changes from them.  A daemon whose state becomes stale polls itself, with
exponential backoff while that fails.  During an outage of the object API,
followers continue with the latest state that they have read.  They never
return to an older one.
"""

import collections.abc
import dataclasses
import random
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.config import propagation
from sycamoredale.config import store as config_store
from sycamoredale import decoding
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.groups import model as groups_model
from sycamoredale import ids
from sycamoredale.membership import mirror
from sycamoredale.membership import node as node_module
from sycamoredale.membership import peer_messages
from sycamoredale.object_api import backoff
from sycamoredale.object_api import objects
from sycamoredale.observability import logs
from sycamoredale.routing import table

POLL_INTERVAL_SECONDS: Final = 0.8
POLL_RETRY_SECONDS: Final = 1.0
# A watch that hears nothing may be one that the store has lost.
ASSIGNMENT_WATCH_SECONDS: Final = 1.0
PEER_COPY_WAIT_SECONDS: Final = 1.5
TICK_SECONDS: Final = 0.1
LOG: Final = logs.get("followers")

OnAccepted = collections.abc.Callable[
    [config_store.AcceptedConfiguration], None
]


@dataclasses.dataclass
class ConfigurationFollower:
    """Put each newly accepted configuration in force."""

    store: objects.ObjectStore
    node: node_module.Node
    on_accepted: OnAccepted
    accepted: config_store.AcceptedConfiguration = (
        config_store.NOTHING_ACCEPTED
    )
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    _version: ids.ObjectVersion = objects.ABSENT_VERSION
    _fetching: ids.Generation = ids.Generation(0)

    def __post_init__(self) -> None:
        """Subscribe to the state versions of peers."""
        self.propagation = propagation.Propagation(self.node.peers)
        self.node.add_versions_listener(self._on_peer_versions)

    async def run(self) -> None:
        """Poll while this daemon is a watcher or stale, until cancelled."""
        retry_delays = backoff.Backoff(self.rng)
        while True:
            now = clock.monotonic()
            is_watcher = self.node.is_watcher()
            if not is_watcher and not self.node.freshness.is_stale(now):
                retry_delays.reset()
                await curio.sleep(TICK_SECONDS)
                continue
            try:
                await self._poll()
                retry_delays.reset()
                await curio.sleep(self._seconds_until_next_poll(now))
            except errors.SycamoredaleError as error:
                LOG.info("configuration_poll_failed", reason=error.message)
                # A watcher does not back off, so that its zone learns of the
                # return of the store immediately.  Its rate is within the
                # call budget.
                delay = POLL_RETRY_SECONDS * self.rng.uniform(0.5, 1.0)
                wait_seconds = (
                    delay if is_watcher else retry_delays.next_seconds()
                )
                await curio.sleep(wait_seconds)

    async def _poll(self) -> None:
        """Apply the present state of the store; raise StoreUnavailable.

        The watch does not wait for changes, because a successful watch only
        proves that the state was current when it started.
        """
        started = clock.monotonic()
        if self._version == objects.ABSENT_VERSION:
            stored = await self._list()
        else:
            stored = await self._watch()
        if stored is not None:
            await self._apply_pointer(stored)
        self.node.freshness.on_poll(started)

    async def _list(self) -> objects.StoredObject | None:
        listing = await self.store.list(config_model.POINTER_KIND)
        self._record_version(listing)
        return _find_pointer(listing)

    async def _watch(self) -> objects.StoredObject | None:
        try:
            listing = await self.store.watch(
                config_model.POINTER_KIND, self._version, 0.0
            )
        except errors.WatchExpired:
            self._version = objects.ABSENT_VERSION
            return await self._list()
        self._record_version(listing)
        return _find_pointer(listing)

    def _seconds_until_next_poll(self, started: clock.MonotonicTime) -> float:
        delay = POLL_INTERVAL_SECONDS * self.rng.uniform(0.9, 1.0)
        return max(0.0, started + delay - clock.monotonic())

    def _record_version(self, listing: objects.Listing) -> None:
        if listing.version < self._version:
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE,
                f"the store returned version {listing.version}, which is "
                f"older than version {self._version} returned before",
            )
        self._version = listing.version

    async def _apply_pointer(self, stored: objects.StoredObject) -> None:
        pointer = config_store.decode_pointer(stored)
        if pointer.generation < self.accepted.generation:
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE,
                f"the store returned generation {pointer.generation}, but "
                f"generation {self.accepted.generation} is in force",
            )
        if pointer.generation == self.accepted.generation:
            return
        accepted = await config_store.read_configuration(
            self.store, stored, self.accepted
        )
        if accepted is None:
            accepted = await config_store.read(self.store, self.accepted)
        self.activate(accepted)

    async def _on_peer_versions(
        self, peer: ids.DaemonId, versions: peer_messages.StateVersions
    ) -> None:
        """Fetch from a peer that has a newer configuration in force."""
        generation = versions.generation
        if generation <= max(self._fetching, self.accepted.generation):
            return
        self._fetching = generation
        await curio.spawn(self._fetch, peer, daemon=True)

    async def _fetch(self, peer: ids.DaemonId) -> None:
        try:
            accepted = await self.propagation.fetch(peer)
            if accepted is not None:
                self.activate(accepted)
        finally:
            self._fetching = self.accepted.generation

    def activate(self, accepted: config_store.AcceptedConfiguration) -> None:
        """Put a configuration in force if it is newer than the present."""
        if accepted.generation <= self.accepted.generation:
            return
        self.accepted = accepted
        self.propagation.on_accepted(accepted)
        self.on_accepted(accepted)
        self.node.update_versions(generation=accepted.generation)
        LOG.info("configuration_in_force", generation=accepted.generation)


@dataclasses.dataclass
class AssignmentFollower:
    """Apply the assignments to the routing table."""

    store: objects.ObjectStore
    node: node_module.Node
    routing_table: table.RoutingTable
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    _fetching: bool = False

    def __post_init__(self) -> None:
        """Create the mirror and subscribe to the state versions of peers."""
        self.mirror = mirror.Mirror(
            groups_model.ASSIGNMENT_KIND, self.node.peers, self._apply
        )
        self.node.add_versions_listener(self._on_peer_versions)

    async def run(self) -> None:
        """Poll while this daemon is a watcher or stale, until cancelled."""
        await self._wait_for_peer_copy()
        retry_delays = backoff.Backoff(self.rng)
        while True:
            stale = self.node.freshness.is_stale(clock.monotonic())
            if not self.node.is_watcher() and not stale:
                retry_delays.reset()
                await curio.sleep(TICK_SECONDS)
                continue
            try:
                await self.mirror.poll(self.store, ASSIGNMENT_WATCH_SECONDS)
                retry_delays.reset()
            except errors.SycamoredaleError as error:
                LOG.info("assignment_poll_failed", reason=error.message)
                await curio.sleep(retry_delays.next_seconds())

    async def _wait_for_peer_copy(self) -> None:
        """Wait briefly for the assignments of a peer.

        A list of the object API shows no deletions, so that peers with an
        older version would have to fetch a snapshot from this daemon.
        """
        deadline = clock.monotonic() + PEER_COPY_WAIT_SECONDS
        while self.mirror.watched_version == objects.ABSENT_VERSION:
            if clock.monotonic() > deadline:
                return
            if self.node.has_confirmed_no_peers():
                return
            await curio.sleep(TICK_SECONDS)

    async def _on_peer_versions(
        self, peer: ids.DaemonId, versions: peer_messages.StateVersions
    ) -> None:
        """Fetch from a peer that has newer assignments."""
        if (
            self._fetching
            or versions.assignments <= self.mirror.watched_version
        ):
            return
        self._fetching = True
        await curio.spawn(self._fetch, peer, daemon=True)

    async def _fetch(self, peer: ids.DaemonId) -> None:
        try:
            await self.mirror.fetch(peer)
        except errors.SycamoredaleError as error:
            LOG.info(
                "assignment_fetch_failed", peer=peer, reason=error.message
            )
        finally:
            self._fetching = False

    def _apply(self, change: mirror.Change) -> None:
        assignments = (
            decoding.decode_json(stored.value, groups_model.Assignment)
            for stored in change.updated
        )
        deleted = (ids.DomainName(name) for name in change.deleted)
        self.routing_table.apply(assignments, deleted)
        self.node.update_versions(assignments=self.mirror.version)


def _find_pointer(listing: objects.Listing) -> objects.StoredObject | None:
    for stored in listing.objects:
        if stored.name == config_model.POINTER_NAME:
            return stored
    return None
