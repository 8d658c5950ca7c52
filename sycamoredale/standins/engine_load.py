"""Stand in for the load, the prefix cache and the cold start of an engine.

The record keeps the highest concurrency seen during each cold start, so
that a test can compare it with the limit.  Reports lag by a set time, and
some cache events are lost on purpose.
"""

import collections
import collections.abc
import contextlib
import dataclasses
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale.engines import reports

CACHE_BLOCKS: Final = 4096
EVENTS_KEPT: Final = 1024


@dataclasses.dataclass
class Load:
    """Count the requests of an engine."""

    capacity: int
    report_lag_seconds: float = 0.0
    running: int = 0
    waiting: int = 0
    max_running_cold: int = 0
    overloads: int = 0
    _history: collections.deque[tuple[float, reports.Load]] = (
        dataclasses.field(default_factory=collections.deque)
    )
    _changed: curio.Condition = dataclasses.field(
        default_factory=curio.Condition
    )

    @contextlib.asynccontextmanager
    async def place(
        self, is_cold: bool, cold_limit: int
    ) -> collections.abc.AsyncIterator[None]:
        """Hold a place; raise ConnectionResetError if overloaded cold."""
        if is_cold:
            wanted = self.running + self.waiting + 1
            self.max_running_cold = max(self.max_running_cold, wanted)
            if wanted > cold_limit:
                self.overloads += 1
                raise ConnectionResetError("overloaded during cold start")
        await self._enter()
        try:
            yield
        finally:
            self.running -= 1
            self._note(clock.monotonic())
            async with self._changed:
                await self._changed.notify_all()

    def reported(self, now: clock.MonotonicTime) -> reports.Load:
        """Return the load as it was one lag ago."""
        shown = reports.Load(0, 0)
        for time, load in self._history:
            if time > now - self.report_lag_seconds:
                break
            shown = load
        return shown

    def fields(self, now: clock.MonotonicTime) -> list[tuple[str, str]]:
        """Return the headers of an answer that report the load."""
        load = self.reported(now)
        return [
            (reports.RUNNING_HEADER, str(load.running)),
            (reports.WAITING_HEADER, str(load.waiting)),
        ]

    async def _enter(self) -> None:
        self.waiting += 1
        try:
            async with self._changed:
                while self.running >= self.capacity:
                    await self._changed.wait()
        finally:
            self.waiting -= 1
        self.running += 1
        self._note(clock.monotonic())

    def _note(self, now: clock.MonotonicTime) -> None:
        self._history.append((now, reports.Load(self.running, self.waiting)))
        oldest_needed = now - self.report_lag_seconds
        while len(self._history) > 1 and self._history[1][0] < oldest_needed:
            self._history.popleft()


@dataclasses.dataclass
class PrefixCache:
    """Remember prefix blocks, least recently used first, with events."""

    lose_every: int = 0
    hits: int = 0
    lookups: int = 0
    events: collections.deque[reports.CacheEvent] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=EVENTS_KEPT)
    )
    _blocks: collections.OrderedDict[int, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    _sequence: int = 0

    def use(self, body: bytes) -> int:
        """Store a prompt's blocks; return how many were not cached."""
        blocks = reports.prompt_blocks(body)
        found = sum(block in self._blocks for block in blocks)
        self.lookups += len(blocks)
        self.hits += found
        stored = [b for b in blocks if b not in self._blocks]
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        dropped = []
        while len(self._blocks) > CACHE_BLOCKS:
            dropped.append(self._blocks.popitem(last=False)[0])
        if stored or dropped:
            self._record(stored, dropped)
        return len(blocks) - found

    def read_events(
        self, after: str | None, limit: int
    ) -> list[reports.CacheEvent]:
        """Return the first events after a number, or the newest one."""
        shown = [
            e
            for e in self.events
            if not (self.lose_every and e.sequence % self.lose_every == 0)
        ]
        if after is None:
            return shown[-1:]
        return [e for e in shown if e.sequence > int(after)][:limit]

    def _record(self, stored: list[int], dropped: list[int]) -> None:
        self._sequence += 1
        self.events.append(reports.CacheEvent(self._sequence, stored, dropped))
