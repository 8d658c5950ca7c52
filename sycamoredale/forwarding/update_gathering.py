"""Add up the updates of many daemons, and pass on their news.

A hub keeps the last update of each daemon of its zone and the sums of the
other zones.  Loads are added up; of the rest, the newest or worst holds.  Ages
are counted on while an update is kept, so that a statement that is passed on
does not become younger.  News (reports, changes of kinds, departures, evidence
on prompt parts) are passed on once each, as their origin repeats them.
"""

import collections
import collections.abc
import dataclasses
import typing
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale.forwarding import departures as departures_module
from sycamoredale.forwarding import kind_updates
from sycamoredale.forwarding import peer_updates
from sycamoredale.forwarding import report_updates
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.requests import part_updates

# A daemon asks for totals with each update, and sends one a second at least.
ASKER_TTL_SECONDS: Final = 3.0
# What the holder of the lease says of a kind is repeated five times a second.
KIND_TTL_SECONDS: Final = 0.6
# About 6 KB of a datagram; further news follow in the next ones.
MAX_REPORTS: Final = 32
MAX_DEPARTURES: Final = 64
MAX_PARTS: Final = 12
# Of each sort of news; the oldest are dropped.
MAX_QUEUED: Final = 512

PeerUpdate = peer_updates.PeerUpdate
EndpointUpdate = peer_updates.EndpointUpdate
_T = typing.TypeVar("_T")
_Number = typing.TypeVar("_Number", int, float)


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Hold an update, when it arrived and until when it holds."""

    update: PeerUpdate
    at: clock.MonotonicTime
    expires_at: clock.MonotonicTime

    def is_fresh(self, now: clock.MonotonicTime) -> bool:
        """Return whether the update still holds."""
        return now < self.expires_at


@dataclasses.dataclass(slots=True)
class _Sum:
    in_flight: int = 0
    progress_ms_ago: int = -1
    suspect_ms: int = 0
    deferred: int = 0
    limit: float = -1.0
    limit_ms_ago: int = -1
    pace_samples: int = 0
    pace_total: float = 0.0
    unread_tokens: int = 0
    held_tokens: int = 0

    def add(self, item: EndpointUpdate, age_ms: int) -> None:
        self.in_flight = _bounded(self.in_flight + item.in_flight)
        self.deferred = _bounded(self.deferred + item.deferred)
        self.pace_samples = _bounded(self.pace_samples + item.pace_samples)
        self.pace_total = _bounded(self.pace_total + item.pace_total)
        self.unread_tokens = _bounded(self.unread_tokens + item.unread_tokens)
        self.held_tokens = _bounded(self.held_tokens + item.held_tokens)
        self.suspect_ms = max(self.suspect_ms, item.suspect_ms - age_ms)
        if item.progress_ms_ago >= 0:
            self.progress_ms_ago = _newer(
                self.progress_ms_ago, _bounded(item.progress_ms_ago + age_ms)
            )
        if item.limit_ms_ago >= 0:
            limit_ms_ago = _bounded(item.limit_ms_ago + age_ms)
            if _newer(self.limit_ms_ago, limit_ms_ago) == limit_ms_ago:
                self.limit = item.limit
                self.limit_ms_ago = limit_ms_ago


def _bounded(total: _Number) -> _Number:
    """Return a sum that other daemons accept, whatever a peer has sent."""
    return min(total, decoding.MAX_INTEGER)


def _newer(age_ms: int, other_age_ms: int) -> int:
    """Return the smaller age; a negative one is unknown."""
    return other_age_ms if age_ms < 0 else min(age_ms, other_age_ms)


def add_up(
    received: collections.abc.Iterable[Received], now: clock.MonotonicTime
) -> list[EndpointUpdate]:
    """Return one update for each endpoint that any of the updates names."""
    sums: dict[ids.InstanceId, _Sum] = collections.defaultdict(_Sum)
    for entry in received:
        age_ms = clock.ms_since(entry.at, now)
        for item in entry.update.endpoints:
            sums[item.endpoint].add(item, age_ms)
    return [
        EndpointUpdate(
            endpoint,
            total.in_flight,
            total.progress_ms_ago,
            total.suspect_ms,
            total.deferred,
            total.limit,
            total.limit_ms_ago,
            total.pace_samples,
            round(total.pace_total),
            total.unread_tokens,
            total.held_tokens,
        )
        for endpoint, total in sums.items()
    ]


@dataclasses.dataclass
class NewsQueue:
    """Queue what is passed on to one audience."""

    _reports: collections.deque[report_updates.ReportUpdate] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(maxlen=MAX_QUEUED)
        )
    )
    _departures: collections.deque[departures_module.DepartureUpdate] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(maxlen=MAX_QUEUED)
        )
    )
    _parts: collections.deque[part_updates.PartUpdate] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_QUEUED)
    )
    _kind_by_name: dict[
        str, tuple[kind_updates.KindUpdate, clock.MonotonicTime]
    ] = dataclasses.field(default_factory=dict)
    _lease: tuple[ids.ObjectVersion, clock.MonotonicTime] = (
        objects.ABSENT_VERSION,
        clock.MonotonicTime(float("-inf")),
    )

    def put(self, update: PeerUpdate, now: clock.MonotonicTime) -> None:
        """Queue the news of an update."""
        self._reports.extend(update.reports)
        self._departures.extend(update.departures)
        self._parts.extend(update.parts)
        for kind in update.kinds:
            if self._is_newest(kind, now):
                self._kind_by_name[kind.kind] = kind, now
        if update.lease != objects.ABSENT_VERSION:
            self._lease = update.lease, now

    def _is_newest(
        self, kind: kind_updates.KindUpdate, now: clock.MonotonicTime
    ) -> bool:
        """Return whether no copy of a later update is still kept."""
        kept, at = self._kind_by_name.get(kind.kind, (kind, now))
        if now - at >= KIND_TTL_SECONDS:
            return True
        kept_age_ms = kept.age_ms + 1000 * (now - at)
        return (kind.version, -kind.age_ms) >= (kept.version, -kept_age_ms)

    def fill(self, update: PeerUpdate, now: clock.MonotonicTime) -> PeerUpdate:
        """Return an update with the news that are due."""
        version, lease_at = self._lease
        is_held = now - lease_at < KIND_TTL_SECONDS
        return msgspec.structs.replace(
            update,
            reports=_take(self._reports, MAX_REPORTS),
            departures=_take(self._departures, MAX_DEPARTURES),
            parts=_take(self._parts, MAX_PARTS),
            kinds=list(self._kinds(now)),
            lease=version if is_held else objects.ABSENT_VERSION,
        )

    def _kinds(
        self, now: clock.MonotonicTime
    ) -> collections.abc.Iterator[kind_updates.KindUpdate]:
        for kind, at in self._kind_by_name.values():
            if now - at < KIND_TTL_SECONDS:
                age_ms = kind.age_ms + int(1000 * (now - at)) + 1
                yield msgspec.structs.replace(kind, age_ms=age_ms)


def _take(queue: collections.deque[_T], max_count: int) -> list[_T]:
    return [queue.popleft() for _ in range(min(max_count, len(queue)))]


@dataclasses.dataclass
class UpdateGatherer:
    """Keep the updates of daemons and the sums of other zones while fresh.

    `get_zone` returns the zone of a live daemon, `total` is the last one of a
    hub.
    """

    zone: ids.ZoneName
    get_zone: collections.abc.Callable[[ids.DaemonId], ids.ZoneName | None]
    total: Received | None = None
    _received_by_daemon: dict[ids.DaemonId, Received] = dataclasses.field(
        default_factory=dict
    )
    _sum_by_zone: dict[ids.ZoneName, Received] = dataclasses.field(
        default_factory=dict
    )
    _asked_at: dict[ids.DaemonId, clock.MonotonicTime] = dataclasses.field(
        default_factory=dict
    )
    _news_of_zone: NewsQueue = dataclasses.field(default_factory=NewsQueue)
    _news_of_all: NewsQueue = dataclasses.field(default_factory=NewsQueue)

    def receive(
        self, update: PeerUpdate, now: clock.MonotonicTime, ttl_seconds: float
    ) -> None:
        """Keep an update of a peer."""
        received = Received(
            update, now, clock.MonotonicTime(now + ttl_seconds)
        )
        zone = self.get_zone(update.daemon)
        if update.scope is peer_updates.Scope.OWN:
            self._received_by_daemon[update.daemon] = received
            if update.wants_total:
                self._asked_at[update.daemon] = now
        elif update.scope is peer_updates.Scope.ALL:
            self.total = received
            return
        elif update.scope is peer_updates.Scope.ZONE:
            if zone is not None and zone != self.zone:
                self._sum_by_zone[zone] = received
        if self._asked_at:
            self._queue_news(update, zone, now)

    def put_own(self, update: PeerUpdate, now: clock.MonotonicTime) -> None:
        """Queue the news of this daemon."""
        self._queue_news(update, self.zone, now)

    def _queue_news(
        self,
        update: PeerUpdate,
        zone: ids.ZoneName | None,
        now: clock.MonotonicTime,
    ) -> None:
        self._news_of_all.put(update, now)
        if zone == self.zone:
            self._news_of_zone.put(update, now)

    def expire(self, now: clock.MonotonicTime) -> None:
        """Drop what is no longer fresh."""
        self._received_by_daemon = _only_fresh(self._received_by_daemon, now)
        self._sum_by_zone = _only_fresh(self._sum_by_zone, now)
        self._asked_at = {
            daemon: at
            for daemon, at in self._asked_at.items()
            if now - at < ASKER_TTL_SECONDS
        }
        if self.total is not None and not self.total.is_fresh(now):
            self.total = None

    def askers(self) -> collections.abc.Collection[ids.DaemonId]:
        """Return the daemons that have asked this one for totals."""
        return self._asked_at.keys()

    def summing_hubs(self) -> collections.abc.Iterator[ids.DaemonId]:
        """Yield the hubs of other zones that send their sums."""
        return (r.update.daemon for r in self._sum_by_zone.values())

    def direct(self) -> collections.abc.Collection[Received]:
        """Return the updates that came from their daemons themselves."""
        return self._received_by_daemon.values()

    def others(self) -> collections.abc.Iterator[Received]:
        """Yield what together covers all other daemons once."""
        for daemon, received in self._received_by_daemon.items():
            zone = self.get_zone(daemon)
            if zone is not None and zone not in self._sum_by_zone:
                yield received
        yield from self._sum_by_zone.values()

    def build_zone_sum(
        self, own: PeerUpdate, now: clock.MonotonicTime
    ) -> PeerUpdate:
        """Return the sum of this zone, with its news."""
        covered = [
            received
            for daemon, received in self._received_by_daemon.items()
            if self.get_zone(daemon) == self.zone
        ]
        return self._news_of_zone.fill(
            _sum_update(own, covered, peer_updates.Scope.ZONE, now), now
        )

    def build_total(
        self, own: PeerUpdate, now: clock.MonotonicTime
    ) -> PeerUpdate:
        """Return the sum of all daemons, with their news."""
        return self._news_of_all.fill(
            _sum_update(own, list(self.others()), peer_updates.Scope.ALL, now),
            now,
        )

    def is_isolated(
        self, daemon: ids.DaemonId, now: clock.MonotonicTime
    ) -> bool:
        """Return whether a daemon said lately that it is isolated."""
        direct = self._received_by_daemon.get(daemon)
        if direct is not None and direct.is_fresh(now):
            return direct.update.isolated
        passed_on = [*self._sum_by_zone.values()]
        if self.total is not None:
            passed_on.append(self.total)
        return any(
            daemon in received.update.isolated_daemons
            for received in passed_on
            if received.is_fresh(now)
        )


_K = typing.TypeVar("_K")


def _only_fresh(
    received_by_key: dict[_K, Received], now: clock.MonotonicTime
) -> dict[_K, Received]:
    return {
        key: received
        for key, received in received_by_key.items()
        if received.is_fresh(now)
    }


def _sum_update(
    own: PeerUpdate,
    covered: collections.abc.Sequence[Received],
    scope: peer_updates.Scope,
    now: clock.MonotonicTime,
) -> PeerUpdate:
    """Return the sum of the own update and those of others."""
    updates = [own, *(received.update for received in covered)]
    isolated = {u.daemon for u in updates if u.isolated}
    isolated.update(*(u.isolated_daemons for u in updates))
    return msgspec.structs.replace(
        own,
        endpoints=add_up([Received(own, now, now), *covered], now),
        isolated_daemons=sorted(isolated),
        scope=scope,
    )
