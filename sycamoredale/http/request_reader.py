"""Read requests of callers, limited in size and time."""

import dataclasses
import typing

import curio
import h11

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import exchange as exchange_module
from sycamoredale.http import held_bytes
from sycamoredale.http import messages
from sycamoredale.http import sockets


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
) -> messages.Request | None:
    """Return the next request, or None at the end of the connection.

    The body is held in the reservation.  Raises Refusal if that is denied, or
    if the request is malformed, too large or too slow.
    """
    try:
        async with curio.timeout_after(limits.request_timeout_seconds):
            head = await _next_event(sock, connection)
            if not isinstance(head, h11.Request):
                return None
            _check_length(head, limits, reservation)
            body = await _read_body(sock, connection, limits, reservation)
    except h11.RemoteProtocolError as error:
        raise _protocol_error(error) from error
    except curio.TaskTimeout as error:
        raise errors.Refusal(
            error_codes.REQUEST_TIMEOUT,
            "the request did not arrive within "
            f"{limits.request_timeout_seconds:g} s",
        ) from error
    return messages.Request(
        method=head.method.decode("ascii"),
        target=head.target.decode("latin-1"),
        headers=exchange_module.decode_headers(head.headers),
        body=body,
    )


async def _read_body(
    sock: typing.Any,
    connection: h11.Connection,
    limits: Limits,
    reservation: held_bytes.Reservation,
) -> bytes:
    # Small pieces would cost many times their size as objects of their own.
    body = bytearray()
    while True:
        event = await _next_event(sock, connection)
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError("the request body is incomplete")
        size = len(body) + len(event.data)
        if size > limits.body_limit_bytes:
            raise _body_too_large(limits)
        if not reservation.resize(size):
            # The trace of the refusal lives on while the rest is discarded.
            body.clear()
            raise _memory_limit()
        body += event.data


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
