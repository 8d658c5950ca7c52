"""Wait for the signals that stop a daemon or reload its settings.

A signal handler must not call into the event loop.  It writes one byte to a
socket pair, whose other end the loop reads.
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
    """Wait for signals, including those received before the wait."""

    def __init__(self, signal_numbers: collections.abc.Iterable[int]) -> None:
        """Install the handlers."""
        read_end, self._write_end = socket.socketpair()
        self._read_end = curio.io.Socket(read_end)
        self._write_end.setblocking(False)
        for signal_number in signal_numbers:
            signal.signal(signal_number, self._on_signal)

    async def wait(self) -> None:
        """Wait until a signal has arrived since the last call."""
        await self._read_end.recv(RECEIVE_BYTES)

    def _on_signal(
        self, signal_number: int, frame: types.FrameType | None
    ) -> None:
        del signal_number, frame
        try:
            self._write_end.send(b"\0")
        except BlockingIOError:
            pass  # A full buffer already wakes the reader.


class StopSignal(SignalWaiter):
    """Wait for the signals that stop a daemon."""

    def __init__(self) -> None:
        """Install the handlers of STOP_SIGNALS."""
        super().__init__(STOP_SIGNALS)
