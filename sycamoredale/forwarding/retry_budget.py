"""Limit the retries of requests to a share of the requests.

The limit applies to all daemons together: each daemon may use a ratio of its
own requests in a sliding window, and its part of a burst.  A restarted daemon
has no count of the retries it sent before, so its part of the burst grows from
zero over the first window.
"""

import collections
import collections.abc
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale import ids

# Share of the burst that is used.  The rest allows for the windows of the
# daemons, which do not start at the same time.
BURST_SHARE: Final = 0.8
Timestamps = collections.deque[clock.MonotonicTime]


@dataclasses.dataclass(frozen=True, slots=True)
class WindowUsage:
    """Count the requests, retries and allowed retries of one window."""

    requests: int
    retries: int
    allowed: float

    @property
    def allows_retry(self) -> bool:
        """Return whether one more retry is within the limit."""
        return self.retries + 1 <= self.allowed


@dataclasses.dataclass
class RetryBudget:
    """Count requests and retries by service in a sliding window."""

    ratio: float
    burst: float
    window_seconds: float
    count_daemons: collections.abc.Callable[[], int]
    started_at: clock.MonotonicTime
    _requests: dict[ids.ServiceName, Timestamps] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.deque)
    )
    _retries: dict[ids.ServiceName, Timestamps] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.deque)
    )

    def record_request(
        self, service: ids.ServiceName, now: clock.MonotonicTime
    ) -> None:
        """Count a request of a caller."""
        self._requests[service].append(now)

    def try_withdraw(
        self, service: ids.ServiceName, now: clock.MonotonicTime
    ) -> bool:
        """Count a retry and return True if it is within the limit."""
        if not self.usage(service, now).allows_retry:
            return False
        self._retries[service].append(now)
        return True

    def usage(
        self, service: ids.ServiceName, now: clock.MonotonicTime
    ) -> WindowUsage:
        """Return the counts of the window that ends now."""
        requests = self._count_within(self._requests[service], now)
        retries = self._count_within(self._retries[service], now)
        grown = min(1.0, (now - self.started_at) / self.window_seconds)
        part = BURST_SHARE * grown * self.burst / self.count_daemons()
        return WindowUsage(requests, retries, self.ratio * requests + part)

    def _count_within(
        self, times: Timestamps, now: clock.MonotonicTime
    ) -> int:
        while times and times[0] < now - self.window_seconds:
            times.popleft()
        return len(times)
