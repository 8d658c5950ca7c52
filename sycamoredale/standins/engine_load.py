"""Simulate the load and the prefix cache of an engine.

`LoadTracker` records the highest concurrency during cold starts, so that
tests can compare it with the limit.  Load reports are delayed by a configured
time, and a configured share of cache events is dropped.
"""

import collections
import collections.abc
import contextlib
import dataclasses
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale.engines import reports

CACHE_CAPACITY_BLOCKS: Final = 4096
MAX_EVENTS: Final = 1024


@dataclasses.dataclass
class LoadTracker:
    """Track running and waiting requests and limit concurrency."""

    capacity: int
    report_lag_seconds: float = 0.0
    running: int = 0
    waiting: int = 0
    max_running_cold: int = 0
    overloads: int = 0
    _history: collections.deque[tuple[float, reports.Load]] = (
        dataclasses.field(default_factory=collections.deque)
    )
    _slot_released: curio.Condition = dataclasses.field(
        default_factory=curio.Condition
    )

    @contextlib.asynccontextmanager
    async def acquire_slot(
        self, is_cold: bool, cold_limit: int
    ) -> collections.abc.AsyncIterator[None]:
        """Run the body of the context in one of the concurrency slots.

        Raises ConnectionResetError if the demand exceeds the limit during a
        cold start.
        """
        if is_cold:
            demand = self.running + self.waiting + 1
            self.max_running_cold = max(self.max_running_cold, demand)
            if demand > cold_limit:
                self.overloads += 1
                raise ConnectionResetError("overloaded during cold start")
        await self._wait_for_slot()
        try:
            yield
        finally:
            self.running -= 1
            self._record_load(clock.monotonic())
            async with self._slot_released:
                await self._slot_released.notify_all()

    def reported_load(self, now: clock.MonotonicTime) -> reports.Load:
        """Return the load as of `report_lag_seconds` before now."""
        visible = reports.Load(0, 0)
        for time, load in self._history:
            if time > now - self.report_lag_seconds:
                break
            visible = load
        return visible

    def headers(self, now: clock.MonotonicTime) -> list[tuple[str, str]]:
        """Return the response headers that report the load."""
        load = self.reported_load(now)
        return [
            (reports.RUNNING_HEADER, str(load.running)),
            (reports.WAITING_HEADER, str(load.waiting)),
        ]

    async def _wait_for_slot(self) -> None:
        self.waiting += 1
        try:
            async with self._slot_released:
                while self.running >= self.capacity:
                    await self._slot_released.wait()
        finally:
            self.waiting -= 1
        self.running += 1
        self._record_load(clock.monotonic())

    def _record_load(self, now: clock.MonotonicTime) -> None:
        self._history.append((now, reports.Load(self.running, self.waiting)))
        oldest_needed = now - self.report_lag_seconds
        while len(self._history) > 1 and self._history[1][0] < oldest_needed:
            self._history.popleft()


@dataclasses.dataclass
class PrefixCache:
    """Cache prefix blocks in an LRU and record an event per change."""

    lost_event_interval: int = 0
    hits: int = 0
    lookups: int = 0
    events: collections.deque[reports.CacheEvent] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_EVENTS)
    )
    _blocks: collections.OrderedDict[int, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    _sequence: int = 0

    def store_prompt(self, body: bytes) -> int:
        """Cache the blocks of a prompt and return the number of misses."""
        blocks = reports.hash_prompt_blocks(body)
        hit_count = sum(block in self._blocks for block in blocks)
        self.lookups += len(blocks)
        self.hits += hit_count
        added = [b for b in blocks if b not in self._blocks]
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > CACHE_CAPACITY_BLOCKS:
            evicted.append(self._blocks.popitem(last=False)[0])
        if added or evicted:
            self._append_event(added, evicted)
        return len(blocks) - hit_count

    def read_events(
        self, after: str | None, limit: int
    ) -> list[reports.CacheEvent]:
        """Return events after a sequence number, or only the newest one."""
        visible = [
            event
            for event in self.events
            if not (
                self.lost_event_interval
                and event.sequence % self.lost_event_interval == 0
            )
        ]
        if after is None:
            return visible[-1:]
        return [event for event in visible if event.sequence > int(after)][
            :limit
        ]

    def _append_event(self, added: list[int], evicted: list[int]) -> None:
        self._sequence += 1
        self.events.append(reports.CacheEvent(self._sequence, added, evicted))
