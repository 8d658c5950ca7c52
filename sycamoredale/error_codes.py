"""Define the codes that identify every error of the system.

Codes are stable, so that callers and operators can match them.  The status
is the HTTP status of the answer to a caller.
"""

import dataclasses
import enum
from typing import Final


class Execution(enum.Enum):
    """Classify whether a request that failed was executed."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorCode:
    """Describe one kind of error by code, HTTP status and summary."""

    name: str
    status: int
    summary: str


CODE_BY_NAME: Final[dict[str, ErrorCode]] = {}


def _define(name: str, status: int, summary: str) -> ErrorCode:
    code = ErrorCode(name, status, summary)
    CODE_BY_NAME[name] = code
    return code


# Errors of callers' requests.
MALFORMED_REQUEST: Final = _define(
    "malformed_request", 400, "the request is not valid HTTP or JSON"
)
UNKNOWN_KEY: Final = _define(
    "unknown_key", 401, "the API key belongs to no organisation"
)
NOT_READY: Final = _define(
    "not_ready", 503, "the router has read no configuration yet"
)
NOT_FOUND: Final = _define("not_found", 404, "the path does not exist")
UNKNOWN_SERVICE: Final = _define(
    "unknown_service", 404, "the service or model does not exist"
)
TOO_MANY_CONNECTIONS: Final = _define(
    "too_many_connections", 503, "the daemon is at its limit of connections"
)
REQUEST_TIMEOUT: Final = _define(
    "request_timeout", 408, "the caller sent its request too slowly"
)
BODY_TOO_LARGE: Final = _define(
    "body_too_large", 413, "the request body exceeds the limit"
)
MEMORY_LIMIT: Final = _define(
    "memory_limit", 503, "the daemon holds as many bytes of requests as it may"
)
HEADERS_TOO_LARGE: Final = _define(
    "headers_too_large", 431, "the request headers exceed the limit"
)
NO_ENDPOINT: Final = _define(
    "no_endpoint", 503, "no endpoint can take the request now"
)
ENDPOINT_FAILED: Final = _define(
    "endpoint_failed", 502, "the endpoint failed while it had the request"
)
QUEUE_FULL: Final = _define(
    "queue_full", 429, "too many calls of the organisation are waiting"
)
OVERLOADED: Final = _define(
    "overloaded", 503, "the call could not end before its deadline"
)
DRAINING: Final = _define(
    "draining", 503, "the router is stopping and takes no new request"
)
ISOLATED: Final = _define(
    "isolated",
    503,
    "the router is disconnected and cannot learn which zones take new work",
)
REQUEST_IN_PROGRESS: Final = _define(
    "request_in_progress", 409, "a request with the same key is running"
)
IDEMPOTENCY_KEY_REUSED: Final = _define(
    "idempotency_key_reused",
    422,
    "the idempotency key belongs to another request",
)
EXECUTION_UNKNOWN: Final = _define(
    "execution_unknown",
    409,
    "it is not known whether the request with this key ran",
)
RESULT_NOT_KEPT: Final = _define(
    "result_not_kept",
    409,
    "the request with this key ran, and its answer was too long to keep",
)
CLAIMS_UNAVAILABLE: Final = _define(
    "claims_unavailable", 503, "no claim can be written for the request now"
)
REQUEST_CRASHES_ENDPOINTS: Final = _define(
    "request_crashes_endpoints",
    422,
    "endpoints crashed each time they ran this request",
)
PROMPT_PART_CRASHES_ENDPOINTS: Final = _define(
    "prompt_part_crashes_endpoints",
    503,
    "endpoints crashed when they ran requests with a part of this prompt",
)
DEADLINE_EXCEEDED: Final = _define(
    "deadline_exceeded", 504, "the deadline passed before the answer"
)
STOPPED_UNANSWERED: Final = _define(
    "stopped_unanswered", 504, "the router stopped before the answer"
)
INTERNAL: Final = _define("internal", 500, "the router failed")

# Errors of the object API.
STORE_UNAVAILABLE: Final = _define(
    "store_unavailable", 503, "the object API did not answer"
)
OUTCOME_UNKNOWN: Final = _define(
    "outcome_unknown", 503, "the answer to a write was lost"
)
VERSION_CONFLICT: Final = _define(
    "version_conflict", 409, "the object changed since it was read"
)
WATCH_EXPIRED: Final = _define(
    "watch_expired", 503, "the object API discarded changes that are needed"
)
BUDGET_EXHAUSTED: Final = _define(
    "budget_exhausted", 503, "the call budget of this daemon is used up"
)

# Errors of connections.
CONNECTION_FAILED: Final = _define(
    "connection_failed", 502, "the connection could not be opened"
)
CONNECTION_BROKEN: Final = _define(
    "connection_broken", 502, "the connection broke during an exchange"
)

NO_SOCKET: Final = _define(
    "no_socket", 503, "the daemon can open no further connection"
)
COLD_SLOT_LOST: Final = _define(
    "cold_slot_lost", 503, "the router has no slot of a cold endpoint"
)

# Errors of orders to engines.
STALE_ORDER: Final = _define(
    "stale_order", 409, "the engine refused an order with an outdated epoch"
)
ORDER_FAILED: Final = _define(
    "order_failed", 502, "the engine did not carry out an order"
)

LEASE_LOST: Final = _define(
    "lease_lost", 409, "the daemon no longer holds the lease"
)

# Errors of operators' input.
INVALID_CONFIGURATION: Final = _define(
    "invalid_configuration", 422, "the configuration has findings"
)
INVALID_SETTINGS: Final = _define(
    "invalid_settings", 422, "the settings of a process have findings"
)
