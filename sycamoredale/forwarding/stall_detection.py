"""Read from an endpoint unless it stands still.

A group that has lost a member goes on to accept requests for some seconds
and answers none.  What all daemons hear of it shows that at once.
"""

import collections.abc
import typing
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import endpoints

# The longest pass of a healthy engine takes seven steps that each read a
# whole piece of a prompt, about a third of a second.
STALL_TIMEOUT_SECONDS: Final = 0.5
# A group across fabric domains takes three times as long for each step.
CROSS_DOMAIN_STALL_TIMEOUT_SECONDS: Final = 3 * STALL_TIMEOUT_SECONDS
_T = typing.TypeVar("_T")


async def read_unless_stalled(
    read: collections.abc.Callable[[], collections.abc.Awaitable[_T]],
    endpoint: endpoints.Endpoint,
    max_wait_seconds: float,
) -> _T:
    """Return what is read; raise ConnectionBroken if that takes too long.

    An endpoint that no daemon has heard for some time stands still.  One
    that goes on with other requests has this one in its queue, which may
    last for `patience` seconds.
    """
    started = clock.monotonic()
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
                f"endpoint {endpoint.id}: it made no progress for "
                f"{stall_seconds:g} s"
            )
        try:
            async with curio.timeout_after(
                min(stalls_at, started + max_wait_seconds) - now
            ):
                return await read()
        except curio.TaskTimeout:
            continue
