"""Make HTTP/1.1 requests over pooled connections.

A connection returns to the pool only after a complete exchange.  Otherwise it
is closed, so that a late answer to an abandoned request is never read as the
answer to the next one.
"""

import collections.abc
import dataclasses
import errno
import sys
import typing
from typing import Final
import weakref

import curio
import curio.socket
import h11

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import chunked
from sycamoredale.http import held_bytes
from sycamoredale.http import messages
from sycamoredale.http import sockets
from sycamoredale import ids
from sycamoredale import loop_delays

# What this machine lacks for a connection: descriptors, memory or ports.
LOCAL_ERROR_NUMBERS: Final = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
    )
)
MAX_IDLE_PER_ADDRESS: Final = 32
CONNECT_TIMEOUT_SECONDS: Final = 2.0
MAX_INTERIM_ANSWERS: Final = 16
# RFC 9110, section 15: others are invalid and show a failure of the server.
FINAL_STATUSES: Final = range(200, 600)
MAX_BODY_BYTES: Final = 16 * 1024 * 1024
# Chunks cost processor time each; those of 32 bytes have this much framing.
MAX_FRAMING_SHARE: Final = 0.25
# Of bytes that may be mostly framing, so many are parsed in one turn of the
# event loop: each connection has a turn before a sound call gets its next.
TURN_BYTES: Final = 1024


