"""Run an HTTP server in a thread of the test process."""

import collections.abc
import contextlib
import json
import socket
import threading
import typing

import curio

from sycamoredale.http import exchange as exchange_module
from sycamoredale.http import messages
from sycamoredale.http import request_reader
from sycamoredale.http import server

ID_HEADER = "X-Request-Id"


class RunningServer:
    """Serve in a thread; `/slow` is delayed, any path is echoed."""

    def __init__(self, limits: request_reader.Limits) -> None:
        """Build the server."""
        self.server = server.Server(
            self._handle, limits, ID_HEADER, frozenset(("/healthz",))
        )
        self.address = self.server.bind(messages.Address("127.0.0.1", 0))
        self.handled: list[str] = []
        self.drained: bool | None = None
        self.slow_seconds = 0.4
        self.echoed_id: str | None = None
        self.refuses = False
        self._commands: typing.Any = curio.UniversalQueue()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._commands.put(None)
        self._thread.join(10)

    def drain(self, seconds: float, listen_seconds: float) -> None:
        """Start to drain."""
        self._commands.put((seconds, listen_seconds))

    def connect(self) -> socket.socket:
        """Return a new connection."""
        address = (self.address.host, self.address.port)
        return socket.create_connection(address, timeout=10)

    def _run(self) -> None:
        curio.run(self._main)

    async def _main(self) -> None:
        await self.server.start()
        while command := await self._commands.get():
            self.drained = await self.server.drain(*command)

    async def _handle(self, exchange: exchange_module.Exchange) -> None:
        request = exchange.request
        self.handled.append(request.path)
        if request.path == "/slow":
            await curio.sleep(self.slow_seconds)
        if self.refuses:
            exchange.extra_headers.clear()
            refusal = messages.json_response(503, {"error": "draining"})
            await exchange.respond(refusal)
            return
        if self.echoed_id is not None:
            exchange.extra_headers.append((ID_HEADER, self.echoed_id))
        value = {"path": request.path, "size": len(request.body)}
        await exchange.respond(messages.json_response(200, value))


@contextlib.contextmanager
def running(
    limits: request_reader.Limits = request_reader.Limits(),
) -> collections.abc.Iterator[RunningServer]:
    """Run a server while the block runs."""
    started = RunningServer(limits)
    started.start()
    try:
        yield started
    finally:
        started.stop()


class Client:
    """Send raw bytes and read answers over one connection."""

    def __init__(self, sock: socket.socket) -> None:
        """Use a connected socket."""
        self.sock = sock
        self._file = sock.makefile("rb")

    def send(self, data: bytes) -> None:
        """Send raw bytes."""
        self.sock.sendall(data)

    def answer(self, head_only: bool = False) -> "RawAnswer | None":
        """Return the next answer, or None at the end of the connection."""
        line = self._file.readline()
        if not line:
            return None
        headers: dict[str, str] = {}
        while (field := self._file.readline()) not in (b"\r\n", b""):
            name, _, value = field.decode().partition(":")
            headers[name.lower()] = value.strip()
        size = 0 if head_only else int(headers.get("content-length", 0))
        return RawAnswer(int(line.split()[1]), headers, self._file.read(size))


class RawAnswer(typing.NamedTuple):
    """Represent one received answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def code(self) -> str:
        """Return the error code of a refusal."""
        return str(json.loads(self.body)["error"]["code"])
