"""Limit the rate of calls to the platform, shared by all daemons.

Each daemon may use the total rate divided by the number of daemons that it
sees as live.  This needs no coordination, and daemons whose views differ
slightly exceed the total only slightly.  A token bucket allows bursts.  The
lower the priority of a call, the more tokens it must leave in the bucket.
"""

import collections
import collections.abc
import dataclasses
import enum
from typing import Final

from sycamoredale import clock

READS_PER_SECOND: Final = 2000.0
WRITES_PER_SECOND: Final = 300.0
BURST_SECONDS: Final = 10.0


class CallKind(enum.Enum):
    """List the kinds of platform calls that are counted."""

    READ = "read"
    WRITE = "write"
    LIST = "list"
    WATCH = "watch"


class Priority(enum.Enum):
    """List the uses of the platform, the most important first."""

    CLAIM = "claim"
    LEASE = "lease"
    FOLLOW = "follow"
    BACKGROUND = "background"


# Share of the bucket that calls of a priority must leave to others.
RESERVE_BY_PRIORITY: Final = {
    Priority.CLAIM: 0.0,
    Priority.LEASE: 0.1,
    Priority.FOLLOW: 0.25,
    Priority.BACKGROUND: 0.5,
}

CountLiveDaemons = collections.abc.Callable[[], int]


@dataclasses.dataclass
class _TokenBucket:
    total_per_second: float
    tokens: float | None = None
    filled_at: clock.MonotonicTime = clock.MonotonicTime(0.0)

    def try_withdraw(
        self, live: int, reserve: float, now: clock.MonotonicTime
    ) -> bool:
        rate = self.total_per_second / max(live, 1)
        capacity = max(rate * BURST_SECONDS, 1.0)
        if self.tokens is None:
            self.tokens = capacity
        else:
            refilled = self.tokens + rate * (now - self.filled_at)
            self.tokens = min(capacity, refilled)
        self.filled_at = now
        if self.tokens - 1.0 < reserve * capacity and reserve:
            return False
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class CallBudget:
    """Limit the calls of this daemon and count them by kind."""

    def __init__(
        self,
        count_live_daemons: CountLiveDaemons,
        reads_per_second: float = READS_PER_SECOND,
        writes_per_second: float = WRITES_PER_SECOND,
    ) -> None:
        """Start with full token buckets."""
        self._count_live_daemons = count_live_daemons
        self._reads = _TokenBucket(reads_per_second)
        self._writes = _TokenBucket(writes_per_second)
        self.calls_by_kind: Final[collections.Counter[CallKind]] = (
            collections.Counter()
        )
        self.refused_by_priority: Final[collections.Counter[Priority]] = (
            collections.Counter()
        )

    def try_withdraw(
        self, kind: CallKind, priority: Priority, now: clock.MonotonicTime
    ) -> bool:
        """Return whether a call may be made, and count it."""
        bucket = self._writes if kind is CallKind.WRITE else self._reads
        reserve = RESERVE_BY_PRIORITY[priority]
        if not bucket.try_withdraw(self._count_live_daemons(), reserve, now):
            self.refused_by_priority[priority] += 1
            return False
        self.calls_by_kind[kind] += 1
        return True
