"""Send metrics to a statsd server over UDP.

Without a statsd address all values are discarded. Sending doesn't block, and
lost packets are not resent.
"""

import typing
from typing import Final

import statsd

from sycamoredale.http import messages

PREFIX: Final = "sycamoredale"


class Sink(typing.Protocol):
    """Receive counters, timers and gauges."""

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""

    def time(self, name: str, seconds: float) -> None:
        """Add a time to a timer."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class NullSink:
    """Discard all values."""

    def count(self, name: str, value: int = 1) -> None:
        """Discard a count."""

    def time(self, name: str, seconds: float) -> None:
        """Discard a time."""

    def gauge(self, name: str, value: float) -> None:
        """Discard a gauge."""


class StatsdSink:
    """Send each value to a statsd server in its own packet."""

    def __init__(self, address: messages.Address, daemon: str) -> None:
        """Create a client; the daemon's name is a prefix of all names."""
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
    """Return a sink for an address, or a null sink if there is none."""
    if address is None:
        return NullSink()
    return StatsdSink(address, daemon)
