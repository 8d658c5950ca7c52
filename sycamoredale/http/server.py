"""Serve HTTP/1.1 with one task for each connection.

The task reads a request, passes it to the handler as an `Exchange` and reads
the next one.  If a handler fails before it has started the answer, the caller
gets a JSON error.  If it fails later, the connection closes without the final
chunk, so that an incomplete answer does not look complete.

A drain has four steps.  First the listener stays open, so that the load
balancer detects the drain and new callers still get an answer.  Then the
listener and idle connections are closed, and each request that arrives on
another connection is refused.  The open exchanges finish.  Shortly before the
end, those that have no answer yet are interrupted by `Stopping`, so that all
requests that were read are answered.
"""

import collections.abc
import dataclasses
import errno
import os
import typing
from typing import Final
import uuid

import curio
import curio.io
import curio.network
import curio.socket
import h11

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.http import error_responses
from sycamoredale.http import exchange as exchange_module
from sycamoredale.http import held_bytes
from sycamoredale.http import messages
from sycamoredale.http import request_reader
from sycamoredale.http import sockets
from sycamoredale import loop_delays
from sycamoredale.observability import logs
from sycamoredale.observability import seldom

Exchange = exchange_module.Exchange
Limits = request_reader.Limits
LISTEN_BACKLOG: Final = 1024
DRAIN_POLL_SECONDS: Final = 0.02
ACCEPT_RETRY_SECONDS: Final = 0.05
NO_DESCRIPTOR_ERRORS: Final = frozenset((errno.EMFILE, errno.ENFILE))
# Part of a drain that is left for answers to the requests that are waiting.
ANSWER_RESERVE_SECONDS: Final = 0.4
LINGER_SECONDS: Final = 1.0
LINGER_BYTES: Final = 4 * 1024 * 1024
LOG: Final = logs.get("http.server")

Handler = collections.abc.Callable[[Exchange], collections.abc.Awaitable[None]]


class Stopping(curio.CancelledError):  # type: ignore[misc]
    """Interrupt a handler, since the server ends before the answer is due."""


@dataclasses.dataclass(eq=False, slots=True)
class _Connection:
    sock: typing.Any
    protocol: h11.Connection
    header_limit_bytes: int
    idle: bool = True
    task: typing.Any = None
    exchange: Exchange | None = None
    is_interrupted: bool = False


