"""Mirror all objects of one kind, from the object API or from peers.

A mirror holds the whole kind as of a version, so it can answer a peer that
is behind with just what changed since, as a watch of the object API would.
The few daemons that watch the object API so serve all others.
"""

import collections
import collections.abc
import dataclasses
from typing import Final

import msgspec

from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.membership import peer_service
from sycamoredale.object_api import objects

PATH_PREFIX: Final = "/peer/mirror/"
FETCH_SECONDS: Final = 2.0
MAX_DELETIONS_KEPT: Final = 1024


class Request(msgspec.Struct, frozen=True, array_like=True):
    """Ask for the changes after a version."""

    after: ids.ObjectVersion


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """Hold changes; `whole` tells that absent objects do not exist."""

    version: ids.ObjectVersion
    whole: bool
    objects: list[objects.StoredObject]
    deleted: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Hold what a mirror learnt in one step."""

    changed: list[objects.StoredObject]
    deleted: list[str]


OnChange = collections.abc.Callable[[Change], None]


@dataclasses.dataclass
class Mirror:
    """Hold the objects of a kind by name.

    `version` is that of the last change, or of the last time that the
    whole was read; `watched` is how far the object API has been seen to
    have no further change.
    """

    kind: str
    peers: peer_service.PeerService
    on_change: OnChange
    version: ids.ObjectVersion = objects.ABSENT
    watched: ids.ObjectVersion = objects.ABSENT
    by_name: dict[str, objects.StoredObject] = dataclasses.field(
        default_factory=dict
    )
    _deleted_at: collections.OrderedDict[str, ids.ObjectVersion] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )
    _complete_since: ids.ObjectVersion = objects.ABSENT

    def __post_init__(self) -> None:
        """Answer the requests of peers."""
        self.peers.register(PATH_PREFIX + self.kind, self._answer)

    async def poll(
        self, store: objects.ObjectStore, wait_seconds: float
    ) -> None:
        """Take over what the object API shows next.

        Raises StoreUnavailable; an older state than known changes nothing.
        """
        if self.watched == objects.ABSENT:
            self._take_whole(await store.list(self.kind))
            return
        try:
            listing = await store.watch(self.kind, self.watched, wait_seconds)
        except errors.WatchExpired:
            self._take_whole(await store.list(self.kind))
            return
        if listing.version >= self.watched:
            self._take(listing)

    async def fetch(self, peer: ids.DaemonId) -> None:
        """Take over what a peer has; raise ConnectionFailed or Broken."""
        request = msgspec.json.encode(Request(self.version))
        body = await self.peers.call(
            peer, PATH_PREFIX + self.kind, request, FETCH_SECONDS
        )
        answer = msgspec.json.decode(body, type=Answer)
        listing = objects.Listing(
            answer.version, answer.objects, answer.deleted
        )
        if answer.whole:
            self._take_whole(listing)
        elif answer.version > self.watched:
            self._take(listing)

    def _take_whole(self, listing: objects.Listing) -> None:
        if listing.version < self.watched:
            return
        present = {stored.name for stored in listing.objects}
        gone = [name for name in self.by_name if name not in present]
        self._take(objects.Listing(listing.version, listing.objects, gone))
        # What was deleted before is not known here, so a peer that is
        # behind this version needs the whole.
        self.version = max(self.version, listing.version)
        self._complete_since = listing.version
        self._deleted_at.clear()

    def _take(self, listing: objects.Listing) -> None:
        changed = [
            stored
            for stored in listing.objects
            if stored.version > self._known_version(stored.name)
        ]
        deleted = [
            name
            for name in listing.deleted
            if name in self.by_name
            and self.by_name[name].version <= listing.version
        ]
        for stored in changed:
            self.by_name[stored.name] = stored
            self._deleted_at.pop(stored.name, None)
            self.version = max(self.version, stored.version)
        for name in deleted:
            del self.by_name[name]
            self._remember_deletion(name, listing.version)
        self.watched = max(self.watched, listing.version)
        if changed or deleted:
            self.on_change(Change(changed, deleted))

    def _known_version(self, name: str) -> ids.ObjectVersion:
        stored = self.by_name.get(name)
        if stored is not None:
            return stored.version
        return self._deleted_at.get(name, objects.ABSENT)

    def _remember_deletion(
        self, name: str, version: ids.ObjectVersion
    ) -> None:
        self.version = max(self.version, version)
        self._deleted_at[name] = version
        while len(self._deleted_at) > MAX_DELETIONS_KEPT:
            _, forgotten = self._deleted_at.popitem(last=False)
            self._complete_since = max(self._complete_since, forgotten)

    async def _answer(self, body: bytes) -> bytes:
        after = msgspec.json.decode(body, type=Request).after
        whole = after < self._complete_since
        answer = Answer(
            version=self.version,
            whole=whole,
            objects=[
                stored
                for stored in self.by_name.values()
                if whole or stored.version > after
            ],
            deleted=[
                name
                for name, version in self._deleted_at.items()
                if version > after
            ],
        )
        return msgspec.json.encode(answer)
