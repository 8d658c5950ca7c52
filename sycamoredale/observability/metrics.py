"""Send counters and timers to a statsd daemon over UDP.

Where no statsd address is set the values go nowhere.  Sending never
waits, and a lost packet is not sent again.
"""

import typing
from typing import Final

import statsd

from sycamoredale.http import messages

PREFIX: Final = "sycamoredale"


class Sink(typing.Protocol):
    """Take counters and timers."""

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""

    def time(self, name: str, seconds: float) -> None:
        """Add a time to a timer."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class NullSink:
    """Drop every value."""

    def count(self, name: str, value: int = 1) -> None:
        """Drop a count."""

    def time(self, name: str, seconds: float) -> None:
        """Drop a time."""

    def gauge(self, name: str, value: float) -> None:
        """Drop a gauge."""


class StatsdSink:
    """Send every value in a packet of its own."""

    def __init__(self, address: messages.Address, daemon: str) -> None:
        """Send to an address; names start with the daemon's."""
        prefix = f"{PREFIX}.{daemon}"
        self._client = statsd.StatsClient(
            address.host, address.port, prefix=prefix
        )

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, value)

    def time(self, name: str, seconds: float) -> None:
        """Add a time to a timer."""
        self._client.timing(name, seconds * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)


def create_sink(address: messages.Address | None, daemon: str) -> Sink:
    """Return the sink for an address, or one that drops all values."""
    if address is None:
        return NullSink()
    return StatsdSink(address, daemon)
