"""Wait for the signal that asks a daemon to stop.

A signal handler may not touch the event loop.  It writes one byte to a
socket pair, and the loop wakes up from reading the other end.
"""

import signal
import socket
import types
from typing import Final

import curio.io

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Catch the stop signals from the time that this is built."""

    def __init__(self) -> None:
        """Install the handlers."""
        reader, self._writer = socket.socketpair()
        self._reader = curio.io.Socket(reader)
        self._writer.setblocking(False)
        for number in STOP_SIGNALS:
            signal.signal(number, self._on_signal)

    async def wait(self) -> None:
        """Return once a stop signal has arrived."""
        await self._reader.recv(1)

    def _on_signal(self, number: int, frame: types.FrameType | None) -> None:
        del number, frame
        try:
            self._writer.send(b"\0")
        except BlockingIOError:
            pass  # A full buffer holds earlier signals.
