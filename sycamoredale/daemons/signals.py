"""Wait for the signals that ask a daemon to stop or to reload.

A signal handler may not touch the event loop.  It writes one byte to a
socket pair, and the loop wakes up from reading the other end.
"""

import collections.abc
import signal
import socket
import types
from typing import Final

import curio.io

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNALS: Final = (signal.SIGHUP,)
RECEIVE_BYTES: Final = 64


class SignalWaiter:
    """Catch some signals from the time that this is built."""

    def __init__(self, signal_numbers: collections.abc.Iterable[int]) -> None:
        """Install the handlers."""
        read_end, self._write_end = socket.socketpair()
        self._read_end = curio.io.Socket(read_end)
        self._write_end.setblocking(False)
        for signal_number in signal_numbers:
            signal.signal(signal_number, self._on_signal)

    async def wait(self) -> None:
        """Return once a signal has arrived since the last time."""
        await self._read_end.recv(RECEIVE_BYTES)

    def _on_signal(
        self, signal_number: int, frame: types.FrameType | None
    ) -> None:
        del signal_number, frame
        try:
            self._write_end.send(b"\0")
        except BlockingIOError:
            pass  # A full buffer holds earlier signals.


class StopSignal(SignalWaiter):
    """Catch the signals that ask a daemon to stop."""

    def __init__(self) -> None:
        """Install the handlers."""
        super().__init__(STOP_SIGNALS)
