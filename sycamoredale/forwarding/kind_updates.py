"""Send changes of a kind of objects to peers, so that they need not watch it.

The holder of the lease on the groups watches the store with short waits, and
sends each change with the versions before and after it.  A peer that has the
version before applies the change, and does not call the store while it has
recent updates; a peer that missed a change calls the store itself.  Only the
store is authoritative: the updates save calls, and need no consensus.
"""

import dataclasses
from typing import Final
import zlib

import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import ids
from sycamoredale.object_api import eras
from sycamoredale.object_api import objects

# Single datagrams are lost now and then, three in a row rarely.
SENDS_PER_CHANGE: Final = 3
# Compressed size: half of the largest datagram, since the load of the
# endpoints needs the rest.  Larger changes are not sent, and peers call the
# store.
MAX_BYTES: Final = 4096
# Entries of instances are so similar that higher levels gain little.
COMPRESSION_LEVEL: Final = 1
# Limits the memory that a malformed datagram can take.  Real changes that
# compress to MAX_BYTES are far smaller.
MAX_UNPACKED_BYTES: Final = 64 * MAX_BYTES


class Change(msgspec.Struct, array_like=True, frozen=True):
    """Describe what changed in a kind between two versions.

    `updated` has the name, version and value of each new or changed object.
    """

    base_version: ids.ObjectVersion
    version: ids.ObjectVersion
    updated: list[tuple[str, ids.ObjectVersion, bytes]] = []
    deleted: list[str] = []

    @property
    def is_empty(self) -> bool:
        """Return whether only the version has changed."""
        return not self.updated and not self.deleted

    def to_listing(self) -> objects.Listing:
        """Return the change as a watch of the store returns it."""
        return objects.Listing(
            self.version,
            [
                objects.StoredObject(name, version, msgspec.Raw(value))
                for name, version, value in self.updated
            ],
            self.deleted,
        )


class KindUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Carry the newest version of a kind and the changes that led to it.

    The version was the newest one `age_ms` ago.  The changes are compressed,
    and not unpacked by a peer that has the version already.
    """

    kind: str
    version: ids.ObjectVersion
    age_ms: int
    packed: bytes = b""

    def unpack_changes(self) -> list[Change]:
        """Return the last changes; raise ValueError if they are malformed."""
        if not self.packed:
            return []
        unpacker = zlib.decompressobj()
        try:
            data = unpacker.decompress(self.packed, MAX_UNPACKED_BYTES)
        except zlib.error as error:
            raise ValueError(
                f"changes of kind {self.kind!r} cannot be unpacked: {error}"
            ) from error
        return _DECODER.decode(data)


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = decoding.MessagePackDecoder(list[Change])


@dataclasses.dataclass
class UpdatePublisher:
    """Queue each change of one kind for SENDS_PER_CHANGE updates."""

    _version: ids.ObjectVersion = objects.ABSENT_VERSION
    _known_at: clock.MonotonicTime | None = None
    _pending: list[tuple[Change, int]] = dataclasses.field(
        default_factory=list
    )

    def record(
        self,
        before: ids.ObjectVersion,
        seen: objects.Listing,
        known_at: clock.MonotonicTime,
    ) -> None:
        """Record what has changed since a version.

        `known_at` is when `seen` led to the newest state of the store.
        """
        self._known_at = known_at
        if before != self._version:
            self._pending.clear()
        # Changes since a former era are not known, so peers list the kind.
        is_known = eras.are_comparable(before, seen.version)
        if is_known and objects.ABSENT_VERSION < before < seen.version:
            self._append(_change(before, seen))
        self._version = seen.version

    def suspend(self) -> None:
        """Send no updates until another result is recorded."""
        self._known_at = None

    def take_update(
        self, kind: str, now: clock.MonotonicTime
    ) -> KindUpdate | None:
        """Return the next update and count its changes as sent.

        Returns None while no version is known.
        """
        if self._known_at is None:
            return None
        packed = self._pack()
        self._pending = [
            (c, sends_left - 1)
            for c, sends_left in self._pending
            if sends_left > 1
        ]
        age_ms = int(1000 * (now - self._known_at)) + 1
        return KindUpdate(kind, self._version, age_ms, packed)

    def _append(self, change: Change) -> None:
        last = self._pending[-1][0] if self._pending else None
        if last is not None and last.is_empty and change.is_empty:
            # Changes of other kinds raise the version as well; successive
            # changes of only the version are merged.
            self._pending.pop()
            change = Change(last.base_version, change.version)
        self._pending.append((change, SENDS_PER_CHANGE))

    def _pack(self) -> bytes:
        """Return the compressed changes; drop the oldest until they fit."""
        while self._pending:
            data = _ENCODER.encode([change for change, _ in self._pending])
            packed = zlib.compress(data, COMPRESSION_LEVEL)
            if len(packed) <= MAX_BYTES:
                return packed
            del self._pending[0]
        return b""


def _change(before: ids.ObjectVersion, seen: objects.Listing) -> Change:
    return Change(
        before,
        seen.version,
        [(o.name, o.version, bytes(o.value)) for o in seen.objects],
        seen.deleted,
    )
