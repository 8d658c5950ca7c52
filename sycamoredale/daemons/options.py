"""Define the options of routers and controllers.

They do not depend on the command line.
"""

import collections.abc
import dataclasses

from sycamoredale.daemons import settings
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.object_api import budget

TextByName = collections.abc.Mapping[str, str | None]


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonOptions:
    """List the options that routers and controllers have in common."""

    daemon: ids.DaemonId
    zone: ids.ZoneName
    platform: messages.Address
    statsd: messages.Address | None
    log_level: str
    peer_listen: messages.Address
    seeds: tuple[messages.Address, ...] = ()
    peer_advertise: messages.Address | None = None
    reads_per_second: float = budget.READS_PER_SECOND
    writes_per_second: float = budget.WRITES_PER_SECOND


@dataclasses.dataclass(frozen=True, slots=True)
class RouterOptions:
    """List the options of a router."""

    common: DaemonOptions
    listen: messages.Address
    drain_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ControllerOptions:
    """List the options of a controller."""

    common: DaemonOptions
    interval_seconds: float


def read_router(text_by_name: TextByName) -> RouterOptions:
    """Parse the options of a router; raise InvalidSettings."""
    reader = settings.SettingsReader(text_by_name)
    options = RouterOptions(
        common=_read_common(reader),
        listen=reader.address("listen"),
        drain_seconds=reader.positive_number("drain-seconds"),
    )
    reader.raise_findings()
    return options


def read_controller(text_by_name: TextByName) -> ControllerOptions:
    """Parse the options of a controller; raise InvalidSettings."""
    reader = settings.SettingsReader(text_by_name)
    options = ControllerOptions(
        common=_read_common(reader),
        interval_seconds=reader.positive_number("interval-seconds"),
    )
    reader.raise_findings()
    return options


def _read_common(reader: settings.SettingsReader) -> DaemonOptions:
    return DaemonOptions(
        daemon=ids.DaemonId(reader.name("daemon-id")),
        zone=ids.ZoneName(reader.name("zone")),
        platform=reader.address("platform"),
        statsd=reader.optional_address("statsd"),
        log_level=reader.log_level("log-level"),
        peer_listen=reader.address("peer-listen"),
        seeds=reader.addresses("seeds"),
        peer_advertise=reader.optional_address("peer-advertise"),
        reads_per_second=reader.positive_number("platform-reads-per-second"),
        writes_per_second=reader.positive_number("platform-writes-per-second"),
    )
