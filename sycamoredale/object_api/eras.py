"""Order the versions of objects over the eras of the store.

In a drill the store comes back from an older copy.  Its revisions go back and
are given out again, so a revision orders the states of objects within one era
only.  A version contains both: the versions of a later era are greater.  A
store that names no era stays in a single one.
"""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.observability import exposition
from sycamoredale.observability import logs

# A decimal number, so that logs show the era and the revision.
REVISIONS_PER_ERA: Final = 10**12
MAX_ERA: Final = 10**6
# More than leases have terms in one era.
EPOCHS_PER_ERA: Final = 10**5
UNKNOWN_ERA: Final = ids.StoreEra(0)
LOG: Final = logs.get("object_api.eras")


def era_of(version: ids.ObjectVersion) -> ids.StoreEra:
    """Return the era in which a version was given out."""
    return ids.StoreEra(version // REVISIONS_PER_ERA)


def are_comparable(
    first: ids.ObjectVersion, second: ids.ObjectVersion
) -> bool:
    """Return whether all changes between two versions may be known."""
    return era_of(first) == era_of(second)


@dataclasses.dataclass
class EraTracker:
    """Track the latest era, and translate revisions of the store.

    `on_change` is called once for each later era.
    """

    metrics: exposition.MetricRegistry = dataclasses.field(
        default_factory=exposition.MetricRegistry
    )
    current: ids.StoreEra = UNKNOWN_ERA
    on_change: list[collections.abc.Callable[[], None]] = dataclasses.field(
        default_factory=list
    )
    _has_known: bool = False

    def record_answer(self, text: str | None) -> None:
        """Record the era of an answer; raise StoreUnavailable.

        The answer is not to be applied if it is of a former era, or if it
        names none although others did.
        """
        if text is None and not self._has_known:
            return
        era = _parse(text)
        if era is None or era < self.current:
            self.metrics.count("store_eras", "rejected")
            LOG.warning("era_rejected", era=text, current=self.current)
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE,
                f"the store answered with era {text!r} after era "
                f"{self.current}",
            )
        has_known, self._has_known = self._has_known, True
        before, self.current = self.current, era
        self.metrics.set_gauge("store_era", "current", era)
        if not has_known or era == before:
            return
        self.metrics.count("store_eras", "changed")
        LOG.warning("era_changed", before=before, era=era)
        for callback in self.on_change:
            callback()

    def first_epoch(self) -> ids.Epoch:
        """Return an epoch that no term of a former era has had."""
        return ids.Epoch(self.current * EPOCHS_PER_ERA + 1)

    def version(self, revision: int) -> ids.ObjectVersion:
        """Return the version of a revision that was just answered."""
        return ids.ObjectVersion(self.current * REVISIONS_PER_ERA + revision)

    def revision_to_watch(self, after: ids.ObjectVersion) -> int:
        """Return the revision of a version; raise WatchExpired.

        Revisions of a former era say nothing of the changes since.
        """
        if era_of(after) != self.current:
            raise errors.WatchExpired(
                error_codes.WATCH_EXPIRED,
                f"version {after} is not of era {self.current}",
            )
        return after % REVISIONS_PER_ERA

    def revision_to_replace(self, expected: ids.ObjectVersion) -> int:
        """Return the revision of a version; raise VersionConflict."""
        if era_of(expected) != self.current:
            raise errors.VersionConflict(
                error_codes.VERSION_CONFLICT,
                f"version {expected} is not of era {self.current}",
            )
        return expected % REVISIONS_PER_ERA


def _parse(text: str | None) -> ids.StoreEra | None:
    if text is None or not (text.isascii() and text.isdigit()):
        return None
    era = int(text) if len(text) <= len(str(MAX_ERA)) else MAX_ERA + 1
    return ids.StoreEra(era) if era <= MAX_ERA else None
