"""Carry the bytes of one connection to an endpoint through a peer.

The connection to the peer is switched from HTTP with `Upgrade`.  Afterwards
the bytes to the endpoint follow as they are, and those of the endpoint in
chunks: only the last chunk shows that the endpoint itself has closed its end.
Without it, an answer that ends with its connection would look complete when
the peer is lost.
"""

import collections.abc
import dataclasses
import typing
from typing import Final

import curio
import h11

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import chunked
from sycamoredale.http import messages
from sycamoredale.http import sockets

PATH: Final = "/links/relay"
PROTOCOL: Final = "relay"
ENDPOINT_HEADER: Final = "X-Endpoint"
LAST_CHUNK: Final = b"0\r\n\r\n"
# The peer has links, and does not reach the endpoint either.
UNREACHABLE_STATUS: Final = 502
# The peer cannot tell: it has no links, or is stopping.
NO_RELAY_STATUS: Final = 503
FORBIDDEN_STATUS: Final = 403
SWITCHING_STATUS: Final = 101


class RelayedSocket:
    """Read and write an endpoint's connection over one to a peer."""

    def __init__(self, sock: typing.Any) -> None:
        """Use a socket on which the peer has switched the protocol."""
        self._sock = sock
        self._reader = chunked.ChunkedReader()

    @property
    def _socket(self) -> typing.Any:
        return self._sock._socket

    def fileno(self) -> int:
        """Return the descriptor of the connection to the peer."""
        return int(self._sock.fileno())

    async def sendall(self, data: bytes) -> None:
        """Send bytes to the endpoint."""
        await self._sock.sendall(data)

    async def receive(self) -> bytes:
        """Return bytes of the endpoint, none after it has closed its end.

        Raises OSError if the peer ended before that.
        """
        while not self._reader.complete:
            data = await sockets.receive(self._sock)
            if not data:
                raise ConnectionResetError("the peer ended the relay")
            try:
                body = self._reader.feed(data)
            except ValueError as error:
                raise ConnectionResetError(str(error)) from error
            if body:
                return body
        return b""

    async def close(self) -> None:
        """Close the connection to the peer."""
        await self._sock.close()


@sockets.receive.register
async def _receive_relayed(sock: RelayedSocket) -> bytes:
    return await sock.receive()


async def request_relay(sock: typing.Any, endpoint: messages.Address) -> int:
    """Ask the peer on a socket to relay; return the status of its answer.

    Raises OSError.
    """
    protocol = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method="GET",
        target=PATH,
        headers=[
            ("Host", "peer"),
            ("Connection", "Upgrade"),
            ("Upgrade", PROTOCOL),
            (ENDPOINT_HEADER, str(endpoint)),
        ],
    )
    data = protocol.send(request) or b""
    await sock.sendall(data + (protocol.send(h11.EndOfMessage()) or b""))
    while True:
        try:
            event = protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise ConnectionResetError(str(error)) from error
        if event is h11.NEED_DATA:
            protocol.receive_data(await sockets.receive(sock))
        elif isinstance(event, h11.InformationalResponse | h11.Response):
            return event.status_code
        else:
            raise ConnectionResetError("the peer gave no answer")


@dataclasses.dataclass(eq=False)
class Relay:
    """Copy bytes between a peer and an endpoint until one of them ends.

    `moved_at` is when bytes last passed in either direction.  `may_begin`
    decides whether another exchange may begin after an answer.
    """

    caller: typing.Any
    endpoint: typing.Any
    moved_at: clock.MonotonicTime
    may_begin: collections.abc.Callable[[], bool] = lambda: True
    _has_answered: bool = False

    async def run(self) -> None:
        """Copy in both directions."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._copy_to_endpoint)
            await group.spawn(self._copy_to_caller)

    async def _copy_to_endpoint(self) -> None:
        # curio logs a task that ends with an exception as crashed.
        try:
            while data := await sockets.receive(self.caller):
                if self._has_answered and not self.may_begin():
                    return
                self._has_answered = False
                self.moved_at = clock.monotonic()
                await self.endpoint.sendall(data)
        except OSError:
            return

    async def _copy_to_caller(self) -> None:
        try:
            while data := await sockets.receive(self.endpoint):
                self._has_answered = True
                self.moved_at = clock.monotonic()
                await self.caller.sendall(chunked.encode_chunk(data))
            await self.caller.sendall(LAST_CHUNK)
        except OSError:
            return


def parse_endpoint(text: str | None) -> messages.Address:
    """Return the address of an endpoint; raise Refusal if it has none."""
    try:
        return messages.parse_address(text or "")
    except ValueError as error:
        raise errors.Refusal(
            error_codes.MALFORMED_REQUEST,
            f"header {ENDPOINT_HEADER} has the value {text!r}, "
            "which is not HOST:PORT",
        ) from error
