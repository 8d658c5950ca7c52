"""Log the sends that brought no answer, each with its inputs."""

from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.forwarding import send_budget
from sycamoredale.observability import logs

LOG: Final = logs.get("forwarding")


def failed(
    progress: progress_module.Progress,
    endpoint: endpoints.Endpoint,
    reason: str,
) -> None:
    """Log a send that brought no answer, with what was known then."""
    LOG.info(
        "send_failed",
        request=progress.call.id,
        endpoint=endpoint.id,
        group=endpoint.instance.membership
        and endpoint.instance.membership.group,
        load=round(endpoint.load(clock.monotonic()), 1),
        heard_ms_ago=_ms_since(endpoint.last_progress_at),
        events=progress.stream.events,
        reason=reason,
    )


def no_budget(
    progress: progress_module.Progress, spent: send_budget.Spent
) -> None:
    """Log that a call may not be sent again, with the counts of the window."""
    LOG.info(
        "further_send_denied",
        request=progress.call.id,
        service=progress.call.service.name,
        requests=spent.requests,
        repeats=spent.repeats,
        allowed=round(spent.allowed, 1),
    )


def _ms_since(at: clock.MonotonicTime) -> int | None:
    return int(1000 * (clock.monotonic() - at)) if at else None
