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
from sycamoredale.object_api import paged_lists

# Rises by one each time the store comes back from an older copy.
_ERA: Final = "Store-Era"
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
class PlatformStore(objects.ObjectStore):
    """Call the store at one address."""

    async def get(self, kind: str, name: str) -> objects.StoredObject | None:
        """Return an object or None; raise StoreUnavailable."""
        response = await self._read(budget.CallKind.READ, _path(kind, name))
        if response.status == 404:
            return None
        return self._stored(objects.decode_body(response, _Object))

    async def list(
        self,
        kind: str,
        limits: objects.CallLimits = objects.DEFAULT_LIMITS,
        stale: bool = False,
    ) -> objects.Listing:
        """Return all objects of a kind; raise StoreUnavailable.

        A stale list costs the store less and may be seconds old.
        """

        async def read_page(
            after: str | None, stale: bool, limits: objects.CallLimits
        ) -> paged_lists.Page:
            query = {"allow_stale": "1"} if stale else {}
            query |= {"after": after} if after is not None else {}
            target = _path(kind) + _query(**query)
            response = await self._read(budget.CallKind.LIST, target, limits)
            page = objects.decode_list(response, _PAGE_DECODER)
            items = objects.decode_each(page.items, _OBJECT_DECODER, kind)
            return paged_lists.Page(
                self.eras.version(page.at),
                [self._stored(item) for item in items],
                page.has_more,
            )

        return await paged_lists.read(
            read_page,
            functools.partial(self.watch, kind),
            limits,
            stale,
        )

    async def watch(
        self,
        kind: str,
        after: ids.ObjectVersion,
        wait_seconds: float,
        limits: objects.CallLimits = objects.DEFAULT_LIMITS,
    ) -> objects.Listing:
        """Wait for changes after a version; raise as ObjectStore.watch."""
        revision = self.eras.revision_to_watch(after)
        query = _query(watch=revision, wait_ms=int(wait_seconds * 1000))
        response = await self._read(
            budget.CallKind.WATCH, _path(kind) + query, limits, wait_seconds
        )
        if response.status == 410:
            raise errors.WatchExpired(
                error_codes.WATCH_EXPIRED,
                f"the store no longer has changes of {kind} after {after}",
            )
        self.eras.revision_to_watch(after)
        events = objects.decode_list(response, _EVENTS_DECODER)
        # Of an object deleted and recreated, only the last event counts.
        last = {
            e.object.metadata.name: e
            for e in objects.decode_each(events.events, _EVENT_DECODER, kind)
        }
        return objects.Listing(
            self.eras.version(events.at),
            [self._stored(e.object) for e in last.values() if not e.deleted],
            [name for name, e in last.items() if e.deleted],
            is_partial=len(events.events) >= objects.MIN_PAGE_OBJECTS,
        )

    async def put(
        self, kind: str, name: str, value: bytes, expected: ids.ObjectVersion
    ) -> ids.ObjectVersion:
        """Replace the expected version; raise as ObjectStore.put."""
        body = {"metadata": {"name": name}, "spec": msgspec.Raw(value)}
        if expected == objects.ABSENT_VERSION:
            request = messages.json_request("POST", _path(kind), body)
        else:
            revision = self.eras.revision_to_replace(expected)
            body["metadata"] = {"name": name, "rev": revision}
            request = messages.json_request("PUT", _path(kind, name), body)
        response = await self._write(request)
        if expected != objects.ABSENT_VERSION:
            self.eras.revision_to_replace(expected)
        return self._stored(objects.decode_body(response, _Object)).version

    async def delete(
        self, kind: str, name: str, expected: ids.ObjectVersion
    ) -> None:
        """Delete an object at the expected version; raise as `put`."""
        revision = self.eras.revision_to_replace(expected)
        target = _path(kind, name) + _query(rev=revision)
        await self._write(messages.Request("DELETE", target))

    def _era_text(self, response: messages.Response) -> str | None:
        return response.headers.get(_ERA)

    def _stored(self, item: _Object) -> objects.StoredObject:
        version = self.eras.version(item.metadata.rev)
        return objects.StoredObject(item.metadata.name, version, item.spec)


def _query(**fields: object) -> str:
    return f"?{urllib.parse.urlencode(fields)}" if fields else ""
