"""Store objects in memory and lose, delay or refuse writes on request."""

import collections.abc
import dataclasses
import enum

import msgspec

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.object_api import eras
from sycamoredale.object_api import objects


class WriteOutcome(enum.Enum):
    """Enumerate what may happen to a write and its answer."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer lost"
    LOST = "lost"
    DELAYED = "delayed"
    REFUSED = "refused"


@dataclasses.dataclass
class FakeStore(objects.ObjectStore):
    """Replace the object API by one in memory.

    `write_outcome` applies to the next write only.
    """

    address: messages.Address = messages.Address("127.0.0.1", 0)
    pool: client.Pool = dataclasses.field(default_factory=client.Pool)
    by_name: dict[str, objects.StoredObject] = dataclasses.field(
        default_factory=dict
    )
    write_outcome: WriteOutcome = WriteOutcome.ANSWERED
    delayed: list[tuple[str, bytes, ids.ObjectVersion]] = dataclasses.field(
        default_factory=list
    )
    version: int = 0
    down: bool = False
    on_effect: collections.abc.Callable[[], None] = lambda: None

    async def get(self, kind: str, name: str) -> objects.StoredObject | None:
        """Return an object or None."""
        if self.down:
            raise _unavailable()
        return self.by_name.get(f"{kind}/{name}")

    async def list(self, kind: str, stale: bool = False) -> objects.Listing:
        """Return all objects of a kind."""
        if self.down:
            raise _unavailable()
        found = [
            stored
            for name, stored in self.by_name.items()
            if name.startswith(f"{kind}/")
        ]
        return objects.Listing(ids.ObjectVersion(self.version), found)

    async def put(
        self, kind: str, name: str, value: bytes, expected: ids.ObjectVersion
    ) -> ids.ObjectVersion:
        """Write on the expected version, subject to `write_outcome`."""
        outcome, self.write_outcome = (
            self.write_outcome,
            WriteOutcome.ANSWERED,
        )
        if self.down or outcome is WriteOutcome.REFUSED:
            raise _unavailable()
        path = f"{kind}/{name}"
        if outcome is WriteOutcome.DELAYED:
            self.delayed.append((path, value, expected))
        elif outcome is not WriteOutcome.LOST:
            self._write(path, value, expected)
        self.on_effect()
        if outcome is WriteOutcome.ANSWERED:
            return ids.ObjectVersion(self.version)
        raise errors.OutcomeUnknown(error_codes.OUTCOME_UNKNOWN, "lost")

    def take_copy(self) -> tuple[int, dict[str, objects.StoredObject]]:
        """Return a copy of the state, for a drill."""
        return self.version, dict(self.by_name)

    def roll_back(
        self, copy: tuple[int, dict[str, objects.StoredObject]]
    ) -> None:
        """Go on from a copy in the next era, of which all daemons know."""
        if self.eras.current == eras.UNKNOWN_ERA:
            self.eras.record_answer("1")
        self.eras.record_answer(str(self.eras.current + 1))
        self.version = self._in_this_era(copy[0])
        self.by_name = {
            path: msgspec.structs.replace(
                stored, version=self._in_this_era(stored.version)
            )
            for path, stored in copy[1].items()
        }

    def _in_this_era(self, version: int) -> ids.ObjectVersion:
        return self.eras.version(version % eras.REVISIONS_PER_ERA)

    def deliver_delayed(self) -> None:
        """Apply the delayed writes in the order in which they were sent."""
        for path, value, expected in self.delayed:
            try:
                self._write(path, value, expected)
            except errors.VersionConflict:
                continue
        self.delayed.clear()

    def _write(
        self, path: str, value: bytes, expected: ids.ObjectVersion
    ) -> None:
        current = self.by_name.get(path)
        if expected != (
            current.version if current else objects.ABSENT_VERSION
        ):
            raise errors.VersionConflict(error_codes.VERSION_CONFLICT, path)
        self.version += 1
        self.by_name[path] = objects.StoredObject(
            path.partition("/")[2],
            ids.ObjectVersion(self.version),
            msgspec.Raw(value),
        )


def _unavailable() -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        error_codes.STORE_UNAVAILABLE, "the store is down in this test"
    )
