"""Apply changes of the platform's objects to the daemon's state."""

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
from sycamoredale.observability import exposition
from sycamoredale.observability import logs
from sycamoredale.platform import instance_decoder
from sycamoredale.platform import manifest

# The platform names the instances "servers" and the manifest "config".
INSTANCE_KIND: Final = "servers"
MANIFEST_KIND: Final = "config"
MANIFEST_NAME: Final = "main"
# Each object of this kind takes the zone of that name out of service.
EVACUATION_KIND: Final = "evacuations"
LOG: Final = logs.get("platform.object_handlers")


@dataclasses.dataclass
class InstanceHandler:
    """Keep the table of instances up to date.

    A malformed entry is no change of its instance, and is logged once.
    """

    table: instance_table.InstanceTable
    metrics: exposition.MetricRegistry = dataclasses.field(
        default_factory=exposition.MetricRegistry
    )
    _malformed_version_by_name: dict[str, ids.ObjectVersion] = (
        dataclasses.field(default_factory=dict)
    )

    def apply(self, seen: objects.Listing, complete: bool) -> None:
        """Apply changed or deleted instances to the table."""
        for name in seen.deleted:
            self._malformed_version_by_name.pop(name, None)
        listed = {ids.InstanceId(item.name) for item in seen.objects}
        for name in seen.deleted:
            LOG.info("instance_gone", instance=name, version=seen.version)
        self.table.apply_listing(
            self._decode(seen, clock.wall()),
            {ids.InstanceId(name) for name in seen.deleted},
            listed if complete else None,
            clock.monotonic(),
        )

    def _decode(
        self, seen: objects.Listing, now: clock.WallTime
    ) -> collections.abc.Iterator[instance_state.Instance]:
        for item in seen.objects:
            try:
                instance = instance_decoder.decode_entry(
                    item.name, item.value, now
                )
            except ValueError as error:
                self._record_malformed(item, str(error))
            else:
                self._malformed_version_by_name.pop(item.name, None)
                yield instance

    def _record_malformed(
        self, item: objects.StoredObject, reason: str
    ) -> None:
        version_by_name = self._malformed_version_by_name
        if version_by_name.get(item.name) == item.version:
            return
        version_by_name[item.name] = item.version
        self.metrics.count("malformed_entries", INSTANCE_KIND)
        LOG.warning("entry_malformed", entry=item.name, reason=reason)


@dataclasses.dataclass
class ManifestHandler:
    """Activate new manifests."""

    routes: route_table.RouteTable
    on_change: instance_table.OnChange

    def apply(self, seen: objects.Listing, complete: bool) -> None:
        """Activate the manifest if the listing has a newer one."""
        for item in seen.objects:
            if item.name != MANIFEST_NAME:
                continue
            try:
                decoded = manifest.decode(item.value)
            except msgspec.DecodeError as error:
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
