"""Apply lists and changes of watched objects to the daemon's state.

How the platform encodes an object is left to functions of its adapter.
"""

import collections.abc
import dataclasses
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import route_table
from sycamoredale import ids
from sycamoredale.object_api import malformed_entries
from sycamoredale.object_api import objects
from sycamoredale.observability import logs

LOG: Final = logs.get("forwarding.object_handlers")

# Decodes the entry of a name at a time; raises ValueError.
DecodeInstance = collections.abc.Callable[
    [str, msgspec.Raw, clock.WallTime], instance_state.Instance
]
# Raises ValueError.
DecodeManifest = collections.abc.Callable[[msgspec.Raw], catalogue.Catalogue]


@dataclasses.dataclass
class InstanceHandler:
    """Keep the table of instances up to date.

    A malformed entry is no change of its instance, and is logged once.
    """

    table: instance_table.InstanceTable
    decode: DecodeInstance
    malformed: malformed_entries.MalformedEntries

    def apply(self, seen: objects.Listing, complete: bool) -> None:
        """Apply changed or deleted instances to the table."""
        listed = {ids.InstanceId(item.name) for item in seen.objects}
        for name in seen.deleted:
            self.malformed.forget(name)
        self.table.apply_listing(
            self._decode_sound(seen, clock.wall()),
            {ids.InstanceId(name) for name in seen.deleted},
            listed if complete else None,
            clock.monotonic(),
        )
        for name in seen.deleted:
            LOG.info("instance_gone", instance=name, version=seen.version)

    def _decode_sound(
        self, seen: objects.Listing, now: clock.WallTime
    ) -> collections.abc.Iterator[instance_state.Instance]:
        for item in seen.objects:
            try:
                instance = self.decode(item.name, item.value, now)
            except ValueError as error:
                self.malformed.record(item, str(error))
            else:
                self.malformed.forget(item.name)
                yield instance


@dataclasses.dataclass
class ManifestHandler:
    """Activate newer versions of the manifest, the object of one name."""

    routes: route_table.RouteTable
    name: str
    decode: DecodeManifest
    on_change: instance_table.OnChange

    def apply(self, seen: objects.Listing, complete: bool) -> None:
        """Activate the manifest if the listing has a newer one."""
        for item in seen.objects:
            if item.name != self.name:
                continue
            try:
                decoded = self.decode(item.value)
            except ValueError as error:
                LOG.error("manifest_malformed", reason=str(error))
                continue
            if self.routes.activate(decoded):
                LOG.info(
                    "config_in_force",
                    config=decoded.version,
                    object_version=item.version,
                )
                self.on_change()


@dataclasses.dataclass
class EvacuationHandler:
    """Track the zones that operators have taken out of service."""

    on_change: instance_table.OnChange
    zones_out: frozenset[ids.ZoneName] = frozenset()

    def apply(self, seen: objects.Listing, complete: bool) -> None:
        """Update the set of zones that are out of service."""
        listed = {ids.ZoneName(item.name) for item in seen.objects}
        ended = {ids.ZoneName(name) for name in seen.deleted}
        zones = (frozenset() if complete else self.zones_out - ended) | listed
        if zones != self.zones_out:
            self.zones_out = zones
            LOG.info("zones_out", zones=sorted(zones), version=seen.version)
            self.on_change()
