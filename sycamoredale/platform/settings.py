"""Read the settings file that the platform writes for each process.

Lines have the form `a.b=value`.  Unknown names are ignored, since the
platform may add some; all findings are reported together.
"""

import dataclasses
import os
import pathlib
from typing import Final

from sycamoredale.daemons import settings
from sycamoredale.http import messages
from sycamoredale import ids

PATH_VARIABLE: Final = "SYCAMOREDALE_SETTINGS"
DEFAULT_PATH: Final = "/etc/sycamoredale/boot.conf"


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the bounds that operators set, in seconds unless named.

    A stopped process is killed after `grace`; a leaving instance gets no
    request after `drain`; a head that lost a member breaks after `stall`.
    Further sends are at most `retry_ratio` of the requests of a window and
    `retry_burst` more.
    """

    grace: float
    drain: float
    stall: float
    retry_ratio: float
    retry_window: float
    retry_burst: float
    cold_factor: float
    cold_burst: float
    load_window: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Hold the settings of one process."""

    daemon: ids.DaemonId
    zone: ids.ZoneName
    callers: messages.Address
    readiness: messages.Address
    store: messages.Address
    peer_ports: tuple[int, int]
    file_descriptors: int
    first_start: bool
    bounds: Bounds


def path() -> pathlib.Path:
    """Return the place of the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read(text: str) -> ProcessSettings:
    """Return the settings in a text; raise InvalidSettings."""
    reader = _LineReader(_lines(text))
    found = ProcessSettings(
        daemon=ids.DaemonId(reader.name("node_name")),
        zone=ids.ZoneName(reader.name("zone")),
        callers=reader.address("listen.front"),
        readiness=reader.address("listen.readiness"),
        store=reader.address("platform.addr"),
        peer_ports=reader.ports("internal_ports"),
        file_descriptors=int(
            reader.non_negative_number("limits.max_fds", 1024)
        ),
        # True only when the whole system starts for the first time.
        first_start=reader.text_by_name.get("bootstrap") == "true",
        bounds=_bounds(reader),
    )
    reader.raise_findings()
    return found


def _bounds(reader: "_LineReader") -> Bounds:
    return Bounds(
        grace=reader.non_negative_number("bounds.grace_s", 8.0),
        drain=reader.non_negative_number("bounds.drain_ms", 2000.0) / 1000,
        stall=reader.non_negative_number("bounds.stall_ms", 5000.0) / 1000,
        retry_ratio=reader.non_negative_number(
            "bounds.retry_budget_ratio", 0.1
        ),
        retry_window=reader.non_negative_number(
            "bounds.budget_window_s", 10.0
        ),
        retry_burst=reader.non_negative_number("bounds.budget_burst", 10.0),
        cold_factor=reader.non_negative_number(
            "bounds.cold_overage_factor", 1.0
        ),
        cold_burst=reader.non_negative_number("bounds.warmup_burst", 0.0),
        load_window=reader.non_negative_number("bounds.ceiling_window_s", 5.0),
    )


def _lines(text: str) -> dict[str, str | None]:
    pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
    return {name.strip(): value.strip() for name, _, value in pairs}


class _LineReader(settings.SettingsReader):
    """Read values by the names of the platform's lines."""

    def describe(self, setting: str) -> str:
        """Return the line of a setting."""
        return f"line {setting}="

    def ports(self, setting: str) -> tuple[int, int]:
        """Return the first and the last port of a range."""
        first, _, last = self._required(setting).partition(",")
        if first.isdigit() and last.isdigit():
            return int(first), int(last)
        self._report(setting, f"{first!r} to {last!r} is no range of ports")
        return (0, 0)
