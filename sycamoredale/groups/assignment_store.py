"""Cache the assignments of all domains and write them to the object store.

The object of a domain is replaced only if it still has the version that was
read, and each write has a unique id.  If the answer to a write is lost, the
object is read again: it either has the id of the write, or the next round
starts from its present content.
"""

import dataclasses
from typing import Final
import uuid

import curio
import msgspec

from sycamoredale import decoding
from sycamoredale import errors
from sycamoredale.groups import model
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.observability import logs

WATCH_TIMEOUT_SECONDS: Final = 10.0
RETRY_SECONDS: Final = 0.5
LOG: Final = logs.get("groups.assignments")


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedAssignment:
    """Combine an assignment with the version of its object."""

    version: ids.ObjectVersion
    assignment: model.Assignment


@dataclasses.dataclass
class AssignmentStore:
    """Cache assignments by domain and count their changes.

    `synced` is true once all assignments have been read.
    """

    store: objects.ObjectStore
    by_domain: dict[ids.DomainName, VersionedAssignment] = dataclasses.field(
        default_factory=dict
    )
    synced: bool = False
    changes: int = 0

    async def follow(self) -> None:
        """List and then watch the assignments of all domains, forever."""
        version = objects.ABSENT_VERSION
        while True:
            try:
                listing = await self._read_changes(version)
            except errors.StoreUnavailable as error:
                LOG.warning("store_unavailable", reason=error.message)
                await curio.sleep(RETRY_SECONDS)
                continue
            version = max(version, listing.version)
            for stored in listing.objects:
                self.apply(stored)
            self.synced = True

    async def refresh(self, domain: ids.DomainName) -> VersionedAssignment:
        """Read the assignment of a domain from the store.

        Raises StoreUnavailable.
        """
        stored = await self.store.get(model.ASSIGNMENT_KIND, domain)
        if stored is not None:
            self.apply(stored)
        return self.get(domain)

    async def write(
        self, assignment: model.Assignment, expected: ids.ObjectVersion
    ) -> VersionedAssignment:
        """Replace an assignment and return the stored one.

        Raises VersionConflict, StoreUnavailable or OutcomeUnknown; the
        caller has to refresh before it plans again.
        """
        stamped = msgspec.structs.replace(
            assignment, write_id=ids.WriteId(uuid.uuid4().hex)
        )
        try:
            version = await self.store.put(
                model.ASSIGNMENT_KIND,
                stamped.domain,
                msgspec.json.encode(stamped),
                expected,
            )
        except errors.OutcomeUnknown:
            cached = await self.refresh(stamped.domain)
            if cached.assignment.write_id != stamped.write_id:
                raise
            return cached
        cached = VersionedAssignment(version, stamped)
        self._replace_if_newer(cached)
        return cached

    def get(self, domain: ids.DomainName) -> VersionedAssignment:
        """Return the cached assignment of a domain, empty if there is none."""
        nothing = VersionedAssignment(
            objects.ABSENT_VERSION, model.Assignment(domain)
        )
        return self.by_domain.get(domain, nothing)

    def all_except(self, domain: ids.DomainName) -> list[model.Assignment]:
        """Return the assignments of all other domains."""
        return [
            cached.assignment
            for name, cached in sorted(self.by_domain.items())
            if name != domain
        ]

    def apply(self, stored: objects.StoredObject) -> None:
        """Cache a stored object unless the cached one is newer."""
        assignment = decoding.decode_json(stored.value, model.Assignment)
        self._replace_if_newer(VersionedAssignment(stored.version, assignment))

    async def _read_changes(
        self, version: ids.ObjectVersion
    ) -> objects.Listing:
        kind = model.ASSIGNMENT_KIND
        if version == objects.ABSENT_VERSION:
            return await self.store.list(kind)
        return await self.store.watch(kind, version, WATCH_TIMEOUT_SECONDS)

    def _replace_if_newer(self, cached: VersionedAssignment) -> None:
        domain = cached.assignment.domain
        current = self.by_domain.get(domain)
        if current is None or current.version < cached.version:
            self.by_domain[domain] = cached
            self.changes += 1
