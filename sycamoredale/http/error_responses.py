"""Convert errors to JSON answers to callers."""

import dataclasses
import math

import msgspec

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import messages


class ErrorDetail(msgspec.Struct, frozen=True):
    """Describe an error and whether the request was executed."""

    code: str
    message: str
    execution: str
    retry_after: float | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """Represent the JSON body of an error."""

    error: ErrorDetail


def error_body(error: errors.SycamoredaleError) -> ErrorBody:
    """Return the JSON body that reports an error."""
    return ErrorBody(
        ErrorDetail(
            error.code.name,
            error.message,
            error.execution.value,
            error.retry_after,
        )
    )


def error_response(error: errors.SycamoredaleError) -> messages.Response:
    """Return the JSON answer that reports an error to a caller."""
    response = messages.json_response(error.code.status, error_body(error))
    if error.retry_after is None:
        return response
    headers = response.headers.with_field(
        "Retry-After", str(max(1, math.ceil(error.retry_after)))
    )
    return dataclasses.replace(response, headers=headers)


def internal_error() -> errors.SycamoredaleError:
    """Return the error for a fault inside the daemon."""
    return errors.Refusal(
        error_codes.INTERNAL,
        "the request failed inside the daemon",
        error_codes.Execution.UNKNOWN,
    )


def draining() -> errors.Refusal:
    """Return the refusal of a request to a draining daemon."""
    return errors.Refusal(
        error_codes.DRAINING,
        "this daemon is stopping; repeat the request on a new connection",
        retry_after=1.0,
    )


def stopped_unanswered() -> errors.Refusal:
    """Return the refusal of a request that a stop leaves unanswered."""
    return errors.Refusal(
        error_codes.STOPPED_UNANSWERED,
        "this daemon stops before the request has an answer",
        error_codes.Execution.UNKNOWN,
    )


def too_many_connections(limit: int) -> errors.Refusal:
    """Return the refusal of a connection above the limit."""
    return errors.Refusal(
        error_codes.TOO_MANY_CONNECTIONS,
        f"this daemon has reached its limit of {limit} connections",
        retry_after=1.0,
    )


def no_descriptor() -> errors.Refusal:
    """Return the refusal of a connection for which no descriptor is left."""
    return errors.Refusal(
        error_codes.NO_SOCKET,
        "this daemon has no descriptor left for the connection",
        retry_after=1.0,
    )
