"""Read the settings file that the platform writes for each process.

Lines have the form `a.b=value`.  Unknown names are ignored, since the
platform may add some; all findings are reported together.
"""

import collections.abc
import dataclasses
import os
import pathlib
from typing import Final

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import messages
from sycamoredale import ids

PATH_VARIABLE: Final = "SYCAMOREDALE_SETTINGS"
DEFAULT_PATH: Final = "/etc/sycamoredale/boot.conf"


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the bounds that operators set, in seconds unless named.

    A leaving instance gets no new request later than `drain`; a stopped
    process is killed after `grace`; a head that lost a member is broken
    after `stall`.  Further sends are at most `retry_ratio` of the requests
    of a window and `retry_burst` more.  Loads are counted in a window.
    """

    drain: float
    grace: float
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
    host: str
    callers: messages.Address
    readiness: messages.Address
    store: messages.Address
    peer_ports: tuple[int, int]
    heartbeat_seconds: float
    file_descriptors: int
    first_start: bool
    bounds: Bounds


def path() -> pathlib.Path:
    """Return the place of the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read(text: str) -> ProcessSettings:
    """Return the settings in a text; raise Refusal with all findings."""
    reader = _Reader(_lines(text))
    settings = ProcessSettings(
        daemon=ids.DaemonId(reader.text("node_name")),
        zone=ids.ZoneName(reader.text("zone")),
        host=reader.text("ip"),
        callers=reader.address("listen.front"),
        readiness=reader.address("listen.readiness"),
        store=reader.address("platform.addr"),
        peer_ports=reader.ports("internal_ports"),
        heartbeat_seconds=reader.number("heartbeat_ms", 1200.0) / 1000,
        file_descriptors=int(reader.number("limits.max_fds", 1024)),
        # True only when the whole system starts for the first time.
        first_start=reader.flag("bootstrap"),
        bounds=_bounds(reader),
    )
    if reader.findings:
        raise errors.Refusal(
            error_codes.INVALID_SETTINGS, "; ".join(reader.findings)
        )
    return settings


def _bounds(reader: "_Reader") -> Bounds:
    return Bounds(
        drain=reader.number("bounds.drain_ms", 2000.0) / 1000,
        grace=reader.number("bounds.grace_s", 8.0),
        stall=reader.number("bounds.stall_ms", 5000.0) / 1000,
        retry_ratio=reader.number("bounds.retry_budget_ratio", 0.1),
        retry_window=reader.number("bounds.budget_window_s", 10.0),
        retry_burst=reader.number("bounds.budget_burst", 10.0),
        cold_factor=reader.number("bounds.cold_overage_factor", 1.0),
        cold_burst=reader.number("bounds.warmup_burst", 0.0),
        load_window=reader.number("bounds.ceiling_window_s", 5.0),
    )


def _lines(text: str) -> dict[str, str]:
    pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
    return {name.strip(): value.strip() for name, _, value in pairs}


class _Reader:
    """Read typed values and collect what is wrong with them."""

    def __init__(self, value_by_name: collections.abc.Mapping[str, str]):
        self._value_by_name = value_by_name
        self.findings: list[str] = []

    def text(self, name: str) -> str:
        """Return a value that must be there."""
        value = self._value_by_name.get(name, "")
        if not value:
            self.findings.append(f"setting {name!r} is missing")
        return value

    def flag(self, name: str) -> bool:
        """Return whether a setting is true; it is not if it is absent."""
        return self._value_by_name.get(name, "").lower() == "true"

    def number(self, name: str, default: float) -> float:
        """Return a number of at least 0, or the default if it is absent."""
        text = self._value_by_name.get(name, "")
        if not text:
            return default
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0 <= value < float("inf"):
            self.findings.append(
                f"setting {name!r} has the value {text!r}, "
                "which is no number of at least 0"
            )
            return default
        return value

    def address(self, name: str) -> messages.Address:
        """Return an address that must be there."""
        text = self.text(name)
        try:
            return messages.parse_address(text)
        except ValueError as error:
            if text:
                self.findings.append(f"setting {name!r}: {error}")
            return messages.Address("", 0)

    def ports(self, name: str) -> tuple[int, int]:
        """Return the first and the last port of a range."""
        first, _, last = self.text(name).partition(",")
        if not first.isdigit() or not last.isdigit():
            self.findings.append(f"setting {name!r} is no range of ports")
            return (0, 0)
        return int(first), int(last)
