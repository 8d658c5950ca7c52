"""Mirror all objects of one kind from the object API or from peers.

A mirror contains the complete kind as of a version.  It can therefore send a
peer only the changes since an older version, as a watch of the object API
does, so that the few daemons that watch the object API serve all others.
"""

import collections
import collections.abc
import dataclasses
from typing import Final

import msgspec

from sycamoredale import decoding
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.membership import peer_service
from sycamoredale.object_api import objects

PATH_PREFIX: Final = "/peer/mirror/"
FETCH_TIMEOUT_SECONDS: Final = 2.0
# An answer that is later than this is slower than a slow store.
WATCH_LIMITS: Final = objects.CallLimits(0.5, 0.5)
# Idle connections may be as silent as the one of a failed watch.
LIST_LIMITS: Final = objects.CallLimits(new_connection=True)
MAX_RECORDED_DELETIONS: Final = 1024


class Request(msgspec.Struct, frozen=True, array_like=True):
    """Ask for the changes after a version."""

    after_version: ids.ObjectVersion


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """Return changes, or all objects if `is_snapshot`.

    Objects that are missing from a snapshot do not exist.
    """

    version: ids.ObjectVersion
    is_snapshot: bool
    objects: list[objects.StoredObject]
    deleted: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """List the objects that one update of a mirror wrote or deleted."""

    updated: list[objects.StoredObject]
    deleted: list[str]


OnChange = collections.abc.Callable[[Change], None]


@dataclasses.dataclass
class Mirror:
    """Cache the objects of a kind by name.

    `version` is that of the last change or of the last snapshot.  Up to
    `watched_version`, the object API has no change that the mirror lacks.
    """

    kind: str
    peers: peer_service.PeerService
    on_change: OnChange
    version: ids.ObjectVersion = objects.ABSENT_VERSION
    watched_version: ids.ObjectVersion = objects.ABSENT_VERSION
    by_name: dict[str, objects.StoredObject] = dataclasses.field(
        default_factory=dict
    )
    _deleted_at: collections.OrderedDict[str, ids.ObjectVersion] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )
    _deletions_known_since: ids.ObjectVersion = objects.ABSENT_VERSION
    _must_list: bool = False

    def __post_init__(self) -> None:
        """Register the handler of requests from peers."""
        self.peers.register(PATH_PREFIX + self.kind, self._handle_request)

    async def poll(
        self, store: objects.ObjectStore, wait_seconds: float
    ) -> None:
        """List or watch the object API and apply the changes.

        Raises StoreUnavailable.  State older than the mirror is ignored.
        After a failure the kind is listed, since a watch may miss changes
        without an answer that says so.
        """
        if self._must_list or self.watched_version == objects.ABSENT_VERSION:
            await self._list(store)
            return
        self._must_list = True
        try:
            listing = await store.watch(
                self.kind, self.watched_version, wait_seconds, WATCH_LIMITS
            )
        except errors.WatchExpired:
            await self._list(store)
            return
        self._must_list = False
        if listing.version >= self.watched_version:
            self._apply_changes(listing)

    async def _list(self, store: objects.ObjectStore) -> None:
        listing = await store.list(self.kind, LIST_LIMITS)
        self._must_list = False
        self._apply_snapshot(listing)

    async def fetch(self, peer: ids.DaemonId) -> None:
        """Apply the changes that a peer has.

        Raises ConnectionFailed and ConnectionBroken.
        """
        request = msgspec.json.encode(Request(self.version))
        body = await self.peers.call(
            peer, PATH_PREFIX + self.kind, request, FETCH_TIMEOUT_SECONDS
        )
        answer = decoding.decode_json(body, Answer)
        listing = objects.Listing(
            answer.version, answer.objects, answer.deleted
        )
        if answer.is_snapshot:
            self._apply_snapshot(listing)
        elif answer.version > self.watched_version:
            self._apply_changes(listing)

    def _apply_snapshot(self, listing: objects.Listing) -> None:
        if listing.version < self.watched_version:
            return
        present = {stored.name for stored in listing.objects}
        deleted = [name for name in self.by_name if name not in present]
        self._apply_changes(
            objects.Listing(listing.version, listing.objects, deleted)
        )
        # Deletions before this version were not observed, so a peer with
        # an older version needs a snapshot.
        self.version = max(self.version, listing.version)
        self._deletions_known_since = listing.version
        self._deleted_at.clear()

    def _apply_changes(self, listing: objects.Listing) -> None:
        updated = [
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
        for stored in updated:
            self.by_name[stored.name] = stored
            self._deleted_at.pop(stored.name, None)
            self.version = max(self.version, stored.version)
        for name in deleted:
            del self.by_name[name]
            self._record_deletion(name, listing.version)
        self.watched_version = max(self.watched_version, listing.version)
        if updated or deleted:
            self.on_change(Change(updated, deleted))

    def _known_version(self, name: str) -> ids.ObjectVersion:
        stored = self.by_name.get(name)
        if stored is not None:
            return stored.version
        return self._deleted_at.get(name, objects.ABSENT_VERSION)

    def _record_deletion(self, name: str, version: ids.ObjectVersion) -> None:
        self.version = max(self.version, version)
        self._deleted_at[name] = version
        while len(self._deleted_at) > MAX_RECORDED_DELETIONS:
            _, dropped_version = self._deleted_at.popitem(last=False)
            self._deletions_known_since = max(
                self._deletions_known_since, dropped_version
            )

    async def _handle_request(self, body: bytes) -> bytes:
        after_version = decoding.decode_json(body, Request).after_version
        is_snapshot = after_version < self._deletions_known_since
        answer = Answer(
            version=self.version,
            is_snapshot=is_snapshot,
            objects=[
                stored
                for stored in self.by_name.values()
                if is_snapshot or stored.version > after_version
            ],
            deleted=[
                name
                for name, version in self._deleted_at.items()
                if version > after_version
            ],
        )
        return msgspec.json.encode(answer)
