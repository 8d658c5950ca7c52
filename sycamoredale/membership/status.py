"""Report what a daemon has in force, for operators."""

import msgspec

from sycamoredale import ids
from sycamoredale.membership import freshness

PATH = "/peer/status"


class DaemonStatus(msgspec.Struct, frozen=True):
    """Hold the report; `age_seconds` is negative without any contact."""

    daemon: ids.DaemonId
    generation: ids.Generation
    standing: freshness.Standing
    age_seconds: float
    daemons_alive: int
    watcher: bool
