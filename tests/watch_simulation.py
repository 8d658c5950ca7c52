"""Run watchers of two kinds of objects in simulated time, with store faults.

The watchers run their own loops.  Only the store, the datagrams between the
daemons and the clock are models, so a run takes no time and repeats exactly.
One kind has a single object, which changes, the other one entries that are
removed, with or without a return.
"""

import bisect
import collections.abc
import contextlib
import dataclasses
import functools
import heapq
import itertools
import random
import typing
from unittest import mock

import curio
import msgspec
import structlog

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import kind_updates
from sycamoredale.forwarding import object_watcher
from sycamoredale.forwarding import store_contact
from sycamoredale.object_api import eras
from sycamoredale.object_api import objects
from sycamoredale.object_api import paged_lists

CONFIG = "config"
OBJECT_NAME = "main"
ENTRIES = "entries"
FIRST_VERSION = 10
CALL_SECONDS = 0.006
UPDATE_INTERVAL_SECONDS = 0.38
# A daemon has to know all changes this long after its trouble has ended.
CONTACT_SECONDS = 3.0


class _Sleep:
    def __init__(self, seconds: float) -> None:
        self.seconds = seconds

    def __await__(self) -> collections.abc.Generator[float, None, None]:
        yield self.seconds


class Scheduler:
    """Resume coroutines in the order of their simulated wake-up times."""

    def __init__(self) -> None:
        """Start at a time at which no update of a peer is recent."""
        self.now = 100.0
        self._queue: list[tuple[float, int, typing.Any]] = []
        self._ties = itertools.count()

    def sleep(self, seconds: float) -> _Sleep:
        """Return an awaitable that ends after simulated seconds."""
        return _Sleep(max(0.0, seconds))

    def read_clock(self) -> clock.MonotonicTime:
        """Return the simulated time."""
        return clock.MonotonicTime(self.now)

    def spawn(self, coroutine: collections.abc.Coroutine) -> None:
        """Run a coroutine that waits only by `sleep`."""
        entry = (self.now, next(self._ties), coroutine)
        heapq.heappush(self._queue, entry)

    def run_until(self, end: float) -> None:
        """Advance the simulated time."""
        with mock.patch.object(curio, "sleep", self.sleep):
            while self._queue and self._queue[0][0] <= end:
                self.now, _, coroutine = heapq.heappop(self._queue)
                with contextlib.suppress(StopIteration):
                    wake = self.now + coroutine.send(None)
                    entry = (wake, next(self._ties), coroutine)
                    heapq.heappush(self._queue, entry)
        self.now = end

    def close(self) -> None:
        """End the coroutines that still wait."""
        while self._queue:
            self._queue.pop()[2].close()


@dataclasses.dataclass(frozen=True)
class Span:
    """Cover the times from `start` until before `end`."""

    start: float
    end: float

    def __contains__(self, at: float) -> bool:
        """Return whether a time lies within the span."""
        return self.start <= at < self.end


@dataclasses.dataclass(frozen=True)
class Drill:
    """Replace the state of the store at a time by an older one.

    What is lost is written again after some seconds, and in their order.
    """

    at: float
    copy_seconds: float
    rewrite_seconds: float = 0.1


@dataclasses.dataclass
class Faults:
    """Describe what goes wrong, and when.

    Watches that wait or begin within `silences` get no answer.  Those that
    waited before a silence are cut at a time within it.  Changes up to the
    time of a compaction are dropped from the history.  Within `outages`, a
    daemon's calls fail; in a silent one they are accepted and not answered.
    At each of the `drills` the store comes back from a copy.
    """

    silences: list[Span] = dataclasses.field(default_factory=list)
    cuts: list[float] = dataclasses.field(default_factory=list)
    compactions: list[float] = dataclasses.field(default_factory=list)
    slow: list[Span] = dataclasses.field(default_factory=list)
    outages: list[tuple[str, Span, bool]] = dataclasses.field(
        default_factory=list
    )
    lost_updates: list[tuple[str, Span]] = dataclasses.field(
        default_factory=list
    )
    drills: list["Drill"] = dataclasses.field(default_factory=list)
    slow_call_seconds: float = 0.2

    def outage(self, daemon: str, at: float) -> bool | None:
        """Return whether the outage of a daemon is silent, None if none."""
        for name, span, is_silent in self.outages:
            if name == daemon and at in span:
                return is_silent
        return None

    def loses_update(self, daemon: str, at: float) -> bool:
        """Return whether the datagrams to a daemon are lost."""
        return any(n == daemon and at in span for n, span in self.lost_updates)

    def due_at(self, daemon: str, change: "Change", bound: float) -> float:
        """Return when a daemon has to have a change in force."""
        changed_at = change.at
        due = changed_at + bound
        spans = [span for name, span, _ in self.outages if name == daemon]
        spans += [Span(d.at, d.at) for d in self.drills]
        if change.kind == ENTRIES:
            # No daemon is in touch with a slow store; a long list may then
            # take as long as the bound.
            spans += self.slow
        for span in sorted(spans, key=lambda span: span.start):
            if span.start < due and span.end > changed_at - CONTACT_SECONDS:
                due = max(due, span.end + CONTACT_SECONDS)
        return due


