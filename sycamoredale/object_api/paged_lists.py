"""Read lists that the store divides into pages.

Of a long list that must be current, only the first page is read as such.  The
others may be seconds old, which costs the store less, and the changes since
the oldest page are applied to them.
"""

import collections.abc
import dataclasses
import typing
from typing import Final

from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.object_api import objects

# A watch for what has changed already.
CATCH_UP_SECONDS: Final = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Hold the readable objects of a page."""

    version: ids.ObjectVersion
    objects: collections.abc.Sequence[objects.StoredObject]
    has_more: bool


class ReadPage(typing.Protocol):
    """Read the page after a name."""

    def __call__(
        self, after: str | None, stale: bool
    ) -> collections.abc.Awaitable[Page]:
        """Return the first page after None; raise StoreUnavailable."""


# Returns the changes after a version; raises as ObjectStore.watch.
WatchAfter = collections.abc.Callable[
    [ids.ObjectVersion, float], collections.abc.Awaitable[objects.Listing]
]


async def read(
    read_page: ReadPage, watch_after: WatchAfter, stale: bool
) -> objects.Listing:
    """Return all objects; raise StoreUnavailable."""
    pages = await _read_pages(read_page, stale, later_stale=True)
    if stale or len(pages) == 1:
        return _join(pages)
    version = _join(pages).version
    try:
        changes = await watch_after(version, CATCH_UP_SECONDS)
    except errors.WatchExpired:
        return _join(await _read_pages(read_page, stale, later_stale=False))
    return _with_changes(_join(pages), changes)


async def _read_pages(
    read_page: ReadPage, first_stale: bool, later_stale: bool
) -> list[Page]:
    pages = [await read_page(None, first_stale)]
    while pages[-1].has_more:
        if not pages[-1].objects:
            raise objects.malformed_answer(
                "no object of a page can be decoded"
            )
        after = pages[-1].objects[-1].name
        pages.append(await read_page(after, later_stale))
    return pages


def _join(pages: collections.abc.Sequence[Page]) -> objects.Listing:
    """Return the objects at a version whose later changes may be missing."""
    return objects.Listing(
        min(page.version for page in pages),
        [item for page in pages for item in page.objects],
    )


def _with_changes(
    listed: objects.Listing, changes: objects.Listing
) -> objects.Listing:
    changed = {item.name for item in changes.objects}
    changed.update(changes.deleted)
    kept = [item for item in listed.objects if item.name not in changed]
    return objects.Listing(changes.version, [*kept, *changes.objects])
