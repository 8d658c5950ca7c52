"""Store objects in memory behind the interface of the object API."""

import collections
import dataclasses
import enum

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.object_api import objects


class Fault(enum.Enum):
    """Enumerate what may happen to a write."""

    NONE = "none"
    ANSWER_LOST = "answer_lost"
    WRITE_LOST = "write_lost"
    WRITE_LATE = "write_late"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True)
class Write:
    """Describe a write; a late one takes effect after its answer is lost."""

    name: str
    value: bytes
    expected: int


class MemoryStore(objects.ObjectStore):
    """Version objects as the object API does; apply faults to writes."""

    def __init__(self) -> None:
        """Start empty."""
        super().__init__(messages.Address("127.0.0.1", 1), client.Pool())
        self.by_name: dict[str, tuple[int, bytes]] = {}
        self.faults: collections.deque[Fault] = collections.deque()
        self.late: list[Write] = []
        self.down = False
        self.writes = 0
        self._version = 0

    async def get(self, kind, name):
        """Return an object or None."""
        self._check_up()
        if name not in self.by_name:
            return None
        version, value = self.by_name[name]
        return objects.StoredObject(name, version, value)

    async def list(self, kind, limits=None, stale=False):
        """Return all objects."""
        self._check_up()
        found = [
            objects.StoredObject(name, version, value)
            for name, (version, value) in self.by_name.items()
        ]
        return objects.Listing(self._version, found)

    async def delete(self, kind, name, expected):
        """Delete an object at the expected version."""
        self._check_up()
        if self.by_name.get(name, (0, b""))[0] != expected:
            raise errors.VersionConflict(
                error_codes.VERSION_CONFLICT, "another version"
            )
        self._version += 1
        del self.by_name[name]

    async def put(self, kind, name, value, expected):
        """Write on the expected version, subject to the next fault."""
        self._check_up()
        self.writes += 1
        write = Write(name, value, expected)
        match self.faults.popleft() if self.faults else Fault.NONE:
            case Fault.NONE:
                return self._apply(write)
            case Fault.REFUSED:
                raise _unavailable()
            case Fault.ANSWER_LOST:
                try:
                    self._apply(write)
                except errors.VersionConflict:
                    pass  # The answer that reports it is lost as well.
            case Fault.WRITE_LATE:
                self.late.append(write)
        raise errors.OutcomeUnknown(error_codes.OUTCOME_UNKNOWN, "lost")

    def deliver_late(self) -> None:
        """Apply the late writes in the order in which they were sent."""
        for write in self.late:
            try:
                self._apply(write)
            except errors.VersionConflict:
                pass  # Another write was applied before.
        self.late.clear()

    def _apply(self, write: Write) -> int:
        version, _ = self.by_name.get(write.name, (0, b""))
        if version != write.expected:
            raise errors.VersionConflict(
                error_codes.VERSION_CONFLICT, "another version"
            )
        self._version += 1
        self.by_name[write.name] = (self._version, write.value)
        return self._version

    def _check_up(self) -> None:
        if self.down:
            raise _unavailable()


def _unavailable() -> errors.StoreUnavailable:
    return errors.StoreUnavailable(error_codes.STORE_UNAVAILABLE, "down")
