"""Log and measure what a daemon learns of a kind of objects, and when."""

import collections.abc
import dataclasses
import enum
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import knowledge
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.observability import exposition
from sycamoredale.observability import logs

LOG: Final = logs.get("object_watcher")


class Outcome(enum.Enum):
    """Classify how a list or a watch of the store ended."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    EXPIRED = "expired"
    FAILED = "failed"


@dataclasses.dataclass
class WatchObserver:
    """Report on one kind; `logs_changes` suits kinds that change rarely."""

    kind: str
    known: knowledge.Knowledge
    metrics: exposition.MetricRegistry = dataclasses.field(
        default_factory=exposition.MetricRegistry
    )
    logs_changes: bool = False
    _late_since: clock.MonotonicTime | None = None
    _kept_since: dict[str, clock.MonotonicTime] = dataclasses.field(
        default_factory=dict
    )

    def on_removals_kept(
        self,
        names: collections.abc.Collection[str],
        version: ids.ObjectVersion,
        until: clock.MonotonicTime,
        now: clock.MonotonicTime,
    ) -> None:
        """Record which removed objects stay in force for now."""
        new = sorted(set(names) - self._kept_since.keys())
        self._kept_since = {
            name: self._kept_since.get(name, now) for name in names
        }
        self.known.removals_kept_since = min(
            self._kept_since.values(), default=None
        )
        if not new:
            return
        LOG.info(
            "removals_kept_back",
            kind=self.kind,
            version=version,
            names=new,
            seconds=round(until - now, 3),
        )

    def on_removals_settled(
        self,
        removed: collections.abc.Collection[str],
        now: clock.MonotonicTime,
    ) -> None:
        """Log that the removals take effect that were kept back."""
        since = self.known.removals_kept_since
        if since is not None:
            LOG.info(
                "removals_in_force",
                kind=self.kind,
                names=sorted(removed),
                kept_seconds=round(now - since, 3),
            )
        self._kept_since.clear()
        self.known.removals_kept_since = None

    def on_call_ended(
        self, call: knowledge.Source, outcome: Outcome, seconds: float
    ) -> None:
        """Count a call of the store, and log a watch that failed."""
        self.metrics.count(
            "store_calls", f"{self.kind}.{call.value}.{outcome.value}"
        )
        if outcome in (Outcome.EXPIRED, Outcome.FAILED):
            LOG.info(
                "store_call_ended",
                kind=self.kind,
                call=call.value,
                outcome=outcome.value,
                seconds=round(seconds, 3),
            )

    def on_source_changed(
        self,
        event: str,
        reason: str,
        version: ids.ObjectVersion,
        now: clock.MonotonicTime,
    ) -> None:
        """Log that the kind is learned from the peers or from the store."""
        LOG.info(
            event,
            kind=self.kind,
            version=version,
            reason=reason,
            known_seconds_ago=round(self.known.age(now), 3),
        )

    def on_change(
        self,
        source: knowledge.Source,
        seen: objects.Listing,
        now: clock.MonotonicTime,
    ) -> None:
        """Record how long the changes can have been confirmed at most."""
        delay = self.known.age(now)
        if self.known.known_at == knowledge.NEVER:
            return
        self.metrics.time_change(self.kind, delay)
        if self.logs_changes:
            LOG.info(
                "changes_learned",
                kind=self.kind,
                version=seen.version,
                source=source.value,
                confirmed_seconds_ago_at_most=round(delay, 3),
                changed=[item.name for item in seen.objects],
                deleted=seen.deleted,
            )

    def check(
        self, version: ids.ObjectVersion, now: clock.MonotonicTime
    ) -> None:
        """Set the gauges, and log when the knowledge is late or again not."""
        age = now - self.known.in_force_at
        self.metrics.set_gauge("known_age_seconds", self.kind, age)
        self.metrics.set_gauge("object_version", self.kind, version)
        self.metrics.set_gauge(
            "removals_kept_back", self.kind, len(self._kept_since)
        )
        if self.known.is_late(now) and self._late_since is None:
            self._late_since = self.known.in_force_at
            self.metrics.count("late", self.kind)
            LOG.warning(
                "knowledge_late",
                kind=self.kind,
                version=version,
                known_seconds_ago=round(age, 3),
                source=self.known.source.value,
                removals_kept_back=sorted(self._kept_since),
            )
        elif not self.known.is_late(now) and self._late_since is not None:
            LOG.info(
                "knowledge_recovered",
                kind=self.kind,
                version=version,
                late_seconds=round(now - self._late_since, 3),
                source=self.known.source.value,
            )
            self._late_since = None
