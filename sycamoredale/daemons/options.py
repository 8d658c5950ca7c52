"""Hold the settings of the daemons, apart from the command line."""

import dataclasses

from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.platform import budget


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonOptions:
    """Hold what both daemons need."""

    daemon: ids.DaemonId
    zone: ids.ZoneName
    platform: messages.Address
    statsd: messages.Address | None
    log_level: str
    peer_listen: messages.Address
    seeds: tuple[messages.Address, ...] = ()
    reads_per_second: float = budget.READS_PER_SECOND
    writes_per_second: float = budget.WRITES_PER_SECOND


@dataclasses.dataclass(frozen=True, slots=True)
class RouterOptions:
    """Hold the settings of a router."""

    common: DaemonOptions
    listen: messages.Address
    drain_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ControllerOptions:
    """Hold the settings of a controller."""

    common: DaemonOptions
    interval_seconds: float
