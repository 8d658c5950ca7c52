"""Read from an endpoint until another one has taken its request over.

A group that has lost a member accepts requests for some more seconds, but
answers none.  Since daemons exchange the last progress of each endpoint, the
absence of progress for all of them shows the stall early.

A sound endpoint may be silent for a second as well, and then goes on.  So it
is read until another endpoint has taken the request over.
"""

import collections.abc
import dataclasses
import typing
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import endpoints
from sycamoredale.http import client
from sycamoredale.links import monitor
from sycamoredale import loop_delays
from sycamoredale.observability import logs

# The longest interval between two events of a healthy engine is seven steps
# that each prefill a full chunk of a prompt, about a third of a second.
STALL_TIMEOUT_SECONDS: Final = 0.5
# A cross-domain group takes three times as long for each step.
CROSS_DOMAIN_STALL_TIMEOUT_SECONDS: Final = 3 * STALL_TIMEOUT_SECONDS
# How often it is looked for another endpoint while one is stalled, and whether
# that one has taken over.
SEEK_INTERVAL_SECONDS: Final = 0.1
TAKEOVER_CHECK_SECONDS: Final = 0.02
# How soon it is noticed that the links of this daemon are dead.
LINK_CHECK_SECONDS: Final = 0.25
LOG: Final = logs.get("stall_detection")
_T = typing.TypeVar("_T")


class Takeover(typing.Protocol):
    """Find what goes on with a request whose endpoint is silent."""

    @property
    def is_begun(self) -> bool:
        """Return whether the silent endpoint may be left now."""

    @property
    def is_seeking(self) -> bool:
        """Return whether another endpoint was asked and may still begin."""

    async def seek(self, now: clock.MonotonicTime) -> None:
        """Begin to look for another endpoint if that is allowed now."""


@dataclasses.dataclass(frozen=True)
class StallDetector:
    """Detect endpoints that make no progress, and links that are dead.

    The time in which this daemon could not read is no silence of others.
    """

    links: monitor.LinkMonitor
    delays: loop_delays.LoopDelays = dataclasses.field(
        default_factory=loop_delays.LoopDelays
    )

    def record_heard(
        self, connection: client.Connection, now: clock.MonotonicTime
    ) -> None:
        """Record data of an endpoint, unless a peer has relayed it."""
        if connection.relayed_by is None:
            self.links.record_heard(now)

    async def read_unless_stalled(
        self,
        read: collections.abc.Callable[[], collections.abc.Awaitable[_T]],
        endpoint: endpoints.Endpoint,
        max_wait_seconds: float,
        takeover: Takeover,
        waiting_since: clock.MonotonicTime | None = None,
        is_direct: bool = True,
    ) -> _T:
        """Return the result of `read`, or raise EndpointStalled.

        An endpoint has stalled if it made no progress for any daemon for the
        stall timeout.  While it makes progress for other requests, this one
        may be queued, for up to `max_wait_seconds`.  Both count from
        `waiting_since`, or from now.  The read goes on until another endpoint
        has taken over.
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
            progress_at = max(started, endpoint.last_progress_at)
            stall_left = progress_at + stall_seconds - now
            wait_left = started + max_wait_seconds - now
            if stall_left <= 0:
                stall_left += self.delays.seconds_between(progress_at, now)
            if wait_left <= 0:
                wait_left += self.delays.seconds_between(started, now)
            left = min(stall_left, wait_left, LINK_CHECK_SECONDS)
            reason = ""
            if stall_left <= 0:
                endpoint.suspect(now)
                reason = f"no progress for {stall_seconds:g} s"
            elif wait_left <= 0:
                reason = f"no event for {max_wait_seconds:g} s"
            elif is_direct and self.links.is_silent(now):
                reason = "the links of this daemon are silent"
            if reason:
                await takeover.seek(now)
                left = SEEK_INTERVAL_SECONDS
            if takeover.is_begun:
                raise errors.EndpointStalled(
                    f"endpoint {endpoint.id}: {reason or 'taken over'}"
                )
            if takeover.is_seeking:
                left = min(left, TAKEOVER_CHECK_SECONDS)
            elif reason and not has_logged:
                has_logged = True
                LOG.info("stall_waited_out", endpoint=endpoint.id, why=reason)
            try:
                async with curio.timeout_after(left):
                    return await read()
            except curio.TaskTimeout:
                continue
