"""Follow one kind of objects of the store: list, then watch for ever.

What was seen stays in force while the store is away.  After an outage or a
gap in the changes the kind is listed again.
"""

import dataclasses
import random
import typing
from typing import Final

import curio

from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.object_api import backoff
from sycamoredale.object_api import objects
from sycamoredale.observability import logs

# A watch that has gone silent is noticed after this and a margin.
WATCH_SECONDS: Final = 5.0
# Changes come in bursts, and each answer to a watch is a priced call.
GATHER_SECONDS: Final = 0.1
FIRST_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 1.0
LOG: Final = logs.get("following")


class Take(typing.Protocol):
    """Take over what was seen of a kind."""

    def __call__(self, seen: objects.Listing, complete: bool) -> None:
        """Take over changes, or all objects if the listing is complete."""


@dataclasses.dataclass
class Follower:
    """Follow a kind and hand what is seen to `take`."""

    store: objects.ObjectStore
    kind: str
    take: Take
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    version: ids.ObjectVersion = objects.ABSENT
    lost: bool = False

    async def run(self) -> None:
        """Follow for ever."""
        waits = backoff.Backoff(
            self.rng, FIRST_RETRY_SECONDS, MAX_RETRY_SECONDS
        )
        while True:
            try:
                await self._step()
                self._found()
                waits.reset()
                await curio.sleep(GATHER_SECONDS)
            except errors.WatchExpired:
                LOG.info("history_gone", kind=self.kind, version=self.version)
                self.version = objects.ABSENT
            except errors.StoreUnavailable as error:
                self._lose(error)
                await curio.sleep(waits.next_seconds())

    async def _step(self) -> None:
        if self.version == objects.ABSENT:
            seen = await self.store.list(self.kind)
            self.take(seen, complete=True)
        else:
            seen = await self.store.watch(
                self.kind, self.version, WATCH_SECONDS
            )
            if seen.version >= self.version:
                self.take(seen, complete=False)
        self.version = max(self.version, seen.version)

    def _lose(self, error: errors.StoreUnavailable) -> None:
        if not self.lost:
            LOG.warning("store_lost", kind=self.kind, reason=error.message)
        self.lost = True

    def _found(self) -> None:
        if self.lost:
            LOG.info("store_regained", kind=self.kind, version=self.version)
        self.lost = False