@dataclasses.dataclass(frozen=True, order=True)
class Change:
    """Write or remove an object at a time."""

    at: float
    kind: str = CONFIG
    name: str = OBJECT_NAME
    removes: bool = False
    # Of a change that is written again after a drill.
    first_at: float | None = None

    @property
    def first_written_at(self) -> float:
        """Return when the change was written first."""
        return self.at if self.first_at is None else self.first_at


def removal(at: float, name: str = "e0") -> Change:
    """Return the removal of an entry."""
    return Change(at, ENTRIES, name, removes=True)


def lapse(at: float, returns_at: float, name: str) -> list[Change]:
    """Return the removal of a live entry, and its return."""
    return [removal(at, name), Change(returns_at, ENTRIES, name)]


@dataclasses.dataclass(frozen=True)
class Shape:
    """Describe how the store divides its answers.

    Pages have `page_size` objects, stale ones show the state of
    `stale_seconds` ago, and a watch returns `max_events` at most.
    """

    entries: int = 1
    page_size: int = 50
    stale_seconds: float = 0.0
    max_events: int = 1000


@dataclasses.dataclass
class StoreModel:
    """Hold the objects, whose changes are confirmed at given times."""

    scheduler: Scheduler
    faults: Faults
    changes: list[Change]
    shape: Shape = Shape()

    def __post_init__(self) -> None:
        """Sort the times at which anything happens."""
        self._eras = list(self._build_eras())
        self._change_times = [
            change.at for era in self._eras for change in era.changes
        ]
        faults = self.faults
        spans = [*faults.silences, *(span for _, span, _ in faults.outages)]
        self._moments = sorted(
            [
                *self._change_times,
                *faults.cuts,
                *faults.compactions,
                *(drill.at for drill in faults.drills),
                *(at for span in spans for at in (span.start, span.end)),
            ]
        )

    def _build_eras(self) -> collections.abc.Iterator["_Era"]:
        """Yield each era with its copy and the changes in it."""
        era = _Era(0.0, 0)
        pending = sorted(self.changes)
        for drill in sorted(self.faults.drills, key=lambda d: d.at):
            era.take(pending, drill.at)
            yield era
            lost = era.written_after(drill.at - drill.copy_seconds)
            pending += [
                dataclasses.replace(
                    change,
                    at=drill.at + drill.rewrite_seconds + index / 1000,
                    first_at=change.first_written_at,
                )
                for index, change in enumerate(lost)
            ]
            pending.sort()
            copied = [c for c in era.log if c not in lost]
            era = _Era(drill.at, era.number + 1, copied)
        era.take(pending, float("inf"))
        yield era

    def _era_at(self, at: float) -> "_Era":
        return [era for era in self._eras if era.start <= at][-1]

    def version(self, at: float | None = None) -> int:
        """Return the version at a time, by default the present."""
        at = self.scheduler.now if at is None else at
        return self._era_at(at).version(at)

    def final_changes(self) -> list[Change]:
        """Return the changes that the last era has, in their order."""
        return self._eras[-1].log

    def seconds_until_event(self, end: float) -> float:
        """Return the time until something happens, or until the end."""
        now = self.scheduler.now
        index = bisect.bisect_right(self._moments, now)
        following = [*self._moments[index : index + 1], end]
        # Rounding must not end a wait before the event.
        return max(0.0, min(following) - now) + 1e-6

    def is_dropped(self, after: int) -> bool:
        """Return whether the history no longer reaches back to a version."""
        now = self.scheduler.now
        dropped = [at for at in self.faults.compactions if at <= now]
        return bool(dropped) and after < self.version(max(dropped))

    def page(
        self, kind: str, after: str | None, stale: bool
    ) -> paged_lists.Page:
        """Return the objects after a name."""
        age = self.shape.stale_seconds if stale else 0.0
        era = self._era_at(self.scheduler.now)
        version = era.version(max(era.start, self.scheduler.now - age))
        item_by_name = self._state(era, kind, version)
        names = sorted(n for n in item_by_name if n > (after or ""))
        size = self.shape.page_size
        return paged_lists.Page(
            version,
            [item_by_name[name] for name in names[:size]],
            len(names) > size,
        )

    def events(self, kind: str, after: int) -> list[tuple[int, Change]]:
        """Return the changes of a kind after a version, with theirs."""
        newest = self.version()
        era = self._era_at(self.scheduler.now)
        return [
            (version, change)
            for version, change in era.numbered()
            if change.kind == kind and after < version <= newest
        ]

    def listing_of(self, events: list[tuple[int, Change]]) -> objects.Listing:
        """Return what a watch returns."""
        seen, rest = (
            events[: self.shape.max_events],
            events[self.shape.max_events :],
        )
        last = {change.name: (version, change) for version, change in seen}
        return objects.Listing(
            seen[-1][0] if rest else self.version(),
            [_stored(v, c) for v, c in last.values() if not c.removes],
            [n for n, (_, c) in last.items() if c.removes],
            is_partial=len(seen) >= self.shape.max_events,
        )

    def _state(
        self, era: "_Era", kind: str, version: int
    ) -> dict[str, objects.StoredObject]:
        names = [OBJECT_NAME]
        if kind == ENTRIES:
            names = [f"e{n}" for n in range(self.shape.entries)]
        first = era.first_version
        state = {n: _stored(first, Change(0.0, kind, n)) for n in names}
        for number, change in era.numbered():
            if change.kind != kind or number > version:
                continue
            if change.removes:
                state.pop(change.name, None)
            else:
                state[change.name] = _stored(number, change)
        return state


