"""Read lists that the store divides into pages.

Of a long list that must be current, only the first two pages are read as such.
The others may be seconds old, which costs the store less, and the changes
since the oldest page are applied to them.  If the store does not tell these
changes, the pages are read again.  All calls share the time of one list.
"""

import collections.abc
import dataclasses
import typing
from typing import Final

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.object_api import eras
from sycamoredale.object_api import objects

# A watch for what has changed already.
CATCH_UP_SECONDS: Final = 0.001
# Two pages cost less than an old one and a watch.
CURRENT_PAGES: Final = 2
# Of the time that is left; the rest is for pages in place of the watch.
WATCH_SHARE: Final = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Hold the readable objects of a page."""

    version: ids.ObjectVersion
    objects: collections.abc.Sequence[objects.StoredObject]
    has_more: bool


class ReadPage(typing.Protocol):
    """Read the page after a name."""

    def __call__(
        self, after: str | None, stale: bool, limits: objects.CallLimits
    ) -> collections.abc.Awaitable[Page]:
        """Return the first page after None; raise StoreUnavailable."""


class WatchAfter(typing.Protocol):
    """Watch for the changes after a version."""

    def __call__(
        self,
        after: ids.ObjectVersion,
        wait_seconds: float,
        limits: objects.CallLimits,
    ) -> collections.abc.Awaitable[objects.Listing]:
        """Return changes; raise as ObjectStore.watch."""


@dataclasses.dataclass
class _ListReader:
    read_page: ReadPage
    watch_after: WatchAfter
    limits: objects.CallLimits
    read_clock: clock.ReadClock

    def __post_init__(self) -> None:
        seconds = self.limits.answer_seconds
        if self.limits.list_seconds is not None:
            seconds = self.limits.list_seconds
        self._ends_at = self.read_clock() + seconds

    async def read(self, stale: bool) -> objects.Listing:
        pages = await self._read_pages([], CURRENT_PAGES, stale)
        if pages[-1].has_more:
            current = list(pages)
            pages = await self._read_pages(current, None, True)
            if not stale:
                return await self._catch_up(current, pages)
        return _join(pages)

    async def _catch_up(
        self,
        current: collections.abc.Sequence[Page],
        pages: collections.abc.Sequence[Page],
    ) -> objects.Listing:
        listed = _join(pages)
        try:
            while True:
                changes = await self.watch_after(
                    listed.version,
                    CATCH_UP_SECONDS,
                    self._limits(WATCH_SHARE),
                )
                listed = _with_changes(listed, changes)
                if not changes.is_partial:
                    return listed
        except (errors.WatchExpired, errors.StoreUnavailable):
            return _join(await self._read_pages(current, None, False))

    async def _read_pages(
        self,
        known: collections.abc.Sequence[Page],
        max_count: int | None,
        stale: bool,
    ) -> list[Page]:
        """Return the known pages and those that follow."""
        pages = list(known)
        while not pages or pages[-1].has_more:
            if max_count is not None and len(pages) >= max_count:
                break
            after = None
            if pages:
                if not pages[-1].objects:
                    raise objects.malformed_answer(
                        "no object of a page can be decoded"
                    )
                after = pages[-1].objects[-1].name
            pages.append(await self.read_page(after, stale, self._limits()))
        return pages

    def _limits(self, share: float = 1.0) -> objects.CallLimits:
        """Return the limits of the next call; raise StoreUnavailable."""
        left = share * (self._ends_at - self.read_clock())
        if left <= 0.0:
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE, "a list took too long"
            )
        seconds = min(self.limits.answer_seconds, left)
        return dataclasses.replace(self.limits, answer_seconds=seconds)


async def read(
    read_page: ReadPage,
    watch_after: WatchAfter,
    limits: objects.CallLimits,
    stale: bool,
    read_clock: clock.ReadClock = clock.monotonic,
) -> objects.Listing:
    """Return all objects; raise StoreUnavailable."""
    reader = _ListReader(read_page, watch_after, limits, read_clock)
    return await reader.read(stale)


def _join(pages: collections.abc.Sequence[Page]) -> objects.Listing:
    """Return the objects at a version whose later changes may be missing.

    Raises StoreUnavailable if the store came back from a copy meanwhile.
    """
    versions = [page.version for page in pages]
    if not eras.are_comparable(min(versions), max(versions)):
        raise errors.StoreUnavailable(
            error_codes.STORE_UNAVAILABLE, "the pages are of two eras"
        )
    return objects.Listing(
        min(versions),
        [item for page in pages for item in page.objects],
    )


def _with_changes(
    listed: objects.Listing, changes: objects.Listing
) -> objects.Listing:
    changed = {item.name for item in changes.objects}
    changed.update(changes.deleted)
    kept = [item for item in listed.objects if item.name not in changed]
    return objects.Listing(changes.version, [*kept, *changes.objects])
