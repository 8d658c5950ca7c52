"""Tell peers what was seen of a kind of objects, so that one watches for all.

The holder of the lease on the groups watches the store closely and passes
on what it sees, with the versions between which it was seen.  A peer that
knows the earlier version takes the changes over, and need not ask the store
while such words are young; one that missed a change asks for itself.  The
store alone decides what is true: this saves calls, and nothing is agreed on.
"""

import dataclasses
from typing import Final
import zlib

import msgspec

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.object_api import objects

# Datagrams are lost now and then, three in a row rarely.
SENDS_PER_CHANGE: Final = 3
# Half of the largest datagram, when compressed; the rest is for the load of
# the endpoints.  Peers ask the store themselves for what is larger.
MAX_BYTES: Final = 4096
# The entries of instances are alike; more effort gains little.
COMPRESSION_LEVEL: Final = 1
# Far more than compresses to the above; bounds what a datagram can cost.
MAX_UNPACKED_BYTES: Final = 64 * MAX_BYTES


class Change(msgspec.Struct, array_like=True, frozen=True):
    """Hold what is new between two versions: (name, version, value)."""

    base_version: ids.ObjectVersion
    version: ids.ObjectVersion
    updated: list[tuple[str, ids.ObjectVersion, bytes]] = []
    deleted: list[str] = []

    @property
    def is_empty(self) -> bool:
        """Tell whether the version alone has grown."""
        return not self.updated and not self.deleted

    def to_listing(self) -> objects.Listing:
        """Return it as a watch would."""
        return objects.Listing(
            self.version,
            [
                objects.StoredObject(name, version, msgspec.Raw(value))
                for name, version, value in self.updated
            ],
            self.deleted,
        )


class KindUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Tell up to which version a kind was known some time ago, and how.

    The changes are packed; who knows the version already leaves them so.
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
            raise ValueError(f"the changes are not packed: {error}") from error
        return _DECODER.decode(data)


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(list[Change])


@dataclasses.dataclass
class UpdatePublisher:
    """Keep the last changes of one kind until they were told."""

    _version: ids.ObjectVersion = objects.ABSENT
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
        """Take note of what a list or a watch since a version has shown."""
        self._known_at = known_at
        if before == objects.ABSENT or before != self._version:
            self._pending.clear()
        elif seen.version > before:
            self._append(_change(before, seen))
        self._version = seen.version

    def reset(self) -> None:
        """Tell nothing more until the kind was listed again."""
        self._known_at = None
        self._version = objects.ABSENT

    def take_update(
        self, kind: str, now: clock.MonotonicTime
    ) -> KindUpdate | None:
        """Return what is told now, None while nothing is known."""
        if self._known_at is None:
            return None
        packed = self._pack()
        self._pending = [
            (c, left - 1) for c, left in self._pending if left > 1
        ]
        age_ms = int(1000 * (now - self._known_at)) + 1
        return KindUpdate(kind, self._version, age_ms, packed)

    def _append(self, change: Change) -> None:
        last = self._pending[-1][0] if self._pending else None
        if last is not None and last.is_empty and change.is_empty:
            # The version grows with each change of any other kind.
            self._pending.pop()
            change = Change(last.base_version, change.version)
        self._pending.append((change, SENDS_PER_CHANGE))

    def _pack(self) -> bytes:
        """Return as many of the last changes as there is room for."""
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
