"""Log and count the entries of a kind that cannot be decoded, once each."""

import dataclasses
from typing import Final

from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.observability import exposition
from sycamoredale.observability import logs

LOG: Final = logs.get("object_api")


@dataclasses.dataclass
class MalformedEntries:
    """Remember the version of each malformed entry that was logged."""

    kind: str
    metrics: exposition.MetricRegistry = dataclasses.field(
        default_factory=exposition.MetricRegistry
    )
    _version_by_name: dict[str, ids.ObjectVersion] = dataclasses.field(
        default_factory=dict
    )

    def record(self, entry: objects.StoredObject, reason: str) -> None:
        """Record an entry that cannot be decoded."""
        if self._version_by_name.get(entry.name) == entry.version:
            return
        self._version_by_name[entry.name] = entry.version
        self.metrics.count("malformed_entries", self.kind)
        LOG.warning("entry_malformed", entry=entry.name, reason=reason)

    def forget(self, name: str) -> None:
        """Forget an entry that is sound now, or deleted."""
        self._version_by_name.pop(name, None)
