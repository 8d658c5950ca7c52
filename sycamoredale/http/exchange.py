"""Represent one request of a caller and write its answer."""

import collections.abc
import typing
from typing import Final

import curio
import h11

from sycamoredale import clock
from sycamoredale.http import chunked
from sycamoredale.http import messages
from sycamoredale.http import sockets

MAX_BUFFERED_BYTES: Final = 65536
NO_BODY_STATUSES: Final = frozenset((204, 304))
CHUNKED_HEADER: Final = b"transfer-encoding: chunked"


class CallerDisconnected(Exception):
    """Signal that the caller's connection has ended or broken."""


class Exchange:
    """Represent one request and write its answer.

    Each write raises CallerDisconnected if the caller's connection is broken.
    `extra_headers` are added to the headers of every answer.  `intact` is
    false during a write and stays false if the write is interrupted; nothing
    may be written after that.  `closes_connection` is true if the answer
    announced the end of the connection to the caller.  `disconnect_reason`
    says how the caller's connection ended, if it is known to have ended.
    """

    def __init__(
        self,
        request: messages.Request,
        connection: h11.Connection,
        sock: typing.Any,
        is_draining: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        """Associate a request with the connection that received it."""
        self.request: Final = request
        self.request_id = ""
        self.extra_headers: list[tuple[str, str]] = []
        self.started = False
        self.first_byte_at: clock.MonotonicTime | None = None
        self.finished = False
        self.intact = True
        self.closes_connection = False
        self.disconnect_reason: str | None = None
        self._chunked = False
        self._connection = connection
        self._sock = sock
        self._is_draining = is_draining

    @property
    def remote_host(self) -> str:
        """Return the IP address of the sender of the request."""
        return str(self._sock.getpeername()[0])

    async def switch_protocol(self, protocol: str) -> typing.Any:
        """Accept an upgrade and return the socket, to be used directly.

        The connection is closed when the exchange ends.
        """
        fields = [("Connection", "Upgrade"), ("Upgrade", protocol)]
        event = h11.InformationalResponse(status_code=101, headers=fields)
        self._begin()
        await self._send(self._connection.send(event) or b"")
        return self._sock

    async def respond(self, response: messages.Response) -> None:
        """Write a complete answer."""
        headers = self._headers(_with_length(response, self.request.method))
        head = h11.Response(status_code=response.status, headers=headers)
        self._begin()
        sent_head = self._connection.send(head) or b""
        body = b""
        if response.body and self.request.method != "HEAD":
            body = self._connection.send(h11.Data(data=response.body)) or b""
        # With a length, h11 ends the body with nothing.
        end = self._connection.send(h11.EndOfMessage()) or b""
        await self._send(sent_head, body + end if end else body)
        self.finished = True

    async def start(self, head: messages.ResponseHead) -> None:
        """Write the head of a streamed answer."""
        event = h11.Response(
            status_code=head.status, headers=self._headers(head.headers)
        )
        self._begin()
        sent = self._connection.send(event) or b""
        self._chunked = CHUNKED_HEADER in sent.lower()
        await self._send(sent)

    async def write(self, data: bytes) -> None:
        """Write a part of the body of a streamed answer."""
        if not data:
            return
        if self._chunked:
            await self._send(chunked.encode_chunk(data))
        else:
            event = h11.Data(data=data)
            await self._send(self._connection.send(event) or b"")

    async def finish(self) -> None:
        """Write the end of a streamed answer."""
        await self._send(self._connection.send(h11.EndOfMessage()) or b"")
        self.finished = True

    async def wait_for_disconnect(self) -> None:
        """Return when the caller has closed its side.

        Reads at most MAX_BUFFERED_BYTES during the answer.  If the caller
        sends more, a disconnect is detected only by the next write.
        """
        buffered = 0
        while buffered < MAX_BUFFERED_BYTES:
            try:
                data = await sockets.receive(self._sock)
            except OSError as error:
                self.disconnect_reason = str(error)
                return
            if not data:
                self.disconnect_reason = "closed by the caller"
                return
            buffered += len(data)
            self._connection.receive_data(data)
        await _wait_forever()

    def _begin(self) -> None:
        self.started = True
        self.first_byte_at = clock.monotonic()

    async def _send(self, data: bytes, body: bytes = b"") -> None:
        if not self.intact:
            raise CallerDisconnected("an earlier write was interrupted")
        self.intact = False
        try:
            if body:
                await sockets.send_all(self._sock, data, body)
            else:
                await self._sock.sendall(data)
        except OSError as error:
            self.disconnect_reason = str(error)
            raise CallerDisconnected(str(error)) from error
        self.intact = True

    def _headers(self, headers: messages.Headers) -> list[tuple[bytes, bytes]]:
        for name, value in self.extra_headers:
            headers = headers.with_field(name, value)
        # Decided with the head: without `Connection: close` in it, the caller
        # may send another request on the connection.
        self.closes_connection = self._is_draining()
        if self.closes_connection:
            headers = headers.with_field("Connection", "close")
        return encode_headers(headers)


def encode_headers(headers: messages.Headers) -> list[tuple[bytes, bytes]]:
    """Encode header fields as bytes."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.fields
    ]


def decode_headers(
    fields: typing.Iterable[tuple[bytes, bytes]],
) -> messages.Headers:
    """Decode header fields from bytes."""
    return messages.Headers(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in fields
    )


def _with_length(response: messages.Response, method: str) -> messages.Headers:
    headers = response.headers
    if response.status in NO_BODY_STATUSES:
        return headers.without({"content-length"})
    if method == "HEAD" and headers.get("Content-Length") is not None:
        return headers
    return headers.with_field("Content-Length", str(len(response.body)))


async def _wait_forever() -> None:
    await curio.Event().wait()
