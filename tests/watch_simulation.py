"""Run watchers of a kind of objects in simulated time, with store faults.

The watchers run their own loops.  Only the store, the datagrams between the
daemons and the clock are models, so a run takes no time and repeats exactly.
"""

import collections.abc
import contextlib
import dataclasses
import heapq
import itertools
import typing
from unittest import mock

import curio
import msgspec

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import kind_updates
from sycamoredale.forwarding import object_watcher
from sycamoredale.object_api import objects

KIND = "config"
OBJECT_NAME = "main"
TICK_SECONDS = 0.01
CALL_SECONDS = 0.006
UPDATE_INTERVAL_SECONDS = 0.38


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


@dataclasses.dataclass
class Faults:
    """Describe what goes wrong, and when.

    Watches that wait or begin within `silences` get no answer.  Those that
    waited before a silence are cut at a time within it.  Changes up to the
    time of a compaction are dropped from the history.  Within `outages`, a
    daemon's calls fail, after the timeout if the outage is silent.
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


@dataclasses.dataclass
class StoreModel:
    """Hold one object, whose changes are confirmed at given times."""

    scheduler: Scheduler
    faults: Faults
    change_times: list[float]

    def version(self) -> int:
        """Return the version of the newest confirmed change, from 10."""
        return 10 + sum(at <= self.scheduler.now for at in self.change_times)

    def is_dropped(self, after: int) -> bool:
        """Return whether the history no longer reaches back to a version."""
        now = self.scheduler.now
        dropped = [at for at in self.faults.compactions if at <= now]
        newest = 10 + sum(
            at <= max(dropped, default=0.0) for at in self.change_times
        )
        return bool(dropped) and after < newest

    def listing(self) -> objects.Listing:
        """Return the present state."""
        version = self.version()
        value = msgspec.Raw(msgspec.json.encode(version))
        stored = objects.StoredObject(OBJECT_NAME, version, value)
        return objects.Listing(version, [stored])


@dataclasses.dataclass
class StoreClient:
    """Call the model from one daemon."""

    model: StoreModel
    daemon: str
    calls: list[str] = dataclasses.field(default_factory=list)

    async def list(self, kind, limits):
        """Return the present state, unless the daemon has an outage."""
        self.calls.append("list")
        timeout = limits.answer_seconds
        await self._reach(
            limits.connect_seconds if limits.new_connection else timeout
        )
        seconds = self._call_seconds()
        if seconds > timeout:
            await curio.sleep(timeout)
            raise _no_answer()
        await curio.sleep(seconds)
        return self.model.listing()

    async def watch(self, kind, after, wait_seconds, limits):
        """Wait for a change, subject to the faults of the model."""
        self.calls.append("watch")
        scheduler, faults = self.model.scheduler, self.model.faults
        margin = limits.answer_seconds
        await self._reach(wait_seconds + margin)
        begun = scheduler.now
        is_unheard = False
        while scheduler.now < begun + wait_seconds + margin:
            now = scheduler.now
            if any(begun < cut <= now for cut in faults.cuts):
                raise _no_answer()
            is_unheard |= any(now in span for span in faults.silences)
            is_due = now >= begun + wait_seconds
            if not is_unheard:
                if self.model.is_dropped(after):
                    raise errors.WatchExpired(
                        error_codes.WATCH_EXPIRED, "history dropped"
                    )
                if self.model.version() > after:
                    await curio.sleep(self._call_seconds())
                    return self.model.listing()
                if is_due:
                    await curio.sleep(self._call_seconds())
                    return objects.Listing(after)
            await curio.sleep(TICK_SECONDS)
        raise _no_answer()

    async def _reach(self, timeout: float) -> None:
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
    """Run the watcher of one daemon and record what it put in force."""

    def __init__(
        self, name: str, model: StoreModel, bound: float, publishes: bool
    ) -> None:
        """Create the watcher as the entry daemon does."""
        self.name = name
        self.scheduler = model.scheduler
        self.client = StoreClient(model, name)
        self.in_force: list[tuple[float, int]] = []
        self.publishes = publishes
        self.watcher = object_watcher.ObjectWatcher(
            self.client,
            KIND,
            self._apply,
            read_clock=lambda: clock.MonotonicTime(self.scheduler.now),
            is_publisher=lambda: self.publishes,
            bound_seconds=bound,
        )

    def _apply(self, seen: objects.Listing, complete: bool) -> None:
        for item in seen.objects:
            version = msgspec.json.decode(item.value)
            assert version >= self.version, f"{self.name} went back"
            self.in_force.append((self.scheduler.now, version))

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first list."""
        return self.in_force[-1][1] if self.in_force else 0

    def version_at(self, at: float) -> int:
        """Return the version that was in force at a time."""
        return max((v for t, v in self.in_force if t <= at), default=0)


class Fleet:
    """Run a publisher and its peers against one store."""

    def __init__(
        self,
        faults: Faults,
        change_times: list[float],
        bound: float = 3.0,
        peers: int = 4,
    ) -> None:
        """Start the daemons some milliseconds apart."""
        self.scheduler = Scheduler()
        self.faults = faults
        self.bound = bound
        self.store = StoreModel(self.scheduler, faults, change_times)
        names = ["publisher", *(f"peer{n}" for n in range(peers))]
        self.daemons = [
            Daemon(name, self.store, bound, publishes=name == "publisher")
            for name in names
        ]
        for index, daemon in enumerate(self.daemons):
            self.scheduler.spawn(self._start(daemon, 0.013 * index))
        self.scheduler.spawn(self._send_updates(self.daemons[0]))

    async def _start(self, daemon: Daemon, delay: float) -> None:
        await curio.sleep(delay)
        await daemon.watcher.run()

    async def _send_updates(self, sender: Daemon) -> None:
        while True:
            await curio.sleep(UPDATE_INTERVAL_SECONDS)
            now = clock.MonotonicTime(self.scheduler.now)
            update = sender.watcher.publisher.take_update(KIND, now)
            if update is None or not sender.publishes:
                continue
            data = msgspec.msgpack.encode(update)
            for daemon in self.daemons[1:]:
                if not self.faults.loses_update(daemon.name, now):
                    daemon.watcher.receive_update(
                        msgspec.msgpack.decode(
                            data, type=kind_updates.KindUpdate
                        ),
                        now,
                    )

    def late_changes(self, end: float) -> list[tuple[str, float, int]]:
        """Return each daemon, time and version that was late in force.

        Each daemon that could reach the store during the whole bound has to
        have a change in force once the bound has passed.
        """
        found = []
        for daemon in self.daemons:
            for at in self.store.change_times:
                due = at + self.bound
                if due > end or self._was_cut_off(daemon.name, at, due):
                    continue
                wanted = 10 + sum(t <= at for t in self.store.change_times)
                if daemon.version_at(due) < wanted:
                    found.append((daemon.name, at, wanted))
        return found

    def _was_cut_off(self, daemon: str, start: float, end: float) -> bool:
        return any(
            name == daemon and span.start < end and span.end > start
            for name, span, _ in self.faults.outages
        )


def _no_answer() -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        error_codes.STORE_UNAVAILABLE, "no answer in time"
    )
