"""Read from an endpoint unless it has stalled.

A group that has lost a member accepts requests for some more seconds, but
answers none.  Since daemons exchange the last progress of each endpoint, the
absence of progress for all of them shows the stall early.
"""

import collections.abc
import typing
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import endpoints

# The longest interval between two events of a healthy engine is seven steps
# that each prefill a full chunk of a prompt, about a third of a second.
STALL_TIMEOUT_SECONDS: Final = 0.5
# A cross-domain group takes three times as long for each step.
CROSS_DOMAIN_STALL_TIMEOUT_SECONDS: Final = 3 * STALL_TIMEOUT_SECONDS
_T = typing.TypeVar("_T")


async def read_unless_stalled(
    read: collections.abc.Callable[[], collections.abc.Awaitable[_T]],
    endpoint: endpoints.Endpoint,
    max_wait_seconds: float,
    waiting_since: clock.MonotonicTime | None = None,
) -> _T:
    """Return the result of `read`; raise EndpointStalled if it takes too long.

    An endpoint has stalled if it made no progress for any daemon for the
    stall timeout.  While it makes progress for other requests, this one may
    be queued, for up to `max_wait_seconds`.  Both count from `waiting_since`,
    or from now.
    """
    started = clock.monotonic() if waiting_since is None else waiting_since
    stall_seconds = (
        CROSS_DOMAIN_STALL_TIMEOUT_SECONDS
        if endpoint.is_cross_domain
        else STALL_TIMEOUT_SECONDS
    )
    while True:
        now = clock.monotonic()
        if now >= started + max_wait_seconds:
            raise errors.EndpointStalled(
                f"endpoint {endpoint.id}: no event for {max_wait_seconds:g} s"
            )
        stalls_at = max(started, endpoint.last_progress_at) + stall_seconds
        if now >= stalls_at:
            endpoint.suspect(now)
            raise errors.EndpointStalled(
                f"endpoint {endpoint.id}: no progress for "
                f"{stall_seconds:g} s"
            )
        try:
            async with curio.timeout_after(
                min(stalls_at, started + max_wait_seconds) - now
            ):
                return await read()
        except curio.TaskTimeout:
            continue
