"""Read requests of callers, limited in size and time."""

import dataclasses
import typing

import curio
import h11

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import exchange as exchange_module
from sycamoredale.http import held_bytes
from sycamoredale.http import messages
from sycamoredale.http import sockets
from sycamoredale import loop_delays


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limit the size and time of requests and the connections."""

    header_limit_bytes: int = 32 * 1024
    body_limit_bytes: int = 2 * 1024 * 1024
    request_timeout_seconds: float = 30.0
    idle_timeout_seconds: float = 75.0
    max_connections: int = 8192


async def read_request(
    sock: typing.Any,
    connection: h11.Connection,
    limits: Limits,
    reservation: held_bytes.Reservation,
    delays: loop_delays.LoopDelays,
) -> messages.Request | None:
    """Return the next request, or None at the end of the connection.

    The time in which this process could not read makes no request slow.
    The body is held in the reservation.  Raises Refusal if that is denied, or
    if the request is malformed, too large or too slow.
    """
    reader = _RequestReader(sock, connection, limits, reservation)
    began = clock.monotonic()
    left = limits.request_timeout_seconds
    try:
        while True:
            try:
                async with curio.timeout_after(left):
                    return await reader.read()
            except curio.TaskTimeout:
                now = clock.monotonic()
                waited = delays.attentive_seconds(began, now)
                left = limits.request_timeout_seconds - waited
                if left <= 0:
                    raise
    except h11.RemoteProtocolError as error:
        raise _protocol_error(error) from error
    except curio.TaskTimeout as error:
        raise errors.Refusal(
            error_codes.REQUEST_TIMEOUT,
            "the request did not arrive within "
            f"{limits.request_timeout_seconds:g} s",
        ) from error


@dataclasses.dataclass
class _RequestReader:
    """Read one request; a read that was interrupted can go on."""

    sock: typing.Any
    connection: h11.Connection
    limits: Limits
    reservation: held_bytes.Reservation
    head: h11.Request | None = None
    # Small pieces would cost many times their size as objects of their own.
    body: bytearray = dataclasses.field(default_factory=bytearray)

    async def read(self) -> messages.Request | None:
        """Return the request; raise as `read_request`."""
        if self.head is None:
            event = await _next_event(self.sock, self.connection)
            if not isinstance(event, h11.Request):
                return None
            _check_length(event, self.limits, self.reservation)
            self.head = event
        await self._read_body()
        return messages.Request(
            method=self.head.method.decode("ascii"),
            target=self.head.target.decode("latin-1"),
            headers=exchange_module.decode_headers(self.head.headers),
            body=bytes(self.body),
        )

    async def _read_body(self) -> None:
        while True:
            event = await _next_event(self.sock, self.connection)
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("the request body is incomplete")
            size = len(self.body) + len(event.data)
            if size > self.limits.body_limit_bytes:
                raise _body_too_large(self.limits)
            if not self.reservation.resize(size):
                # The trace of the refusal lives on while the rest is
                # discarded.
                self.body.clear()
                raise _memory_limit()
            self.body += event.data


async def _next_event(sock: typing.Any, connection: h11.Connection) -> object:
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        if connection.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await sock.sendall(connection.send(continue_response))
        connection.receive_data(await sockets.receive(sock))


def _check_length(
    head: h11.Request, limits: Limits, reservation: held_bytes.Reservation
) -> None:
    # Refuses before a `100 Continue` asks the caller for the body.
    for name, value in head.headers:
        if name != b"content-length":
            continue
        if int(value) > limits.body_limit_bytes:
            raise _body_too_large(limits)
        # Not reserved yet: the body may never come.
        if not reservation.may_reach(int(value)):
            raise _memory_limit()


def _memory_limit() -> errors.Refusal:
    return errors.Refusal(
        error_codes.MEMORY_LIMIT,
        "this daemon holds as many bytes of requests as it may",
        retry_after=1.0,
    )


def _body_too_large(limits: Limits) -> errors.Refusal:
    return errors.Refusal(
        error_codes.BODY_TOO_LARGE,
        f"the request body exceeds {limits.body_limit_bytes} bytes",
    )


def _protocol_error(error: h11.RemoteProtocolError) -> errors.Refusal:
    if error.error_status_hint == error_codes.HEADERS_TOO_LARGE.status:
        return errors.Refusal(
            error_codes.HEADERS_TOO_LARGE, "the request headers are too large"
        )
    return errors.Refusal(
        error_codes.MALFORMED_REQUEST, f"the request is not HTTP: {error}"
    )
