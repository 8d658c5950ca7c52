"""Build the answers to forwarded calls that are refused."""

import dataclasses

from sycamoredale import errors
from sycamoredale.http import error_responses
from sycamoredale.http import messages

RETRY_AFTER_HEADER: str = "Retry-After"


def from_error(error: errors.SycamoredaleError) -> messages.Response:
    """Return the answer to a refused call.

    Its Retry-After header may have fractions of a second.
    """
    response = messages.json_response(
        error.code.status, error_responses.error_body(error)
    )
    if error.retry_after is None:
        return response
    headers = response.headers.with_field(
        RETRY_AFTER_HEADER, f"{error.retry_after:.2f}"
    )
    return dataclasses.replace(response, headers=headers)
