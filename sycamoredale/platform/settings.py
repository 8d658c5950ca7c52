"""Read the settings file that the platform writes for each process.

Lines have the form `a.b=value`.  Unknown names are ignored, because the
platform may add some.  All errors are reported together.
"""

import dataclasses
import os
import pathlib
from typing import Final

from sycamoredale.daemons import line_settings
from sycamoredale.forwarding import operator_bounds
from sycamoredale.http import messages
from sycamoredale import ids

PATH_VARIABLE: Final = "SYCAMOREDALE_SETTINGS"
DEFAULT_PATH: Final = "/etc/sycamoredale/boot.conf"


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Configure one process."""

    daemon: ids.DaemonId
    zone: ids.ZoneName
    caller_address: messages.Address
    readiness_address: messages.Address
    store_address: messages.Address
    peer_ports: tuple[int, int]
    max_file_descriptors: int
    memory_mb: float
    cores: float
    first_start: bool
    limits_engine_memory: bool
    bounds: operator_bounds.OperatorBounds


def path() -> pathlib.Path:
    """Return the path of the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read(text: str) -> ProcessSettings:
    """Parse the text of a settings file; raise InvalidSettings."""
    reader = line_settings.LineSettingsReader(line_settings.parse(text))
    number = reader.non_negative_number
    seconds = reader.seconds
    found = ProcessSettings(
        daemon=ids.DaemonId(reader.name("node_name")),
        zone=ids.ZoneName(reader.name("zone")),
        caller_address=reader.address("listen.front"),
        readiness_address=reader.address("listen.readiness"),
        store_address=reader.address("platform.addr"),
        peer_ports=reader.ports("internal_ports"),
        max_file_descriptors=int(number("limits.max_fds", 1024)),
        memory_mb=number("limits.memory_mb", 300.0),
        cores=number("limits.cpu_share", 1.0) * number("limits.cores", 1.0),
        # Set only at the first start of the whole system.
        first_start=reader.text_by_name.get("bootstrap") == "true",
        # Instances crash if their requests exceed their memory.
        limits_engine_memory="pressure" in reader.names("contracts"),
        bounds=operator_bounds.OperatorBounds(
            grace_seconds=number("bounds.grace_s", 8.0),
            drain_seconds=seconds("bounds.drain_ms", 2000.0),
            configuration_seconds=seconds("bounds.config_apply_ms", 2000.0),
            evacuation_seconds=seconds("bounds.evacuate_ms", 5000.0),
            stall_seconds=seconds("bounds.stall_ms", 5000.0),
            retry_ratio=number("bounds.retry_budget_ratio", 0.1),
            retry_window_seconds=number("bounds.budget_window_s", 10.0),
            retry_burst=number("bounds.budget_burst", 10.0),
            cold_factor=number("bounds.cold_overage_factor", 1.0),
            cold_burst=number("bounds.warmup_burst", 0.0),
            load_window_seconds=number("bounds.ceiling_window_s", 5.0),
            contact_seconds=seconds("bounds.contact_ms", 3000.0),
        ),
    )
    reader.raise_findings()
    return found
