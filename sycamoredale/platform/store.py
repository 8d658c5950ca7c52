"""Implement the object API on top of the platform's store.

An object's revision in the store is its object version, and its specification
is the stored value.  Other writers may leave an object that cannot be decoded:
it is skipped, so that the others of its kind are still known.
"""

import dataclasses
import functools
from typing import Final
import urllib.parse

import msgspec

from sycamoredale import decoding
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.object_api import budget
from sycamoredale.object_api import objects
from sycamoredale.observability import logs

# A watch for what has changed already.
CATCH_UP_SECONDS: Final = 0.001
LOG: Final = logs.get("platform.store")
_path = functools.partial(objects.object_path, "/v1/objects")


class _Metadata(msgspec.Struct):
    name: str
    rev: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct):
    # Revision of the store at this page, from which a watch continues.
    at: decoding.Count
    items: list[msgspec.Raw]
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    at: decoding.Count
    events: list[msgspec.Raw] = []


_PAGE_DECODER: Final = decoding.JsonDecoder(_Page)
_EVENTS_DECODER: Final = decoding.JsonDecoder(_Events)
_OBJECT_DECODER: Final = decoding.JsonDecoder(_Object)
_EVENT_DECODER: Final = decoding.JsonDecoder(_Event)


@dataclasses.dataclass
class _Pages:
    """Collect the pages of a list.

    `version` is one whose later changes may be missing.
    """

    kind: str
    version: ids.ObjectVersion = objects.ABSENT_VERSION
    count: int = 0
    is_complete: bool = False
    last_name: str | None = None
    found: list[objects.StoredObject] = dataclasses.field(default_factory=list)

    def add(self, page: _Page) -> None:
        """Add the next page; raise StoreUnavailable."""
        items = list(
            objects.decode_each(page.items, _OBJECT_DECODER, self.kind)
        )
        self.found.extend(map(_stored, items))
        version = ids.ObjectVersion(page.at)
        self.version = min(self.version, version) if self.count else version
        self.count += 1
        self.is_complete = not page.has_more
        if page.has_more:
            if not items:
                raise objects.malformed_answer(
                    "no object of a page can be decoded"
                )
            self.last_name = items[-1].metadata.name

    def to_listing(self) -> objects.Listing:
        """Return the list of these pages."""
        return objects.Listing(self.version, self.found)

    def with_changes(self, changes: objects.Listing) -> objects.Listing:
        """Return the list after changes since its version."""
        changed = {item.name for item in changes.objects}
        changed.update(changes.deleted)
        kept = [item for item in self.found if item.name not in changed]
        return objects.Listing(changes.version, [*kept, *changes.objects])


@dataclasses.dataclass
class PlatformStore(objects.ObjectStore):
    """Call the store at one address."""

    async def get(self, kind: str, name: str) -> objects.StoredObject | None:
        """Return an object or None; raise StoreUnavailable."""
        response = await self._read(budget.CallKind.READ, _path(kind, name))
        if response.status == 404:
            return None
        return _stored(objects.decode_body(response, _Object))

    async def list(
        self,
        kind: str,
        limits: objects.CallLimits = objects.DEFAULT_LIMITS,
        stale: bool = False,
    ) -> objects.Listing:
        """Return all objects of a kind; raise StoreUnavailable.

        A stale list costs the store less and may be seconds old.  Of a long
        list that must be current, the pages after the first one are read as
        stale ones, and the changes since then are applied to them.
        """
        pages = _Pages(kind)
        while not pages.is_complete:
            is_stale = stale or pages.count > 0
            await self._read_page(pages, limits, is_stale)
        if stale or pages.count == 1:
            return pages.to_listing()
        try:
            changes = await self.watch(
                kind, pages.version, CATCH_UP_SECONDS, limits
            )
        except errors.WatchExpired:
            return await self._list_current(kind, limits)
        return pages.with_changes(changes)

    async def _list_current(
        self, kind: str, limits: objects.CallLimits
    ) -> objects.Listing:
        pages = _Pages(kind)
        while not pages.is_complete:
            await self._read_page(pages, limits, stale=False)
        return pages.to_listing()

    async def _read_page(
        self, pages: "_Pages", limits: objects.CallLimits, stale: bool
    ) -> None:
        query = {"allow_stale": "1"} if stale else {}
        if pages.last_name is not None:
            query["after"] = pages.last_name
        target = _path(pages.kind) + _query(query)
        response = await self._read(budget.CallKind.LIST, target, limits)
        pages.add(objects.decode_list(response, _PAGE_DECODER))

    async def watch(
        self,
        kind: str,
        after: ids.ObjectVersion,
        wait_seconds: float,
        limits: objects.CallLimits = objects.DEFAULT_LIMITS,
    ) -> objects.Listing:
        """Wait for changes after a version; raise as ObjectStore.watch."""
        query = {"watch": str(after), "wait_ms": str(int(wait_seconds * 1000))}
        response = await self._read(
            budget.CallKind.WATCH,
            _path(kind) + _query(query),
            limits,
            wait_seconds,
        )
        if response.status == 410:
            raise errors.WatchExpired(
                error_codes.WATCH_EXPIRED,
                f"the store no longer has changes of {kind} after {after}",
            )
        events = objects.decode_list(response, _EVENTS_DECODER)
        # Of an object deleted and recreated, only the last event counts.
        last = {
            e.object.metadata.name: e
            for e in objects.decode_each(events.events, _EVENT_DECODER, kind)
        }
        return objects.Listing(
            ids.ObjectVersion(events.at),
            [_stored(e.object) for e in last.values() if not e.deleted],
            [name for name, e in last.items() if e.deleted],
        )

    async def put(
        self, kind: str, name: str, value: bytes, expected: ids.ObjectVersion
    ) -> ids.ObjectVersion:
        """Replace the expected version; raise as ObjectStore.put."""
        body = {"metadata": {"name": name}, "spec": msgspec.Raw(value)}
        if expected == objects.ABSENT_VERSION:
            request = messages.json_request("POST", _path(kind), body)
        else:
            body["metadata"] = {"name": name, "rev": expected}
            request = messages.json_request("PUT", _path(kind, name), body)
        response = await self._write(request)
        written = objects.decode_body(response, _Object)
        return ids.ObjectVersion(written.metadata.rev)

    async def delete(
        self, kind: str, name: str, expected: ids.ObjectVersion
    ) -> None:
        """Delete an object at the expected version; raise as `put`."""
        target = _path(kind, name) + _query({"rev": str(expected)})
        await self._write(messages.Request("DELETE", target))


def _query(fields: dict[str, str]) -> str:
    return f"?{urllib.parse.urlencode(fields)}" if fields else ""


def _stored(item: _Object) -> objects.StoredObject:
    return objects.StoredObject(
        item.metadata.name, ids.ObjectVersion(item.metadata.rev), item.spec
    )
