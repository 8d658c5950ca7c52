"""Answer each request with a first part, then with bytes that never end.

Run as a process of its own: it writes as fast as the other end reads, which a
task of the reading process could not.
"""

import contextlib
import socket
import subprocess
import sys
import threading
import time
import types
import typing

from sycamoredale.http import messages

RUN_SECONDS: typing.Final = 20.0
BLOCK_BYTES: typing.Final = 65536


class EndlessSource:
    """Run a source in a process; usable as a server of `Site`."""

    def __init__(self, name, first, rest, pause=0.0):
        self.name = name
        self.server = self
        self._process = subprocess.Popen(
            [sys.executable, __file__, first.hex(), rest.hex(), str(pause)],
            stdout=subprocess.PIPE,
            text=True,
        )
        # What `Site` reads to see whether a server can be started.
        self._sock = types.SimpleNamespace(_socket=self._process.stdout)
        port = int(self._process.stdout.readline())
        self.address = messages.Address("127.0.0.1", port)

    async def start(self):
        """Do nothing: the process answers already."""

    def close(self):
        """End the process."""
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()


def _answer(connection, first, rest, pause):
    with contextlib.suppress(OSError), connection:
        if not connection.recv(BLOCK_BYTES):
            return
        connection.sendall(first)
        while True:
            connection.sendall(rest)
            time.sleep(pause)


def main(first, rest, pause):
    """Serve for RUN_SECONDS."""
    first, rest, pause = (
        bytes.fromhex(first),
        bytes.fromhex(rest),
        float(pause),
    )
    if not pause:
        rest *= max(1, BLOCK_BYTES // len(rest))
    listener = socket.create_server(("127.0.0.1", 0), backlog=200)
    listener.settimeout(0.2)
    print(listener.getsockname()[1], flush=True)
    ends_at = time.monotonic() + RUN_SECONDS
    while time.monotonic() < ends_at:
        with contextlib.suppress(TimeoutError):
            connection, _ = listener.accept()
            threading.Thread(
                target=_answer,
                args=(connection, first, rest, pause),
                daemon=True,
            ).start()


if __name__ == "__main__":
    main(*sys.argv[1:])
