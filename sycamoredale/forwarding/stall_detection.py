"""Read from an endpoint unless it has stalled.

A group that has lost a member accepts requests for some more seconds, but
answers none.  Since daemons exchange the last progress of each endpoint, the
absence of progress for all of them shows the stall early.

A sound endpoint may be silent for a second as well, and then goes on.  So an
answer is given up only if the request can go on elsewhere.
"""

import collections.abc
import typing
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import endpoints
from sycamoredale.observability import logs

# The longest interval between two events of a healthy engine is seven steps
# that each prefill a full chunk of a prompt, about a third of a second.
STALL_TIMEOUT_SECONDS: Final = 0.5
# A cross-domain group takes three times as long for each step.
CROSS_DOMAIN_STALL_TIMEOUT_SECONDS: Final = 3 * STALL_TIMEOUT_SECONDS
# How often it is looked for another endpoint while one is stalled.
LEAVE_CHECK_SECONDS: Final = 0.1
LOG: Final = logs.get("stall_detection")
_T = typing.TypeVar("_T")
# Returns whether the request can go on elsewhere now.
MayLeave = collections.abc.Callable[[], bool]


async def read_unless_stalled(
    read: collections.abc.Callable[[], collections.abc.Awaitable[_T]],
    endpoint: endpoints.Endpoint,
    max_wait_seconds: float,
    may_leave: MayLeave,
    waiting_since: clock.MonotonicTime | None = None,
) -> _T:
    """Return the result of `read`; raise EndpointStalled if it takes too long.

    An endpoint has stalled if it made no progress for any daemon for the
    stall timeout.  While it makes progress for other requests, this one may
    be queued, for up to `max_wait_seconds`.  Both count from `waiting_since`,
    or from now.  While the request may not leave, the read goes on.
    """
    has_logged = False
    started = clock.monotonic() if waiting_since is None else waiting_since
    stall_seconds = (
        CROSS_DOMAIN_STALL_TIMEOUT_SECONDS
        if endpoint.is_cross_domain
        else STALL_TIMEOUT_SECONDS
    )
    while True:
        now = clock.monotonic()
        stalls_at = max(started, endpoint.last_progress_at) + stall_seconds
        left = min(stalls_at, started + max_wait_seconds) - now
        if left <= 0:
            reason = f"no event for {max_wait_seconds:g} s"
            if now >= stalls_at:
                endpoint.suspect(now)
                reason = f"no progress for {stall_seconds:g} s"
            if may_leave():
                raise errors.EndpointStalled(
                    f"endpoint {endpoint.id}: {reason}"
                )
            if not has_logged:
                has_logged = True
                LOG.info("stall_waited_out", endpoint=endpoint.id, why=reason)
            left = LEAVE_CHECK_SECONDS
        try:
            async with curio.timeout_after(left):
                return await read()
        except curio.TaskTimeout:
            continue
