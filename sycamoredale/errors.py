"""Define the exceptions of the package; each carries an error code."""

import typing

from sycamoredale import error_codes


class SycamoredaleError(Exception):
    """Carry an error code, a message and what is known of execution."""

    def __init__(
        self,
        code: error_codes.ErrorCode,
        message: str,
        execution: error_codes.Execution = error_codes.Execution.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        """Build the error; `retry_after` is in seconds."""
        super().__init__(message)
        self.code: typing.Final = code
        self.message: typing.Final = message
        self.execution: typing.Final = execution
        self.retry_after: typing.Final = retry_after


class Refusal(SycamoredaleError):
    """Refuse a caller's request."""


class ConnectionFailed(SycamoredaleError):
    """Report that no byte of a request left, for want of a connection."""


class ColdSlotLost(ConnectionFailed):
    """Report that no byte left, for want of a cold start slot."""


class ConnectionBroken(SycamoredaleError):
    """Report that a connection failed after bytes may have left."""


class EndpointFault(ConnectionBroken):
    """Report that an endpoint sent an error in place of an answer."""

    def __init__(self, message: str) -> None:
        """Build the error; the request may have run."""
        super().__init__(
            error_codes.ENDPOINT_FAILED, message, error_codes.Execution.UNKNOWN
        )


class EndpointStalled(EndpointFault):
    """Report that an endpoint was left because it stood still."""


class EndpointRefused(ConnectionFailed):
    """Report that an endpoint refused a request before running it."""

    def __init__(self, message: str) -> None:
        """Build the error."""
        super().__init__(error_codes.NO_ENDPOINT, message)


class StoreUnavailable(SycamoredaleError):
    """Report that the object API did not take a call."""


class OutcomeUnknown(SycamoredaleError):
    """Report that a write may or may not have taken effect."""


class VersionConflict(SycamoredaleError):
    """Report that a conditional update met another version."""


class WatchExpired(SycamoredaleError):
    """Report that the object API forgot changes that a watch needs."""


class StaleOrder(SycamoredaleError):
    """Report that an engine refused an order with an old epoch."""


class OrderFailed(SycamoredaleError):
    """Report that an engine did not confirm an order."""


class LeaseLost(SycamoredaleError):
    """Report that a daemon may no longer act for what a lease covers."""
