"""Follow the configuration and the assignments in the object API.

Followers go on with the last state that they have seen while the object
API is down, and never go back to an older one.
"""

import collections.abc
import dataclasses
from typing import Final

import curio
import msgspec

from sycamoredale.config import model as config_model
from sycamoredale.config import store as config_store
from sycamoredale import errors
from sycamoredale.groups import model as groups_model
from sycamoredale import ids
from sycamoredale.observability import logs
from sycamoredale.platform import objects
from sycamoredale.routing import table

WATCH_SECONDS: Final = 10.0
RETRY_SECONDS: Final = 0.5
LOG: Final = logs.get("followers")

OnAccepted = collections.abc.Callable[[config_store.Accepted], None]


@dataclasses.dataclass
class ConfigurationFollower:
    """Keep the newest configuration in force."""

    store: objects.ObjectStore
    on_accepted: OnAccepted
    accepted: config_store.Accepted = config_store.NOTHING_ACCEPTED

    async def run(self) -> None:
        """Follow for ever."""
        version = objects.ABSENT
        while True:
            try:
                accepted = await config_store.read(self.store)
                self.adopt(accepted)
                version = max(version, accepted.version)
                listing = await self.store.watch(
                    config_model.KIND, version, WATCH_SECONDS
                )
                version = max(version, listing.version)
            except errors.StoreUnavailable as error:
                LOG.warning("store_unavailable", reason=error.message)
                await curio.sleep(RETRY_SECONDS)

    def adopt(self, accepted: config_store.Accepted) -> None:
        """Put a configuration in force if it is newer."""
        if accepted.generation <= self.accepted.generation:
            return
        self.accepted = accepted
        self.on_accepted(accepted)
        LOG.info("configuration_in_force", generation=accepted.generation)


@dataclasses.dataclass
class AssignmentFollower:
    """Keep the routing table up to date with the assignments."""

    store: objects.ObjectStore
    routing_table: table.RoutingTable

    async def run(self) -> None:
        """Follow for ever."""
        version = objects.ABSENT
        while True:
            try:
                listing = await self._next(version)
                version = max(version, listing.version)
                self._apply(listing)
            except errors.StoreUnavailable as error:
                LOG.warning("store_unavailable", reason=error.message)
                await curio.sleep(RETRY_SECONDS)

    async def _next(self, version: ids.ObjectVersion) -> objects.Listing:
        kind = groups_model.ASSIGNMENT_KIND
        if version == objects.ABSENT:
            return await self.store.list(kind)
        return await self.store.watch(kind, version, WATCH_SECONDS)

    def _apply(self, listing: objects.Listing) -> None:
        for stored in listing.objects:
            assignment = msgspec.json.decode(
                stored.value, type=groups_model.Assignment
            )
            self.routing_table.apply_assignment(assignment)