def _stored(version: int, change: Change) -> objects.StoredObject:
    value = msgspec.Raw(msgspec.json.encode(change.first_written_at))
    return objects.StoredObject(change.name, version, value)


@dataclasses.dataclass
class _Era:
    """Hold the copy with which an era begins and what follows."""

    start: float
    number: int
    copied: list[Change] = dataclasses.field(default_factory=list)
    changes: list[Change] = dataclasses.field(default_factory=list)

    @property
    def log(self) -> list[Change]:
        """Return all changes, those of the copy first."""
        return [*self.copied, *self.changes]

    @property
    def first_version(self) -> int:
        """Return the version before all changes."""
        return self.number * eras.REVISIONS_PER_ERA + FIRST_VERSION

    def take(self, pending: list[Change], end: float) -> None:
        """Move the changes until a time from the pending ones."""
        while pending and pending[0].at < end:
            self.changes.append(pending.pop(0))

    def written_after(self, at: float) -> list[Change]:
        """Return the changes after a time."""
        return [change for change in self.log if change.at > at]

    def version(self, at: float) -> int:
        """Return the version at a time."""
        written = sum(change.at <= at for change in self.changes)
        return self.first_version + len(self.copied) + written

    def numbered(self) -> collections.abc.Iterator[tuple[int, Change]]:
        """Yield the changes with their versions."""
        return enumerate(self.log, self.first_version + 1)


