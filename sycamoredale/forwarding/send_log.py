"""Log sends without an answer and retries that the budget denied."""

from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.forwarding import retry_budget
from sycamoredale.observability import logs

LOG: Final = logs.get("forwarding")


def log_failed_send(
    progress: progress_module.CallProgress,
    endpoint: endpoints.Endpoint,
    reason: str,
) -> None:
    """Log a send without an answer, with the state of its endpoint."""
    LOG.info(
        "send_failed",
        request=progress.call.id,
        endpoint=endpoint.id,
        group=endpoint.instance.membership
        and endpoint.instance.membership.group,
        load=round(endpoint.load(clock.monotonic()), 1),
        progress_ms_ago=_ms_since(endpoint.last_progress_at),
        events=progress.stream.event_count,
        reason=reason,
    )


def log_denied_retry(
    progress: progress_module.CallProgress, usage: retry_budget.WindowUsage
) -> None:
    """Log a retry that the budget denied, with the counts of its window."""
    LOG.info(
        "retry_denied",
        request=progress.call.id,
        service=progress.call.service.name,
        requests=usage.requests,
        retries=usage.retries,
        allowed=round(usage.allowed, 1),
    )


def log_changed_limit(endpoint: endpoints.Endpoint, source: str) -> None:
    """Log a limit that an endpoint announced, None if it has ended."""
    LOG.info(
        "limit_changed",
        endpoint=endpoint.id,
        requests_per_second=endpoint.limit.latest.requests_per_second,
        source=source,
    )


def _ms_since(at: clock.MonotonicTime) -> int | None:
    return int(1000 * (clock.monotonic() - at)) if at else None
