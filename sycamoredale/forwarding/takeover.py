"""Let another endpoint take a stream over from one that is silent.

The other endpoint may refuse the request, or be as silent.  So it begins while
the connection to the first one stays open, and the caller gets the next event
from whichever sends it first.
"""

import collections.abc
import dataclasses
import typing

import curio

from sycamoredale.forwarding import sends

MayLeave = collections.abc.Callable[[], bool]
# Returns a send that has read its first event, or None if it failed.
BeginElsewhere = collections.abc.Callable[
    [], collections.abc.Awaitable[sends.Send | None]
]


@dataclasses.dataclass
class Takeover:
    """Begin a request elsewhere while its present endpoint is still read."""

    may_leave: MayLeave
    begin_elsewhere: BeginElsewhere
    close: collections.abc.Callable[
        [sends.Send], collections.abc.Awaitable[None]
    ]
    _begun: sends.Send | None = None
    _task: typing.Any = None

    @property
    def is_begun(self) -> bool:
        """Return whether another endpoint has sent the next event."""
        return self._begun is not None

    @property
    def is_seeking(self) -> bool:
        """Return whether another endpoint was asked and may still begin."""
        return self._task is not None

    @property
    def is_active(self) -> bool:
        """Return whether another endpoint has begun or was asked."""
        return self.is_begun or self.is_seeking

    async def seek(self) -> None:
        """Ask another endpoint, unless one is being asked or has begun."""
        if not self.is_active and self.may_leave():
            self._task = await curio.spawn(self._run, daemon=True)

    async def _run(self) -> None:
        try:
            self._begun = await self.begin_elsewhere()
        finally:
            self._task = None

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

    async def seek(self) -> None:
        """Leave the endpoint if that is allowed now."""
        self.is_begun = self.may_leave()
