"""Know the assignments of all domains and write those of held domains.

The object of a domain is replaced only at the version that was read, and
each write carries an id.  After a lost answer the object is read again:
either the id is there, or the round starts anew from what is there.
"""

import dataclasses
from typing import Final
import uuid

import curio
import msgspec

from sycamoredale import errors
from sycamoredale.groups import model
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.observability import logs

WATCH_SECONDS: Final = 10.0
RETRY_SECONDS: Final = 0.5
LOG: Final = logs.get("groups.assignments")


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedAssignment:
    """Hold an assignment and the version of its object."""

    version: ids.ObjectVersion
    assignment: model.Assignment


@dataclasses.dataclass
class AssignmentStore:
    """Hold the assignments by domain and count their changes."""

    store: objects.ObjectStore
    by_domain: dict[ids.DomainName, VersionedAssignment] = dataclasses.field(
        default_factory=dict
    )
    synced: bool = False
    changes: int = 0

    async def follow(self) -> None:
        """Follow the changes of all domains for ever."""
        version = objects.ABSENT
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
        """Read the assignment of a domain; raise StoreUnavailable."""
        stored = await self.store.get(model.ASSIGNMENT_KIND, domain)
        if stored is not None:
            self.apply(stored)
        return self.get(domain)

    async def write(
        self, assignment: model.Assignment, expected: ids.ObjectVersion
    ) -> VersionedAssignment:
        """Replace an assignment and return it as it stands then.

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
            known = await self.refresh(stamped.domain)
            if known.assignment.write_id != stamped.write_id:
                raise
            return known
        known = VersionedAssignment(version, stamped)
        self._replace_if_newer(known)
        return known

    def get(self, domain: ids.DomainName) -> VersionedAssignment:
        """Return what is known of a domain."""
        nothing = VersionedAssignment(objects.ABSENT, model.Assignment(domain))
        return self.by_domain.get(domain, nothing)

    def all_except(self, domain: ids.DomainName) -> list[model.Assignment]:
        """Return the assignments of all other domains."""
        return [
            known.assignment
            for name, known in sorted(self.by_domain.items())
            if name != domain
        ]

    def apply(self, stored: objects.StoredObject) -> None:
        """Take over an object unless it is older than what is known."""
        assignment = msgspec.json.decode(stored.value, type=model.Assignment)
        self._replace_if_newer(VersionedAssignment(stored.version, assignment))

    async def _read_changes(
        self, version: ids.ObjectVersion
    ) -> objects.Listing:
        kind = model.ASSIGNMENT_KIND
        if version == objects.ABSENT:
            return await self.store.list(kind)
        return await self.store.watch(kind, version, WATCH_SECONDS)

    def _replace_if_newer(self, known: VersionedAssignment) -> None:
        domain = known.assignment.domain
        current = self.by_domain.get(domain)
        if current is None or current.version < known.version:
            self.by_domain[domain] = known
            self.changes += 1