class Server:
    """Listen on a socket and serve each connection in its own task."""

    def __init__(
        self,
        handler: Handler,
        limits: Limits = Limits(),
        request_id_header: str | None = None,
        paths_served_while_draining: collections.abc.Set[str] = frozenset(),
        serves_while_draining: bool = False,
        held_requests: held_bytes.HeldBytes | None = None,
        delays: loop_delays.LoopDelays | None = None,
    ) -> None:
        """Configure the server, which listens from `bind` on.

        `delays` are those of the event loop that runs the server.
        """
        self._delays = delays or loop_delays.LoopDelays()
        self._handler = handler
        self._limits = limits
        self._request_id_header = request_id_header
        self._paths_served_while_draining = paths_served_while_draining
        self._serves_while_draining = serves_while_draining
        self._held_requests = held_requests or held_bytes.HeldBytes()
        self._sock: typing.Any = None
        self._accept_task: typing.Any = None
        self._connections: set[_Connection] = set()
        self._is_listening = True
        self._failed_accepts = seldom.EventCounter()
        # Given up for a moment to refuse a caller when no other is left.
        self._spare_descriptor: int | None = None
        self.draining = False

    def bind(self, address: messages.Address) -> messages.Address:
        """Listen on the address and return it with the actual port."""
        self._sock = curio.network.tcp_server_socket(
            address.host, address.port, backlog=LISTEN_BACKLOG
        )
        self._open_spare_descriptor()
        host, port = self._sock.getsockname()[:2]
        return messages.Address(host, port)

    async def start(self) -> None:
        """Start accepting connections."""
        self._accept_task = await curio.spawn(self._accept, daemon=True)

    def set_limits(self, limits: Limits) -> None:
        """Set the limits of the following requests and connections."""
        self._limits = limits

    def connection_count(self) -> int:
        """Return how many connections of callers are open."""
        return len(self._connections)

    async def drain(
        self, timeout_seconds: float, listen_seconds: float = 0.0
    ) -> bool:
        """Refuse new requests and return whether all open ones finished.

        The listener stays open for `listen_seconds` of `timeout_seconds`.
        Requests without an answer are interrupted at the end.
        """
        deadline = clock.monotonic() + timeout_seconds
        answer_by = deadline - ANSWER_RESERVE_SECONDS
        is_complete = True
        self.draining = True
        await curio.sleep(min(listen_seconds, timeout_seconds))
        await self._close_listener()
        self._is_listening = False
        while True:
            for connection in list(self._connections):
                _close_if_idle(connection)
            if not self._connections:
                return is_complete
            now = clock.monotonic()
            if now >= answer_by and await self._interrupt_unanswered():
                is_complete = False
            if now >= deadline:
                return False
            await curio.sleep(DRAIN_POLL_SECONDS)

    async def _interrupt_unanswered(self) -> bool:
        """Interrupt handlers without an answer; return whether any was."""
        was_interrupted = False
        for connection in list(self._connections):
            exchange = connection.exchange
            if exchange is None or exchange.started:
                continue
            if not connection.is_interrupted:
                connection.is_interrupted = True
                await connection.task.cancel(exc=Stopping, blocking=False)
                was_interrupted = True
        return was_interrupted

    async def _close_listener(self) -> None:
        if self._sock is None:
            return
        if self._accept_task is not None:
            await self._accept_task.cancel()
        # Connections that the kernel has already accepted still get an answer.
        for _ in range(LISTEN_BACKLOG):
            try:
                waiting = sockets.accept_waiting(self._sock, LISTEN_BACKLOG)
            except OSError:
                if not self._refuse_next():
                    break
                continue
            if not waiting:
                break
            for sock in waiting:
                await self._spawn(sock)
        await self._sock.close()
        self._close_spare_descriptor()

    async def _accept(self) -> None:
        while True:
            try:
                accepted = await sockets.accept(self._sock)
            except OSError as error:
                await self._handle_failed_accept(error, clock.monotonic())
                continue
            for sock in accepted:
                await self._spawn(sock)

    async def _handle_failed_accept(
        self, error: OSError, now: clock.MonotonicTime
    ) -> None:
        count = self._failed_accepts.record(now)
        if count:
            LOG.warning("accept_failed", reason=str(error), count=count)
        if error.errno in NO_DESCRIPTOR_ERRORS and self._refuse_next():
            await sockets.give_way()
        else:
            await curio.sleep(ACCEPT_RETRY_SECONDS)

    def _refuse_next(self) -> bool:
        """Refuse the next caller on the spare descriptor, if there is one."""
        self._close_spare_descriptor()
        try:
            raw, _ = self._sock._socket.accept()
        except OSError:
            return False
        else:
            connection = self._new_connection(curio.io.Socket(raw))
            self._reject_connection(
                connection, error_responses.no_descriptor()
            )
            return True
        finally:
            self._open_spare_descriptor()

    def _open_spare_descriptor(self) -> None:
        try:
            self._spare_descriptor = os.open(os.devnull, os.O_RDONLY)
        except OSError as error:
            LOG.debug("no_spare_descriptor", reason=str(error))

    def _close_spare_descriptor(self) -> None:
        if self._spare_descriptor is not None:
            os.close(self._spare_descriptor)
            self._spare_descriptor = None

    def _new_connection(self, sock: typing.Any) -> _Connection:
        return _Connection(
            sock,
            _new_protocol(self._limits),
            self._limits.header_limit_bytes,
        )

    async def _spawn(self, sock: typing.Any) -> None:
        connection = self._new_connection(sock)
        if len(self._connections) >= self._limits.max_connections:
            self._reject_connection(
                connection,
                error_responses.too_many_connections(
                    self._limits.max_connections
                ),
            )
            return
        self._connections.add(connection)
        async with curio.disable_cancellation():
            connection.task = await curio.spawn(
                self._serve, connection, daemon=True
            )

    def _reject_connection(
        self, connection: _Connection, error: errors.Refusal
    ) -> None:
        # Refused without a task, so that the limit also bounds the tasks.
        data = self._refusal_bytes(connection, error)
        raw = connection.sock._socket
        try:
            raw.send(data)
            raw.shutdown(curio.socket.SHUT_WR)
        except OSError as failure:
            LOG.debug("caller_gone", reason=str(failure))
        raw.close()

    async def _serve(self, connection: _Connection) -> None:
        sock = connection.sock
        try:
            async with sock:
                sock.setsockopt(
                    curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1
                )
                while await self._serve_one(connection):
                    connection.protocol.start_next_cycle()
        except OSError as error:
            # Only the caller's own socket is used here.
            LOG.debug("connection_ended", reason=str(error))
        except h11.LocalProtocolError:
            LOG.exception("connection_failed")
        finally:
            self._connections.discard(connection)

    async def _serve_one(self, connection: _Connection) -> bool:
        if connection.protocol.trailing_data[0]:
            # Requests that were sent together are read without a wait.
            await sockets.give_way()
        else:
            connection.idle = True
            if not await self._wait_for_request(connection):
                return False
        connection.idle = False
        protocol = self._protocol_for_request(connection)
        with self._held_requests.reserve() as reservation:
            try:
                request = await request_reader.read_request(
                    connection.sock,
                    protocol,
                    self._limits,
                    reservation,
                    self._delays,
                )
            except errors.Refusal as refusal:
                reservation.release()
                await self._send_refusal(connection, refusal)
                return False
            if request is None:
                return False
            return await self._serve_request(connection, request)

    async def _serve_request(
        self, connection: _Connection, request: messages.Request
    ) -> bool:
        """Return whether another request may follow on the connection."""
        protocol = connection.protocol
        exchange = Exchange(
            request, protocol, connection.sock, lambda: self.draining
        )
        self._assign_request_id(exchange)
        connection.exchange = exchange
        await self._handle(exchange)
        connection.exchange = None
        _log_if_unanswered(exchange)
        if not exchange.finished or exchange.closes_connection:
            return False
        return (
            protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        )

    def _protocol_for_request(self, connection: _Connection) -> h11.Connection:
        """Return the protocol state, with the limits now in force."""
        limit = self._limits.header_limit_bytes
        if connection.header_limit_bytes != limit:
            # h11 takes the limit of a connection only at its beginning.
            received = connection.protocol.trailing_data[0]
            connection.protocol = _new_protocol(self._limits)
            connection.protocol.receive_data(received)
            connection.header_limit_bytes = limit
        return connection.protocol

    async def _wait_for_request(self, connection: _Connection) -> bool:
        async with curio.ignore_after(self._limits.idle_timeout_seconds):
            data = await sockets.receive(connection.sock)
            connection.protocol.receive_data(data)
            return bool(data)
        return False

    def _assign_request_id(self, exchange: Exchange) -> None:
        exchange.request_id = uuid.uuid4().hex
        if self._request_id_header is not None:
            exchange.extra_headers.append(
                (self._request_id_header, exchange.request_id)
            )

    async def _handle(self, exchange: Exchange) -> None:
        try:
            path = exchange.request.path
            if self.draining and not self._is_served(path):
                raise error_responses.draining()
            await self._handler(exchange)
        except errors.SycamoredaleError as error:
            await self._answer_error(exchange, error)
        except Stopping:
            await self._answer_error(
                exchange, error_responses.stopped_unanswered()
            )
        except exchange_module.CallerDisconnected as error:
            LOG.debug("caller_gone", reason=str(error))
        except Exception:
            LOG.exception("handler_failed", target=exchange.request.target)
            await self._answer_error(
                exchange, error_responses.internal_error()
            )

    def _is_served(self, path: str) -> bool:
        if path in self._paths_served_while_draining:
            return True
        return self._serves_while_draining and self._is_listening

    async def _answer_error(
        self, exchange: Exchange, error: errors.SycamoredaleError
    ) -> None:
        if exchange.started:
            return
        try:
            await exchange.respond(error_responses.error_response(error))
        except exchange_module.CallerDisconnected as failure:
            LOG.debug("caller_gone", reason=str(failure))

    async def _send_refusal(
        self, connection: _Connection, error: errors.SycamoredaleError
    ) -> None:
        data = self._refusal_bytes(connection, error)
        if not data:
            return
        await connection.sock.sendall(data)
        sockets.shut_down(connection.sock, curio.socket.SHUT_WR)
        await _discard_input(connection.sock)

    def _refusal_bytes(
        self, connection: _Connection, error: errors.SycamoredaleError
    ) -> bytes:
        protocol = connection.protocol
        if protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b""
        response = error_responses.error_response(error)
        headers = response.headers.with_field("Connection", "close")
        headers = headers.with_field("Content-Length", str(len(response.body)))
        if self._request_id_header is not None:
            headers = headers.with_field(
                self._request_id_header, uuid.uuid4().hex
            )
        head = h11.Response(
            status_code=response.status,
            headers=exchange_module.encode_headers(headers),
        )
        data = protocol.send(head) or b""
        return data + (protocol.send(h11.Data(data=response.body)) or b"")


def error_response(error: errors.SycamoredaleError) -> messages.Response:
    """Return the JSON answer that reports an error to a caller."""
    return error_responses.error_response(error)


def _new_protocol(limits: Limits) -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.header_limit_bytes
    )


def _log_if_unanswered(exchange: Exchange) -> None:
    """Log a request whose caller waits for an answer that does not come."""
    # An answer that breaks off shows the caller that it is incomplete.
    if not exchange.started and exchange.disconnect_reason is None:
        LOG.warning(
            "request_unanswered",
            request=exchange.request_id,
            target=exchange.request.target,
        )


def _close_if_idle(connection: _Connection) -> None:
    # The shutdown wakes the waiting task, which ends.  If a request has
    # already arrived, the task reads and refuses it.
    if connection.idle:
        sockets.shut_down(connection.sock, curio.socket.SHUT_RD)


async def _discard_input(sock: typing.Any) -> None:
    # Closing a socket with unread data resets the connection, and the caller
    # could lose the answer.
    size = 0
    async with curio.ignore_after(LINGER_SECONDS):
        while size < LINGER_BYTES:
            data = await sockets.receive(sock)
            if not data:
                return
            size += len(data)