@dataclasses.dataclass
class StoreClient:
    """Call the model from one daemon."""

    model: StoreModel
    daemon: str
    contact: store_contact.StoreContact
    calls: list[str] = dataclasses.field(default_factory=list)
    called_at: list[float] = dataclasses.field(default_factory=list)
    noted: int = 0

    async def list(self, kind, limits):
        """Return the present state, unless the daemon has an outage."""
        self.calls.append("list")

        async def read_page(after, stale, limits):
            await self._call(limits)
            self._note_era()
            self.contact.record_answer(self.model.scheduler.read_clock())
            return self.model.page(kind, after, stale)

        return await paged_lists.read(
            read_page,
            functools.partial(self.watch, kind),
            limits,
            stale=False,
            read_clock=self.model.scheduler.read_clock,
        )

    async def watch(self, kind, after, wait_seconds, limits):
        """Wait for a change, subject to the faults of the model."""
        self.calls.append("watch")
        scheduler, faults = self.model.scheduler, self.model.faults
        margin = limits.answer_seconds
        await self._reach(wait_seconds + margin)
        begun = scheduler.now
        is_unheard = False
        due = begun + wait_seconds
        while scheduler.now < due + margin:
            now = scheduler.now
            if any(begun < cut <= now for cut in faults.cuts):
                raise _no_answer()
            if faults.outage(self.daemon, now) is False:
                raise _no_answer()
            is_unheard |= any(now in span for span in faults.silences)
            is_unheard |= faults.outage(self.daemon, now) is not None
            if not is_unheard:
                if not eras.are_comparable(after, self._note_era()):
                    raise errors.WatchExpired(
                        error_codes.WATCH_EXPIRED, "a later era"
                    )
                if self.model.is_dropped(after):
                    raise errors.WatchExpired(
                        error_codes.WATCH_EXPIRED, "history dropped"
                    )
                events = self.model.events(kind, after)
                if events or now >= due:
                    listing = self.model.listing_of(events)
                    await curio.sleep(self._call_seconds())
                    return listing
            ends_at = due if now < due else due + margin
            await curio.sleep(self.model.seconds_until_event(ends_at))
        raise _no_answer()

    def _note_era(self) -> int:
        """Return the present version; tell the contact of a later era."""
        version = self.model.version()
        if not eras.are_comparable(self.noted, version):
            self.contact.begin_era(self.model.scheduler.read_clock())
        self.noted = version
        return version

    async def _call(self, limits: objects.CallLimits) -> None:
        timeout = limits.answer_seconds
        await self._reach(timeout)
        seconds = self._call_seconds()
        if seconds > timeout:
            await curio.sleep(timeout)
            raise _no_answer()
        await curio.sleep(seconds)

    async def _reach(self, timeout: float) -> None:
        self.called_at.append(self.model.scheduler.now)
        is_silent = self.model.faults.outage(
            self.daemon, self.model.scheduler.now
        )
        if is_silent is None:
            return
        if is_silent:
            await curio.sleep(timeout)
        raise _no_answer()

    def _call_seconds(self) -> float:
        faults, now = self.model.faults, self.model.scheduler.now
        if any(now in span for span in faults.slow):
            return faults.slow_call_seconds
        return CALL_SECONDS


class Daemon:
    """Run the watchers of one daemon and record what they put in force."""

    def __init__(
        self, name: str, model: StoreModel, bound: float, publishes: bool
    ) -> None:
        """Create the watchers as the entry daemon does."""
        self.name = name
        self.scheduler = model.scheduler
        self.contact = store_contact.StoreContact()
        self.client = StoreClient(model, name, self.contact)
        self.in_force: list[tuple[float, int]] = []
        self.entries: set[str] = set()
        self.removed_at: list[tuple[float, str]] = []
        self.publishes = publishes
        self.watcher_by_kind = {
            kind: object_watcher.ObjectWatcher(
                self.client,
                kind,
                apply,
                random.Random(f"{name}/{kind}"),
                read_clock=self.scheduler.read_clock,
                is_publisher=lambda: self.publishes,
                bound_seconds=bound,
                entries_expire=kind == ENTRIES,
                contact=self.contact,
            )
            for kind, apply in (
                (CONFIG, self._apply_config),
                (ENTRIES, self._apply_entries),
            )
        }

    def _apply_config(self, seen: objects.Listing, complete: bool) -> None:
        for item in seen.objects:
            written_at = msgspec.json.decode(item.value)
            has_drills = bool(self.client.model.faults.drills)
            assert has_drills or written_at >= self.version
            # As the table of routes does.
            if written_at > self.version:
                self.in_force.append((self.scheduler.now, written_at))

    def _apply_entries(self, seen: objects.Listing, complete: bool) -> None:
        names = {item.name for item in seen.objects}
        gone = self.entries - names if complete else set(seen.deleted)
        gone &= self.entries
        self.removed_at += [(self.scheduler.now, name) for name in gone]
        self.entries = (self.entries - gone) | names

    @property
    def version(self) -> float:
        """Return when the manifest in force was written first, or 0."""
        return self.in_force[-1][1] if self.in_force else 0.0

    def version_at(self, at: float) -> float:
        """Return the version that was in force at a time."""
        return max((v for t, v in self.in_force if t <= at), default=0.0)

    def has_removed(self, name: str, at: float) -> bool:
        """Return whether an entry was removed by a time."""
        return any(n == name and t <= at for t, n in self.removed_at)