class Connection:
    """Exchange requests and responses over one socket, one at a time."""

    def __init__(
        self,
        address: messages.Address,
        sock: typing.Any,
        relayed_by: ids.DaemonId | None = None,
    ) -> None:
        """Use a connected socket, of a peer if the connection is relayed."""
        self.address: Final = address
        self.relayed_by: Final = relayed_by
        self.on_close: collections.abc.Callable[[Connection], None] = (
            lambda connection: None
        )
        self._aborted = False
        self.reused = False
        self._ended = False
        self._chunks: chunked.ChunkedReader | None = None
        self._received = b""
        self._moved_bytes = 0
        self._framing_bytes = 0
        self._turn_bytes = TURN_BYTES
        self._has_small_chunks = False
        self._sock = sock
        self._connection = h11.Connection(h11.CLIENT)

    async def send(self, request: messages.Request) -> None:
        """Write a request; raise ConnectionBroken."""
        headers = request.headers
        if headers.get("Host") is None:
            headers = headers.with_field("Host", str(self.address))
        headers = headers.with_field("Content-Length", str(len(request.body)))
        event = h11.Request(
            method=request.method,
            target=request.target,
            headers=headers.fields,
        )
        # With a length, h11 passes the body through and ends it with nothing.
        head = self._connection.send(event) or b""
        body = self._connection.send(h11.Data(data=request.body)) or b""
        self._connection.send(h11.EndOfMessage())
        self._moved_bytes += len(head) + len(body)
        try:
            await sockets.send_all(self._sock, head, body)
        except OSError as error:
            raise self._broken(str(error)) from error

    async def read_head(self) -> messages.ResponseHead:
        """Read the head of the response; raise ConnectionBroken."""
        event = await self._next_event()
        for _ in range(MAX_INTERIM_ANSWERS):
            if not isinstance(event, h11.InformationalResponse):
                break
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise self._broken("the response has no final head")
        if event.status_code not in FINAL_STATUSES:
            raise self._broken(f"status {event.status_code} is invalid")
        headers = messages.Headers(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers
        )
        if _is_chunked(headers):
            self._chunks = chunked.ChunkedReader()
            self._received = self._connection.trailing_data[0]
            self._framing_bytes = 0
            self._turn_bytes = TURN_BYTES
            self._has_small_chunks = False
        return messages.ResponseHead(event.status_code, headers)

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body, or none at its end.

        Raises ConnectionBroken.
        """
        if self._ended:
            return b""
        if self._chunks is not None:
            return await self._read_chunked(self._chunks)
        event = await self._next_event()
        parts: list[bytes] = []
        while isinstance(event, h11.Data):
            parts.append(event.data)
            event = self._next_received_event()
        if isinstance(event, h11.EndOfMessage):
            self._ended = True
        elif event is not h11.NEED_DATA:
            raise self._broken("the response is incomplete")
        return b"".join(parts)

    async def _read_chunked(self, chunks: chunked.ChunkedReader) -> bytes:
        data = b""
        while not data and not chunks.complete:
            # The rest is kept here, since a read may be cancelled while it
            # waits.
            if not self._received:
                self._received = await self._receive()
            elif self._has_small_chunks:
                await sockets.give_way()
            arrived = self._received
            if not arrived:
                raise self._broken("the response is incomplete")
            if len(arrived) > self._turn_bytes:
                arrived = arrived[: self._turn_bytes]
                self._received = self._received[self._turn_bytes :]
            else:
                self._received = b""
            try:
                data = chunks.feed(arrived)
            except ValueError as error:
                raise self._broken(str(error)) from error
            framing_bytes = len(arrived) - len(data)
            self._framing_bytes += framing_bytes
            # A few small chunks, as of one event each, cost little.
            if len(arrived) >= TURN_BYTES:
                self._choose_turn(framing_bytes / len(arrived))
        self._ended = chunks.complete
        return data

    def _choose_turn(self, framing_share: float) -> None:
        self._has_small_chunks = framing_share > MAX_FRAMING_SHARE
        self._turn_bytes = (
            TURN_BYTES if self._has_small_chunks else sockets.RECEIVE_BYTES
        )

    async def read_body(
        self,
        max_bytes: int = MAX_BODY_BYTES,
        reservation: held_bytes.Reservation | None = None,
    ) -> bytes:
        """Read the rest of the body; raise ConnectionBroken.

        The body is held in the reservation, and is broken if denied.
        """
        body = bytearray()
        while True:
            part = await self.read_chunk()
            if not part:
                return bytes(body)
            size = len(body) + len(part)
            if size > max_bytes:
                raise self._broken(f"the body exceeds {max_bytes} bytes")
            if self._framing_bytes > max_bytes * MAX_FRAMING_SHARE:
                raise self._broken("the chunks of the body are too small")
            if reservation is not None and not reservation.resize(size):
                raise errors.AnswerNotHeld(str(self.address))
            body += part

    def finish_cycle(self) -> bool:
        """Prepare for another request; return whether that is possible."""
        if self._connection.our_state is not h11.DONE:
            return False
        if self._chunks is not None:
            if not self._ended or self._chunks.remainder or self._received:
                return False
            # h11 did not receive the body and needs a new state.
            self._connection = h11.Connection(h11.CLIENT)
            self._chunks = None
        elif self._connection.their_state is h11.DONE:
            # Bytes after the answer belong to no request.
            if self._connection.trailing_data[0]:
                return False
            self._connection.start_next_cycle()
        else:
            return False
        self._ended = False
        self.reused = True
        return True

    def is_usable(self) -> bool:
        """Return whether an idle connection is open and received nothing.

        Data that arrives between two exchanges, or the end of the connection,
        belongs to no request.
        """
        return sockets.has_nothing_to_read(self._sock)

    @property
    def is_aborted(self) -> bool:
        """Return whether this process has shut the connection down."""
        return self._aborted

    def unread_bytes(self) -> int | None:
        """Return how many bytes wait to be read, None if it has ended.

        One that this daemon has aborted had not ended.
        """
        if self._aborted:
            return len(self._received)
        waiting = sockets.unread_bytes(self._sock)
        return None if waiting is None else waiting + len(self._received)

    def take_byte_count(self) -> int:
        """Return how many bytes were sent and read since the last time."""
        count, self._moved_bytes = self._moved_bytes, 0
        return count

    def abort(self) -> None:
        """Shut down the socket, so that the current exchange fails."""
        self._aborted = True
        sockets.shut_down(self._sock, curio.socket.SHUT_RDWR)

    async def close(self) -> None:
        """Close the socket."""
        try:
            await self._sock.close()
        finally:
            self.on_close(self)

    async def _next_event(self) -> object:
        while True:
            event = self._next_received_event()
            if event is not h11.NEED_DATA:
                return event
            self._connection.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        try:
            data: bytes = await sockets.receive(self._sock)
        except OSError as error:
            raise self._broken(str(error)) from error
        self._moved_bytes += len(data)
        if self._aborted:
            # Else an answer without a length would look complete.
            raise self._broken("the exchange was aborted")
        return data

    def _next_received_event(self) -> object:
        try:
            return self._connection.next_event()
        except h11.RemoteProtocolError as error:
            raise self._broken(str(error)) from error

    def _broken(self, reason: str) -> errors.ConnectionBroken:
        return errors.ConnectionBroken(
            error_codes.CONNECTION_BROKEN,
            f"connection to {self.address} broke: {reason}",
            error_codes.Execution.UNKNOWN,
        )


Connect = collections.abc.Callable[
    [messages.Address, float], collections.abc.Awaitable[Connection]
]


@dataclasses.dataclass
class Pool:
    """Pool idle connections by their remote address.

    `connect` opens a connection within a time or raises ConnectionFailed, and
    `may_reuse` decides whether an idle one may be used now.  Up to `max_open`
    connections are open, in use and idle together.  At the limit, the one
    that is idle for longest gives its place to a new one.  With `delays`, the
    time in which this process could not read does not count against an answer.
    """

    connect: Connect = dataclasses.field(
        default_factory=lambda: open_connection
    )
    may_reuse: collections.abc.Callable[[Connection], bool] = (
        lambda connection: True
    )
    idle_by_address: dict[messages.Address, list[Connection]] = (
        dataclasses.field(default_factory=dict)
    )
    max_open: int = sys.maxsize
    delays: loop_delays.LoopDelays | None = None
    # One that is dropped without a close holds no place for good.
    _open: weakref.WeakSet[Connection] = dataclasses.field(
        default_factory=weakref.WeakSet
    )
    _opening_count: int = 0
    # The keys are in the order of their release.
    _idle: dict[Connection, None] = dataclasses.field(default_factory=dict)

    def open_count(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._open) + self._opening_count

    async def acquire(
        self,
        address: messages.Address,
        new_connection: bool = False,
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ) -> Connection:
        """Return an idle or new connection; raise ConnectionFailed."""
        idle = self.idle_by_address.get(address)
        while idle and not new_connection:
            connection = idle.pop()
            self._idle.pop(connection, None)
            if connection.is_usable() and self.may_reuse(connection):
                return connection
            await connection.close()
        return await self._open_new(address, connect_timeout_seconds)

    async def _open_new(
        self, address: messages.Address, timeout_seconds: float
    ) -> Connection:
        while self.open_count() >= self.max_open:
            if not await self._close_longest_idle():
                raise errors.NoSocketAvailable(
                    error_codes.NO_SOCKET,
                    f"all {self.max_open} connections that this daemon may "
                    f"have are in use; none is left for {address}",
                )
        self._opening_count += 1
        try:
            connection = await self._connect(address, timeout_seconds)
        finally:
            self._opening_count -= 1
        self._open.add(connection)
        connection.on_close = self._forget
        return connection

    async def _connect(
        self, address: messages.Address, timeout_seconds: float
    ) -> Connection:
        try:
            return await self.connect(address, timeout_seconds)
        except errors.NoSocketAvailable:
            # The machine may have less than the limit allows.
            if not await self._close_longest_idle():
                raise
        return await self.connect(address, timeout_seconds)

    async def _close_longest_idle(self) -> bool:
        """Close an idle connection; return whether there was one."""
        longest_idle = next(iter(self._idle), None)
        if longest_idle is None:
            return False
        await self._close_idle(longest_idle)
        return True

    async def _close_idle(self, connection: Connection) -> None:
        del self._idle[connection]
        others = self.idle_by_address[connection.address]
        if connection in others:
            others.remove(connection)
        await connection.close()

    def _forget(self, connection: Connection) -> None:
        self._open.discard(connection)
        self._idle.pop(connection, None)

    async def release(
        self, connection: Connection, max_idle: int = MAX_IDLE_PER_ADDRESS
    ) -> None:
        """Pool a connection after a complete exchange, else close it."""
        idle = self.idle_by_address.setdefault(connection.address, [])
        free = min(max_idle, MAX_IDLE_PER_ADDRESS) - len(idle)
        if free > 0 and connection.finish_cycle():
            idle.append(connection)
            self._idle[connection] = None
            return
        await connection.close()

    async def close_unusable(self) -> None:
        """Close idle connections that have ended or received something.

        What nobody reads stays in memory until the connection closes.
        """
        for connection in list(self._idle):
            if connection in self._idle and not connection.is_usable():
                await self._close_idle(connection)

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in self.idle_by_address.values():
            for connection in idle:
                await connection.close()
        self.idle_by_address.clear()

    async def call(
        self,
        address: messages.Address,
        request: messages.Request,
        timeout_seconds: float,
        new_connection: bool = False,
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> messages.Response:
        """Send a request and return the response.

        Raises ConnectionFailed if no connection was made, and ConnectionBroken
        if the request may have been executed, also after the timeout or if
        the body of the response is too large.
        """
        connection = await self.acquire(
            address, new_connection, connect_timeout_seconds
        )
        complete = False
        try:
            exchanging = _exchange(connection, request, max_body_bytes)
            if self.delays is not None:
                response = await self.delays.within(
                    timeout_seconds, exchanging
                )
            else:
                async with curio.timeout_after(timeout_seconds):
                    response = await exchanging
            complete = True
            return response
        except curio.TaskTimeout as error:
            raise errors.ConnectionBroken(
                error_codes.CONNECTION_BROKEN,
                f"{address} did not answer within {timeout_seconds:g} s",
                error_codes.Execution.UNKNOWN,
            ) from error
        finally:
            if complete:
                await self.release(connection)
            else:
                await connection.close()


async def _exchange(
    connection: Connection, request: messages.Request, max_body_bytes: int
) -> messages.Response:
    await connection.send(request)
    head = await connection.read_head()
    body = await connection.read_body(max_body_bytes)
    return messages.Response(head.status, head.headers, body)


async def open_connection(
    address: messages.Address, timeout_seconds: float = CONNECT_TIMEOUT_SECONDS
) -> Connection:
    """Connect within the timeout; raise ConnectionFailed."""
    return Connection(address, await open_socket(address, timeout_seconds))


async def open_socket(
    address: messages.Address, timeout_seconds: float
) -> typing.Any:
    """Return a connected socket.

    Raises ConnectionFailed, or NoSocketAvailable if the reason is local.
    """
    # Addresses are IP addresses; resolving names would cost a worker thread.
    try:
        sock = curio.socket.socket(
            curio.socket.AF_INET, curio.socket.SOCK_STREAM
        )
    except OSError as error:
        raise _no_socket(address, error) from error
    try:
        sock.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
        sockets.keep_alive(sock)
        sockets.limit_unread_bytes(sock)
        async with curio.timeout_after(timeout_seconds):
            await sock.connect((address.host, address.port))
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        if getattr(error, "errno", None) in LOCAL_ERROR_NUMBERS:
            raise _no_socket(address, error) from error
        raise errors.ConnectionFailed(
            error_codes.CONNECTION_FAILED,
            f"connection to {address} failed: {error!r}",
        ) from error
    except curio.CancelledError:
        await sock.close()
        raise
    return sock


def _no_socket(
    address: messages.Address, error: Exception
) -> errors.NoSocketAvailable:
    return errors.NoSocketAvailable(
        error_codes.NO_SOCKET,
        f"this daemon can open no connection to {address}: {error!r}",
    )


async def body_chunks(
    connection: Connection,
) -> collections.abc.AsyncIterator[bytes]:
    """Yield a response body as it arrives; raise ConnectionBroken."""
    while True:
        chunk = await connection.read_chunk()
        if not chunk:
            return
        yield chunk


def _is_chunked(headers: messages.Headers) -> bool:
    coding = headers.get("Transfer-Encoding") or ""
    return coding.strip().lower() == "chunked"
