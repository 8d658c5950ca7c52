"""Keep objects in memory and lose, delay or refuse writes on request."""

import collections.abc
import dataclasses
import enum

import msgspec

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.object_api import objects


class Fate(enum.Enum):
    """Name what becomes of a write."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer lost"
    LOST = "lost"
    DELAYED = "delayed"
    REFUSED = "refused"


@dataclasses.dataclass
class FakeStore(objects.ObjectStore):
    """Stand in for the object API inside one process."""

    address: messages.Address = messages.Address("127.0.0.1", 0)
    pool: client.Pool = dataclasses.field(default_factory=client.Pool)
    by_name: dict[str, objects.StoredObject] = dataclasses.field(
        default_factory=dict
    )
    fate: Fate = Fate.ANSWERED
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

    async def list(self, kind: str) -> objects.Listing:
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
        """Write an object, or let the write meet its fate."""
        fate, self.fate = self.fate, Fate.ANSWERED
        if self.down or fate is Fate.REFUSED:
            raise _unavailable()
        path = f"{kind}/{name}"
        if fate is Fate.DELAYED:
            self.delayed.append((path, value, expected))
        elif fate is not Fate.LOST:
            self._write(path, value, expected)
        self.on_effect()
        if fate is Fate.ANSWERED:
            return ids.ObjectVersion(self.version)
        raise errors.OutcomeUnknown(error_codes.OUTCOME_UNKNOWN, "lost")

    def arrive(self) -> None:
        """Let the delayed writes take effect, in their order."""
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
        if expected != (current.version if current else objects.ABSENT):
            raise errors.VersionConflict(error_codes.VERSION_CONFLICT, path)
        self.version += 1
        self.by_name[path] = objects.StoredObject(
            path.partition("/")[2],
            ids.ObjectVersion(self.version),
            msgspec.Raw(value),
        )


def _unavailable() -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        error_codes.STORE_UNAVAILABLE, "down on purpose"
    )
