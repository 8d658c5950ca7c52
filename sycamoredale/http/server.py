"""Serve HTTP/1.1 with one task for each connection.

The task reads a request, hands it to the handler inside an `Exchange` and
reads the next one.  A handler that fails before it has started the answer
yields a JSON error; one that fails afterwards makes the connection close
without the final chunk, so that no cut answer looks complete.
"""

import collections.abc
import dataclasses
import typing
from typing import Final

import curio
import curio.network
import curio.socket
import h11

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import messages
from sycamoredale.observability import logs

RECEIVE_BYTES: Final = 65536
LISTEN_BACKLOG: Final = 1024
DRAIN_POLL_SECONDS: Final = 0.05
LOG: Final = logs.get("http.server")


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bound what one caller may send."""

    header_bytes: int = 32 * 1024
    body_bytes: int = 2 * 1024 * 1024
    request_seconds: float = 30.0
    idle_seconds: float = 75.0


class Exchange:
    """Hold one request and write its answer."""

    def __init__(
        self,
        request: messages.Request,
        connection: h11.Connection,
        sock: typing.Any,
    ) -> None:
        """Bind the request to the connection that it arrived on."""
        self.request: Final = request
        self.started = False
        self.finished = False
        self._connection = connection
        self._sock = sock

    async def respond(self, response: messages.Response) -> None:
        """Write a whole answer in one piece."""
        body = response.body
        headers = response.headers.with_field("Content-Length", str(len(body)))
        head = h11.Response(
            status_code=response.status, headers=_encode(headers)
        )
        self.started = True
        parts = [self._connection.send(head)]
        if body and self.request.method != "HEAD":
            parts.append(self._connection.send(h11.Data(data=body)))
        parts.append(self._connection.send(h11.EndOfMessage()))
        await self._sock.sendall(b"".join(p for p in parts if p))
        self.finished = True

    async def start(self, head: messages.ResponseHead) -> None:
        """Write the head of an answer whose body follows in pieces."""
        event = h11.Response(
            status_code=head.status, headers=_encode(head.headers)
        )
        self.started = True
        await self._sock.sendall(self._connection.send(event))

    async def write(self, data: bytes) -> None:
        """Write a piece of the body."""
        if data:
            event = h11.Data(data=data)
            await self._sock.sendall(self._connection.send(event))

    async def finish(self) -> None:
        """Mark the answer as complete."""
        data = self._connection.send(h11.EndOfMessage())
        if data:
            await self._sock.sendall(data)
        self.finished = True

    async def wait_for_disconnect(self) -> None:
        """Return when the caller has closed its side."""
        while True:
            try:
                data = await self._sock.recv(RECEIVE_BYTES)
            except OSError:
                return
            if not data:
                return
            self._connection.receive_data(data)


Handler = collections.abc.Callable[[Exchange], collections.abc.Awaitable[None]]


class Server:
    """Listen on one socket and serve each connection in its own task."""

    def __init__(self, handler: Handler, limits: Limits = Limits()) -> None:
        """Keep the handler; nothing listens until `bind`."""
        self._handler = handler
        self._limits = limits
        self._sock: typing.Any = None
        self._accepting: typing.Any = None
        self._open_exchanges = 0
        self._idle_by_task: dict[int, typing.Any] = {}
        self._draining = False

    def bind(self, address: messages.Address) -> messages.Address:
        """Listen on the address and return it with the port bound."""
        self._sock = curio.network.tcp_server_socket(
            address.host, address.port, backlog=LISTEN_BACKLOG
        )
        host, port = self._sock.getsockname()[:2]
        return messages.Address(host, port)

    async def start(self) -> None:
        """Start to accept connections."""
        self._accepting = await curio.spawn(self._accept, daemon=True)

    async def drain(self, seconds: float) -> bool:
        """Stop accepting, wait for open exchanges; tell if all ended."""
        self._draining = True
        if self._accepting is not None:
            await self._accepting.cancel()
        if self._sock is not None:
            await self._sock.close()
        for task in list(self._idle_by_task.values()):
            await task.cancel(blocking=False)
        deadline = await curio.clock() + seconds
        while self._open_exchanges and await curio.clock() < deadline:
            await curio.sleep(DRAIN_POLL_SECONDS)
        return not self._open_exchanges

    async def _accept(self) -> None:
        while True:
            try:
                sock, _ = await self._sock.accept()
            except OSError as error:
                LOG.warning("accept_failed", reason=str(error))
                await curio.sleep(DRAIN_POLL_SECONDS)
                continue
            await curio.spawn(self._serve, sock, daemon=True)

    async def _serve(self, sock: typing.Any) -> None:
        sock.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        async with sock:
            try:
                while await self._serve_one(sock, connection):
                    connection.start_next_cycle()
            except (OSError, h11.LocalProtocolError) as error:
                LOG.debug("connection_ended", reason=str(error))

    async def _serve_one(
        self, sock: typing.Any, connection: h11.Connection
    ) -> bool:
        request = await self._read_request(sock, connection)
        if request is None:
            return False
        exchange = Exchange(request, connection, sock)
        self._open_exchanges += 1
        try:
            await self._handle(exchange)
        finally:
            self._open_exchanges -= 1
        if not exchange.finished or self._draining:
            return False
        return (
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
        )

    async def _handle(self, exchange: Exchange) -> None:
        try:
            await self._handler(exchange)
        except errors.SycamoredaleError as error:
            await _answer_error(exchange, error)
        except OSError as error:
            LOG.debug("caller_gone", reason=str(error))
        except Exception:
            LOG.exception("handler_failed", target=exchange.request.target)
            await _answer_error(exchange, _internal_error())

    async def _read_request(
        self, sock: typing.Any, connection: h11.Connection
    ) -> messages.Request | None:
        try:
            head = await self._read_head(sock, connection)
            if head is None:
                return None
            async with curio.timeout_after(self._limits.request_seconds):
                body = await self._read_body(sock, connection)
        except h11.RemoteProtocolError as error:
            await _refuse(sock, connection, _protocol_error(error))
            return None
        except curio.TaskTimeout:
            refusal = errors.Refusal(
                error_codes.REQUEST_TIMEOUT,
                "the request did not arrive within "
                f"{self._limits.request_seconds:g} s",
            )
            await _refuse(sock, connection, refusal)
            return None
        except errors.Refusal as refusal:
            await _refuse(sock, connection, refusal)
            return None
        return messages.Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=_decode(head.headers),
            body=body,
        )

    async def _read_head(
        self, sock: typing.Any, connection: h11.Connection
    ) -> h11.Request | None:
        if not connection.trailing_data[0]:
            if not await self._wait_for_request(sock, connection):
                return None
        async with curio.timeout_after(self._limits.request_seconds):
            event = await _next_event(sock, connection)
        return event if isinstance(event, h11.Request) else None

    async def _wait_for_request(
        self, sock: typing.Any, connection: h11.Connection
    ) -> bool:
        task = await curio.current_task()
        self._idle_by_task[task.id] = task
        try:
            async with curio.ignore_after(self._limits.idle_seconds):
                data = await sock.recv(RECEIVE_BYTES)
                connection.receive_data(data)
                return bool(data)
            return False
        finally:
            self._idle_by_task.pop(task.id, None)

    async def _read_body(
        self, sock: typing.Any, connection: h11.Connection
    ) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await _next_event(sock, connection)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("the body was cut short")
            size += len(event.data)
            if size > self._limits.body_bytes:
                raise errors.Refusal(
                    error_codes.BODY_TOO_LARGE,
                    "the request body exceeds "
                    f"{self._limits.body_bytes} bytes",
                )
            parts.append(bytes(event.data))


def error_response(error: errors.SycamoredaleError) -> messages.Response:
    """Return the JSON answer that reports an error to a caller."""
    body = {
        "error": {
            "code": error.code.name,
            "message": error.message,
            "execution": error.execution.value,
        }
    }
    response = messages.json_response(error.code.status, body)
    if error.retry_after is None:
        return response
    headers = response.headers.with_field(
        "Retry-After", str(max(1, round(error.retry_after)))
    )
    return dataclasses.replace(response, headers=headers)


async def _next_event(sock: typing.Any, connection: h11.Connection) -> object:
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        if connection.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await sock.sendall(connection.send(go_on))
        connection.receive_data(await sock.recv(RECEIVE_BYTES))


async def _answer_error(
    exchange: Exchange, error: errors.SycamoredaleError
) -> None:
    if exchange.started:
        return
    try:
        await exchange.respond(error_response(error))
    except OSError as failure:
        LOG.debug("caller_gone", reason=str(failure))


async def _refuse(
    sock: typing.Any,
    connection: h11.Connection,
    error: errors.SycamoredaleError,
) -> None:
    if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    response = error_response(error)
    headers = response.headers.with_field("Connection", "close")
    headers = headers.with_field("Content-Length", str(len(response.body)))
    head = h11.Response(status_code=response.status, headers=_encode(headers))
    data = (connection.send(head) or b"") + (
        connection.send(h11.Data(data=response.body)) or b""
    )
    await sock.sendall(data)


def _internal_error() -> errors.SycamoredaleError:
    return errors.Refusal(
        error_codes.INTERNAL,
        "the request failed inside the daemon",
        error_codes.Execution.UNKNOWN,
    )


def _protocol_error(error: h11.RemoteProtocolError) -> errors.Refusal:
    if error.error_status_hint == error_codes.HEADERS_TOO_LARGE.status:
        return errors.Refusal(
            error_codes.HEADERS_TOO_LARGE, "the request headers are too large"
        )
    return errors.Refusal(
        error_codes.MALFORMED_REQUEST, f"the request is not HTTP: {error}"
    )


def _encode(headers: messages.Headers) -> list[tuple[bytes, bytes]]:
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.fields
    ]


def _decode(
    headers: collections.abc.Iterable[tuple[bytes, bytes]],
) -> messages.Headers:
    return messages.Headers(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
    )