class Fleet:
    """Run a publisher and its peers against one store."""

    def __init__(
        self,
        faults: Faults,
        changes: collections.abc.Iterable[Change],
        bound: float = 3.0,
        peers: int = 4,
        shape: Shape = Shape(),
    ) -> None:
        """Start the daemons some milliseconds apart."""
        self.scheduler = Scheduler()
        self.faults = faults
        self.bound = bound
        self.store = StoreModel(self.scheduler, faults, sorted(changes), shape)
        names = ["publisher", *(f"peer{n}" for n in range(peers))]
        self.daemons = [
            Daemon(name, self.store, bound, publishes=name == "publisher")
            for name in names
        ]
        for index, daemon in enumerate(self.daemons):
            for watcher in daemon.watcher_by_kind.values():
                self.scheduler.spawn(self._start(watcher.run, 0.013 * index))
            self.scheduler.spawn(self._send_updates(daemon))

    async def _start(
        self,
        run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
        delay: float,
    ) -> None:
        await curio.sleep(delay)
        await run()

    async def _send_updates(self, sender: Daemon) -> None:
        while True:
            await curio.sleep(UPDATE_INTERVAL_SECONDS)
            now = self.scheduler.read_clock()
            updates = []
            if sender.publishes:
                updates = [
                    watcher.publisher.take_update(kind, now)
                    for kind, watcher in sender.watcher_by_kind.items()
                ]
            ages = sender.contact.ages(now)
            for daemon in self.daemons:
                is_lost = self.faults.loses_update(daemon.name, now)
                if daemon is not sender and not is_lost:
                    daemon.contact.receive(ages, now)
                    for update in updates:
                        self._deliver(update, daemon, now)

    def _deliver(
        self,
        update: kind_updates.KindUpdate | None,
        daemon: Daemon,
        now: clock.MonotonicTime,
    ) -> None:
        if update is None:
            return
        data = msgspec.msgpack.encode(update)
        daemon.watcher_by_kind[update.kind].receive_update(
            msgspec.msgpack.decode(data, type=kind_updates.KindUpdate), now
        )

    def late_changes(self, end: float) -> list[tuple[str, str, float]]:
        """Return each daemon, name and time of a change in force late.

        A change is due once the bound has passed, and once the daemon has
        been in touch with the store for a time.
        """
        found = []
        for daemon in self.daemons:
            for change in self.store.final_changes():
                due = self.faults.due_at(daemon.name, change, self.bound)
                is_due = due <= end and not self._is_undone(change)
                if is_due and not self._is_in_force(daemon, change, due):
                    found.append((daemon.name, change.name, change.at))
        return found

    def _is_undone(self, change: Change) -> bool:
        return change.kind == ENTRIES and any(
            (other.name, other.kind) == (change.name, change.kind)
            and other.at > change.at
            for other in self.store.final_changes()
        )

    def _is_in_force(self, daemon: Daemon, change: Change, due: float) -> bool:
        if change.kind == CONFIG:
            return daemon.version_at(due) >= change.first_written_at
        if change.removes:
            return daemon.has_removed(change.name, due)
        return change.name in daemon.entries

    def removed_by_mistake(self) -> list[tuple[str, str, float]]:
        """Return each daemon, name and time of a live entry's removal."""
        live = {c.name for c in self.store.changes if self._is_undone(c)}
        return [
            (daemon.name, name, at)
            for daemon in self.daemons
            for at, name in daemon.removed_at
            if name in live
        ]


def play(
    faults: Faults,
    changes: collections.abc.Iterable[Change],
    bound: float,
    seconds: float = 30.0,
    shape: Shape = Shape(),
    peers: int = 4,
) -> Fleet:
    """Return a fleet after a run."""
    fleet = Fleet(faults, changes, bound, peers, shape)
    with structlog.testing.capture_logs():
        fleet.scheduler.run_until(fleet.scheduler.now + seconds)
    fleet.scheduler.close()
    return fleet


def late_changes(
    faults: Faults,
    changes: collections.abc.Iterable[Change],
    bound: float,
    seconds: float = 30.0,
    shape: Shape = Shape(),
) -> list[tuple[str, str, float]]:
    """Return what was in force late in a run."""
    fleet = play(faults, changes, bound, seconds, shape)
    return fleet.late_changes(fleet.scheduler.now)


def _no_answer() -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        error_codes.STORE_UNAVAILABLE, "no answer in time"
    )
