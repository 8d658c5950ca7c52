"""Let another endpoint take a stream over from one that is silent.

The other endpoint may refuse the request, or be as silent.  So it begins while
the connection to the first one stays open, and the caller gets the next event
from whichever sends it first.

An endpoint that sends one late event may hang again.  If the call has no run
left, the other endpoint is kept until the first one has gone on for a while.
"""

import collections.abc
import dataclasses
import typing
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale.forwarding import sends

# The pause before the next endpoint is asked doubles with each that failed.
FIRST_PAUSE_SECONDS: Final = 0.1
# How long the first endpoint goes on before the other one is given up.
KEPT_SECONDS: Final = 0.5

MayLeave = collections.abc.Callable[[], bool]
# Returns a send that has read its first event, or None if it failed.
BeginElsewhere = collections.abc.Callable[
    [], collections.abc.Awaitable[sends.Send | None]
]


@dataclasses.dataclass
class Takeover:
    """Begin a request elsewhere while its present endpoint is still read.

    `may_begin_again` tells whether the call has another run if the present
    one elsewhere is given up.
    """

    may_leave: MayLeave
    begin_elsewhere: BeginElsewhere
    close: collections.abc.Callable[
        [sends.Send], collections.abc.Awaitable[None]
    ]
    may_begin_again: MayLeave = lambda: True
    _begun: sends.Send | None = None
    _task: typing.Any = None
    _goes_on_since: clock.MonotonicTime | None = None
    _pause_seconds: float = FIRST_PAUSE_SECONDS
    _next_seek_at: clock.MonotonicTime = clock.MonotonicTime(0.0)

    @property
    def is_begun(self) -> bool:
        """Return whether another endpoint has sent the next event first."""
        return self._begun is not None and self._goes_on_since is None

    @property
    def is_seeking(self) -> bool:
        """Return whether another endpoint was asked and may still begin."""
        return self._task is not None

    @property
    def is_active(self) -> bool:
        """Return whether another endpoint has begun or was asked."""
        return self._begun is not None or self._task is not None

    async def seek(self, now: clock.MonotonicTime) -> None:
        """Ask another endpoint, unless one is being asked or has begun."""
        self._goes_on_since = None
        if self.is_active or now < self._next_seek_at:
            return
        if self.may_leave():
            self._task = await curio.spawn(self._run, daemon=True)

    async def _run(self) -> None:
        try:
            self._begun = await self.begin_elsewhere()
        finally:
            self._task = None
        if self._begun is None:
            self._next_seek_at = clock.MonotonicTime(
                clock.monotonic() + self._pause_seconds
            )
            self._pause_seconds *= 2

    async def record_event(self, now: clock.MonotonicTime) -> None:
        """Give the other endpoint up if the first one goes on."""
        if self._goes_on_since is None:
            self._goes_on_since = now
        if now - self._goes_on_since >= KEPT_SECONDS or self.may_begin_again():
            await self.drop()

    async def take(self) -> sends.Send | None:
        """Return the send that goes on; wait for one that was asked."""
        task = self._task
        if task is not None:
            await task.wait()
        begun, self._begun = self._begun, None
        return begun

    async def drop(self) -> None:
        """Give up the other endpoint: this one goes on, or the call ends."""
        async with curio.disable_cancellation():
            task = self._task
            if task is not None:
                await task.cancel()
                # Not cleared by a task that was cancelled before it ran.
                self._task = None
            self._next_seek_at = clock.MonotonicTime(0.0)
            begun, self._begun = self._begun, None
            if begun is not None:
                await self.close(begun)


@dataclasses.dataclass
class GiveUp:
    """Give up an endpoint that was asked to take over and stalls as well.

    The request stays at its first endpoint meanwhile.
    """

    may_leave: MayLeave
    is_begun: bool = False
    is_seeking: bool = False

    async def seek(self, now: clock.MonotonicTime) -> None:
        """Leave the endpoint if that is allowed now."""
        del now
        self.is_begun = self.may_leave()
