"""Define the exceptions of the package, each with an error code."""

import typing

from sycamoredale import error_codes


class SycamoredaleError(Exception):
    """Report an error code, a message and whether a request was executed."""

    def __init__(
        self,
        code: error_codes.ErrorCode,
        message: str,
        execution: error_codes.Execution = error_codes.Execution.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        """Initialize the error; `retry_after` is in seconds."""
        super().__init__(message)
        self.code: typing.Final = code
        self.message: typing.Final = message
        self.execution: typing.Final = execution
        self.retry_after: typing.Final = retry_after


class Refusal(SycamoredaleError):
    """Report that the request of a caller was refused."""


class ConnectionFailed(SycamoredaleError):
    """Report that no byte was sent, because no connection was available."""


class ColdSlotLost(ConnectionFailed):
    """Report that no byte was sent, because the cold start slot was lost."""


class LocalFailure(ConnectionFailed):
    """Report that no byte was sent, for a reason on this daemon's side.

    It says nothing of the remote end.
    """


class NoRelayAvailable(LocalFailure):
    """Report that no byte was sent, because no peer could relay it."""


class NoSocketAvailable(LocalFailure):
    """Report that no byte was sent, because this daemon lacks a socket."""


class ConnectionBroken(SycamoredaleError):
    """Report that a connection failed after bytes may have been sent."""


class AnswerNotHeld(ConnectionBroken):
    """Report that this daemon gave up an answer that it has no memory for."""

    def __init__(self, remote: str) -> None:
        """Initialize the error; the request may have been executed."""
        super().__init__(
            error_codes.CONNECTION_BROKEN,
            f"the answer of {remote} was given up, since this daemon holds "
            "too many bytes",
            error_codes.Execution.UNKNOWN,
        )


class EndpointFault(ConnectionBroken):
    """Report that an endpoint sent an error instead of an answer."""

    def __init__(self, message: str) -> None:
        """Initialize the error; the request may have been executed."""
        super().__init__(
            error_codes.ENDPOINT_FAILED, message, error_codes.Execution.UNKNOWN
        )


class EndpointStalled(EndpointFault):
    """Report that an endpoint was abandoned because it made no progress."""


class EndpointRefused(ConnectionFailed):
    """Report that an endpoint refused a request before running it."""

    def __init__(self, message: str) -> None:
        """Initialize the error with the code for no endpoint."""
        super().__init__(error_codes.NO_ENDPOINT, message)


class StoreUnavailable(SycamoredaleError):
    """Report that the object API did not accept a call."""


class OutcomeUnknown(SycamoredaleError):
    """Report that a write may or may not have taken effect."""


class VersionConflict(SycamoredaleError):
    """Report that the version of a conditional update did not match."""


class WatchExpired(SycamoredaleError):
    """Report that the object API discarded changes that a watch needs."""


class StaleOrder(SycamoredaleError):
    """Report that an engine refused an order with an outdated epoch."""


class OrderFailed(SycamoredaleError):
    """Report that an engine did not confirm an order."""


class LeaseLost(SycamoredaleError):
    """Report that a daemon no longer holds the lease that it acts under."""
