"""Define the status report that operators request from daemons."""

import msgspec

from sycamoredale import ids
from sycamoredale.membership import freshness

PATH = "/peer/status"


class DaemonStatus(msgspec.Struct, frozen=True):
    """Report the configuration generation and membership of a daemon.

    `age_seconds` is the time since the last sync with the object API, -1 if
    there was none.  `watcher` is whether the daemon polls the object API.
    """

    daemon: ids.DaemonId
    generation: ids.Generation
    standing: freshness.Standing
    age_seconds: float
    daemons_alive: int
    watcher: bool
