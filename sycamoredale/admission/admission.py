"""Decide whether a call may run now, must wait or is refused."""

import collections.abc
import contextlib
import dataclasses
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.requests import call as call_module
from sycamoredale.routing import choice

MAX_WAIT_SECONDS: Final = 5.0
POLL_SECONDS: Final = 0.02


@dataclasses.dataclass
class Admission:
    """Count the open calls of each organisation."""

    chooser: choice.Chooser
    open_by_organisation: dict[ids.OrganisationName, int] = dataclasses.field(
        default_factory=dict
    )

    @contextlib.asynccontextmanager
    async def admitted(
        self, call: call_module.Call, now: clock.MonotonicTime
    ) -> collections.abc.AsyncIterator[None]:
        """Hold a place for the call while the block runs; raise Refusal."""
        ends = now + min(call.deadline_seconds, MAX_WAIT_SECONDS)
        while not self.chooser.has_room(call, clock.monotonic()):
            if clock.monotonic() >= ends:
                break
            await curio.sleep(POLL_SECONDS)
        name = call.organisation
        count = self.open_by_organisation.get(name, 0)
        self.open_by_organisation[name] = count + 1
        try:
            yield
        finally:
            self.open_by_organisation[name] -= 1
