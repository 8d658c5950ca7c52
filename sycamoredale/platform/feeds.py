"""Decode what followers see of the platform's kinds of objects."""

import collections.abc
import dataclasses
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import route_table
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.observability import logs
from sycamoredale.platform import entries
from sycamoredale.platform import manifest

# The platform's "servers" are instances, "config" is the manifest.
INSTANCES: Final = "servers"
MANIFEST: Final = "config"
MANIFEST_NAME: Final = "main"
# An object of this kind takes the zone of its name out of service.
EVACUATIONS: Final = "evacuations"
LOG: Final = logs.get("platform.feeds")


@dataclasses.dataclass
class InstanceFeed:
    """Fill the book of instances."""

    book: instance_table.InstanceTable

    def take(self, seen: objects.Listing, complete: bool) -> None:
        """Take over the instances that were seen."""
        named = {ids.InstanceId(stored.name) for stored in seen.objects}
        for name in seen.deleted:
            LOG.info("instance_gone", instance=name, version=seen.version)
        self.book.apply_listing(
            _instances(seen),
            {ids.InstanceId(name) for name in seen.deleted},
            named if complete else None,
            clock.monotonic(),
        )


def _instances(
    seen: objects.Listing,
) -> collections.abc.Iterator[instance_state.Instance]:
    for stored in seen.objects:
        try:
            yield entries.decode_entry(stored.name, stored.value)
        except (msgspec.DecodeError, ValueError) as error:
            LOG.warning(
                "entry_malformed", entry=stored.name, reason=str(error)
            )


@dataclasses.dataclass
class ManifestFeed:
    """Put new manifests in force."""

    routes: route_table.RouteTable
    on_change: instance_table.OnChange

    def take(self, seen: objects.Listing, complete: bool) -> None:
        """Take over the newest manifest among what was seen."""
        for stored in seen.objects:
            if stored.name != MANIFEST_NAME:
                continue
            try:
                found = manifest.decode(stored.value)
            except msgspec.DecodeError as error:
                LOG.error("manifest_malformed", reason=str(error))
                continue
            if self.routes.activate(found):
                LOG.info(
                    "config_in_force",
                    config=found.version,
                    object_version=stored.version,
                )
                self.on_change()


@dataclasses.dataclass
class EvacuationFeed:
    """Hold the zones that operators have taken out of service."""

    on_change: instance_table.OnChange
    zones_out: frozenset[ids.ZoneName] = frozenset()

    def take(self, seen: objects.Listing, complete: bool) -> None:
        """Take over which zones are out."""
        named = {ids.ZoneName(stored.name) for stored in seen.objects}
        ended = {ids.ZoneName(name) for name in seen.deleted}
        zones = (frozenset() if complete else self.zones_out - ended) | named
        if zones != self.zones_out:
            self.zones_out = zones
            LOG.info("zones_out", zones=sorted(zones), version=seen.version)
            self.on_change()
